import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Many clients stop in the middle of their second request and stay. */
public final class Stoppers {
  public static void main(String[] args) throws Exception {
    Kit.run(args[0], Stoppers::play);
  }

  static boolean play() throws Exception {
    int sockets = 256;
    int bad = 130;
    int rate = 60;
    Kit.Discovery discovery = new Kit.Discovery(33);
    Kit.Upstream[] u = new Kit.Upstream[8];
    for (int i = 0; i < u.length; i++) {
      u[i] = new Kit.Upstream("s-" + i, i / 4);
      discovery.set(u[i], "in_service");
    }
    Kit.Door door = new Kit.Door(discovery, "discovery");
    int port = Kit.freePort();
    Kit.Balancer n0 = new Kit.Balancer("n0", port, Kit.config(
            "n0", port, door.server.getLocalPort(), discovery.whole(), "", Kit.settings(0, 1))
        .replace("\"sockets\":1024", "\"sockets\":" + sockets));
    n0.awaitReady();
    List<Kit.Ask> all = new CopyOnWriteArrayList<>();
    ConcurrentLinkedDeque<Kit.Client> idle = new ConcurrentLinkedDeque<>();
    ExecutorService threads = Executors.newCachedThreadPool();
    double start = Kit.ms();
    if (Kit.TROUBLE) {
      for (int i = 0; i < bad; i++) {
        Kit.daemon(() -> {
          Kit.sleep(3_000);
          while (Kit.ms() < start + 14_000) {
            try (Socket s = new Socket(Kit.LOOPBACK, port)) {
              s.setSoTimeout(10_000);
              var in = new BufferedInputStream(s.getInputStream());
              s.getOutputStream().write(new Kit.Ask("rate-lookup", 2_000).head());
              if (Kit.read(in) == null) {
                continue;
              }
              s.getOutputStream().write(Kit.bytes("GET /rate-lookup/x HTTP/1.1\r\nHost: app"));
              // Stays until it is closed.
              while (in.read() >= 0) {}
            } catch (IOException e) {
              Kit.sleep(50);
            }
          }
        });
      }
    }
    for (int i = 0; Kit.ms() < start + 14_000; i++) {
      Kit.sleep((long) (start + i * 1000.0 / rate - Kit.ms()));
      String type = i % 2 == 0 ? "rate-lookup" : "quote-issue";
      long left = i % 2 == 0 ? 1_500 : 2_200;
      threads.execute(() -> {
        Kit.Client c = idle.pollFirst();
        c = c == null ? new Kit.Client(port) : c;
        all.add(c.ask(new Kit.Ask(type, left), 3_000));
        idle.addFirst(c);
      });
    }
    Kit.sleep(6_500);
    long none = all.stream().filter(a -> a.error != null).count();
    long late = all.stream().filter(a -> a.error == null && a.endedAt - a.sentAt > a.leftMs + 550).count();
    Map<Integer, Integer> by = new TreeMap<>();
    all.forEach(a -> by.merge(a.error == null ? a.status : 0, 1, Integer::sum));
    Kit.log("driver", all.size() + " requests, " + none + " without a whole answer, " + late
        + " answered over 0.55 s late, by status " + by);
    return none + late == 0;
  }
}
