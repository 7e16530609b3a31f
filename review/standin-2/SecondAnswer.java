import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** Some answers come twice, the second time some milliseconds late. */
public final class SecondAnswer {
  private static final long LATE_MS = 12;
  private static final AtomicLong ANSWERS = new AtomicLong();

  public static void main(String[] args) throws Exception {
    Kit.run(args[0], SecondAnswer::play);
  }

  static boolean play() throws Exception {
    Kit.Discovery discovery = new Kit.Discovery(33);
    Kit.Upstream[] u = new Kit.Upstream[8];
    for (int i = 0; i < u.length; i++) {
      u[i] = new Kit.Upstream("s-" + i, i / 4);
      discovery.set(u[i], "in_service");
      u[i].handler = (at, m, s) -> {
        String id = m.header("x-correlation-id");
        Thread.sleep(25 + Kit.WORK.incrementAndGet() % 40);
        Kit.write200(s, "done " + id);
        if (Kit.TROUBLE && ANSWERS.incrementAndGet() % 25 == 0) {
          Thread.sleep(LATE_MS);
          Kit.write200(s, "done " + id);
          Kit.log(at.name, "answered " + id + " for the second time");
        }
        return true;
      };
    }
    Kit.Door door = new Kit.Door(discovery, "discovery");
    int port = Kit.freePort();
    Kit.Balancer n0 = new Kit.Balancer("n0", port, Kit.config(
        "n0", port, door.server.getLocalPort(), discovery.whole(), "", Kit.settings(0, 1)));
    n0.awaitReady();
    List<Kit.Ask> all = Kit.load(port, 12, 5, Kit.ms() + 15_000);
    Kit.sleep(18_500);
    long none = all.stream().filter(a -> a.error != null).count();
    List<Kit.Ask> foreign = all.stream()
        .filter(a -> a.error == null && a.status == 200 && !a.body.equals("done " + a.id))
        .toList();
    foreign.forEach(a -> Kit.log("client", a.id + " got the answer \"" + a.body + "\""));
    Kit.log("driver", all.size() + " requests, " + none + " without a whole answer, " + foreign.size()
        + " served with the answer to another request");
    return none == 0 && foreign.isEmpty();
  }
}
