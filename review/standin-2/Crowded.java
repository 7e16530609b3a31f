/** A balancer whose discovery went down and is back, but crowded, goes on sending to an upstream that drains. */
public final class Crowded {
  public static void main(String[] args) throws Exception {
    Kit.run(args[0], Crowded::play);
  }

  static boolean play() throws Exception {
    Kit.Discovery discovery = new Kit.Discovery(40);
    Kit.Upstream[] u = new Kit.Upstream[8];
    for (int i = 0; i < u.length; i++) {
      u[i] = new Kit.Upstream("s-" + i, i / 4);
      discovery.set(u[i], "in_service");
    }
    Kit.Door door = new Kit.Door(discovery, "discovery");
    int port = Kit.freePort();
    Kit.Balancer n0 = new Kit.Balancer(
        "n0",
        port,
        Kit.config("n0", port, door.server.getLocalPort(), discovery.whole(), "", Kit.settings(0, 1)));
    n0.awaitReady();
    double start = Kit.ms();
    Kit.load(port, 6, 60, start + 26_000);
    Kit.sleep(3_000);

    if (Kit.TROUBLE) {
      door.mode(Kit.Discovery.Mode.DOWN);
    }
    Kit.sleep(4_000);
    if (Kit.TROUBLE) {
      door.mode(Kit.Discovery.Mode.CROWDED);
    }
    Kit.sleep(200);
    double had = Kit.ms();
    discovery.set(u[0], "terminating");
    for (double end = Kit.ms() + 12_000; Kit.ms() < end; Kit.sleep(500)) {
      // Discovery can be reached: it tells others of the change.
      if (door.callAsAnother() != discovery.index) {
        throw new IllegalStateException("discovery did not tell another caller");
      }
    }
    door.mode(Kit.Discovery.Mode.SOUND);
    Kit.sleep(3_000);

    // Told 6 s after discovery had it and could be reached; 2 s of grace; each limit is 50 ms longer.
    double limit = had + 6_000 + 50 + 2_000 + 50;
    long late = u[0].requests.stream().filter(m -> m.firstAt > limit).count();
    double last = u[0].requests.stream().mapToDouble(m -> m.firstAt).max().orElse(0);
    Kit.log("driver", String.format(
        "%s drains since %.0f, nothing new may come after %.0f; last request at %.0f, %d late ones",
        u[0].name, had, limit, last, late));
    return late == 0;
  }
}
