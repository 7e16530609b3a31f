import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;

/** New configurations in a row, whose settings state another worth of work over a share, under load. */
public final class NewWorth {
  public static void main(String[] args) throws Exception {
    Kit.run(args[0], NewWorth::play);
  }

  static boolean play() throws Exception {
    int rate = 500;
    Kit.Discovery discovery = new Kit.Discovery(33);
    Kit.Upstream[] u = new Kit.Upstream[8];
    for (int i = 0; i < u.length; i++) {
      u[i] = new Kit.Upstream("s-" + i, i / 4);
      discovery.set(u[i], "in_service");
      Semaphore slots = new Semaphore(3, true);
      u[i].handler = (at, m, s) -> {
        slots.acquire();
        try {
          Thread.sleep(50 + Kit.WORK.incrementAndGet() % 40);
        } finally {
          slots.release();
        }
        return Kit.write200(s, "done " + m.header("x-correlation-id"));
      };
    }
    Kit.Door door = new Kit.Door(discovery, "discovery");
    int port = Kit.freePort();
    String config = Kit.config(
        "n0", port, door.server.getLocalPort(), discovery.whole(), "", Kit.settings(0, 1));
    Kit.Balancer n0 = new Kit.Balancer("n0", port, config);
    n0.awaitReady();
    List<Kit.Ask> all = new CopyOnWriteArrayList<>();
    ConcurrentLinkedDeque<Kit.Client> idle = new ConcurrentLinkedDeque<>();
    ExecutorService threads = Executors.newCachedThreadPool();
    double start = Kit.ms();
    if (Kit.TROUBLE) {
      Kit.daemon(() -> {
        String[] worth = {"1.0", "0.2"};
        for (int i = 0; Kit.ms() < start + 29_000 && n0.process.isAlive(); i++) {
          Kit.sleep(1_000);
          try {
            Files.writeString(n0.file, config.replace(
                "\"over-share-worth\":0.2", "\"over-share-worth\":" + worth[i % worth.length]));
            n0.hangUp();
          } catch (Exception e) {
            Kit.log("driver", e.toString());
          }
        }
      });
    }
    String[] types = {"rate-lookup", "draft-save", "quote-issue", "contract-pack"};
    long[] left = {2_000, 4_000, 3_000, 6_000};
    for (int i = 0; Kit.ms() < start + 30_000 && n0.process.isAlive(); i++) {
      Kit.sleep((long) (start + i * 1000.0 / rate - Kit.ms()));
      int k = i % 4;
      threads.execute(() -> {
        Kit.Client c = idle.pollFirst();
        c = c == null ? new Kit.Client(port) : c;
        all.add(c.ask(new Kit.Ask(types[k], left[k]), 2_000));
        idle.addFirst(c);
      });
    }
    Kit.sleep(7_000);
    Map<Integer, Integer> by = new TreeMap<>();
    all.forEach(a -> by.merge(a.error == null ? a.status : 0, 1, Integer::sum));
    boolean alive = n0.process.isAlive();
    long none = all.stream().filter(a -> a.error != null).count();
    Kit.log("driver", all.size() + " requests, " + none + " without a whole answer, by status " + by
        + (alive ? "" : "; n0 has ended with status " + n0.process.exitValue()));
    return alive && none == 0;
  }
}
