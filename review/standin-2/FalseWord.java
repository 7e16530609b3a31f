import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.util.Arrays;

/** A balancer that is cut off from discovery is told by a restarted one that its list is complete, though it is not. */
public final class FalseWord {
  public static void main(String[] args) throws Exception {
    Kit.run(args[0], FalseWord::play);
  }

  /** The way between two balancers: each sees the other under an address of this relay. */
  private static final class Peers {
    final DatagramSocket all = new DatagramSocket(0, Kit.LOOPBACK);
    final DatagramSocket[] each = {
      new DatagramSocket(0, Kit.LOOPBACK), new DatagramSocket(0, Kit.LOOPBACK)
    };
    final int[] listen = {Kit.freePort(), Kit.freePort()};

    Peers() throws Exception {
      Kit.daemon(() -> relay(all));
      Kit.daemon(() -> relay(each[0]));
      Kit.daemon(() -> relay(each[1]));
    }

    void relay(DatagramSocket in) {
      byte[] buffer = new byte[257];
      while (true) {
        try {
          DatagramPacket p = new DatagramPacket(buffer, buffer.length);
          in.receive(p);
          int from = p.getPort() == listen[0] ? 0 : p.getPort() == listen[1] ? 1 : -1;
          if (from >= 0) {
            byte[] copy = Arrays.copyOf(p.getData(), p.getLength());
            Kit.sleep(3);
            Kit.log("peers", "n" + from + " sends " + copy.length + " bytes");
            each[from].send(
                new DatagramPacket(copy, copy.length, Kit.LOOPBACK, listen[1 - from]));
          }
        } catch (java.io.IOException e) {
          Kit.log("peers", e.toString());
        }
      }
    }

    String config(int me) {
      return "\"peer_listen\":\"127.0.0.1:" + listen[me] + "\",\"peers\":[\"127.0.0.1:"
          + each[0].getLocalPort() + "\",\"127.0.0.1:" + each[1].getLocalPort()
          + "\"],\"peers_all\":\"127.0.0.1:" + all.getLocalPort() + "\",";
    }
  }

  static boolean play() throws Exception {
    Kit.Discovery discovery = new Kit.Discovery(33);
    Kit.Upstream[] u = new Kit.Upstream[9];
    for (int i = 0; i < 8; i++) {
      u[i] = new Kit.Upstream("s-" + i, i / 4);
      discovery.set(u[i], "in_service");
    }
    String known = discovery.whole();
    Peers peers = new Peers();
    Kit.Door[] door = {new Kit.Door(discovery, "discovery-0"), new Kit.Door(discovery, "discovery-1")};
    int[] port = {Kit.freePort(), Kit.freePort()};
    Kit.Balancer n0 = start(0, port, door, known, peers);
    Kit.Balancer n1 = start(1, port, door, known, peers);
    n0.awaitReady();
    n1.awaitReady();
    double start = Kit.ms();
    Kit.load(port[1], 6, 60, start + 26_000);
    Kit.sleep(2_000);
    if (Kit.TROUBLE) {
      n0.kill();
      Kit.log("driver", "n0 is killed");
    }
    Kit.sleep(400);
    u[8] = new Kit.Upstream("s-8", 1);
    u[8].sinceMs = System.currentTimeMillis();
    discovery.set(u[8], "in_service");
    Kit.sleep(700);
    if (Kit.TROUBLE) {
      door[1].silence();
    }
    Kit.sleep(50);
    discovery.set(u[8], "terminating");
    double changed = Kit.ms();
    if (Kit.TROUBLE) {
      // With nothing but its last list.
      start(0, port, door, known, peers);
    }
    Kit.sleep(1_400);
    if (Kit.TROUBLE) {
      // Discovery has too many callers for 8 s, and the calls of n1 wait too long.
      door[1].mode(Kit.Discovery.Mode.CROWDED);
    }
    Kit.sleep(8_000);
    door[1].mode(Kit.Discovery.Mode.SOUND);
    Kit.sleep(4_000);

    // Told 6 s after the change at the latest; 2 s of grace; each limit is 50 ms longer.
    double limit = changed + 6_000 + 50 + 2_000 + 50;
    long late = u[8].requests.stream().filter(m -> m.firstAt > limit).count();
    double last = u[8].requests.stream().mapToDouble(m -> m.firstAt).max().orElse(0);
    Kit.log("driver", String.format(
        "%s drains since %.0f, nothing new may come from n1 after %.0f; last request at %.0f, %d late ones",
        u[8].name, changed, limit, last, late));
    return late == 0;
  }

  private static Kit.Balancer start(int i, int[] port, Kit.Door[] door, String known, Peers peers)
      throws Exception {
    return new Kit.Balancer("n" + i, port[i], Kit.config(
        "n" + i, port[i], door[i].server.getLocalPort(), known, peers.config(i), Kit.settings(i, 2)));
  }
}
