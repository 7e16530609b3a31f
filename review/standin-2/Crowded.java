/** Balancers whose discovery was down and is back, but crowded, go on sending to an upstream that drains. */
public final class Crowded {
  public static void main(String[] args) throws Exception {
    Kit.run(args[0], Crowded::play);
  }

  static boolean play() throws Exception {
    Kit.Discovery discovery = new Kit.Discovery(40);
    Kit.Upstream[] u = new Kit.Upstream[9];
    String[] zones = {"abuja", "jos", "enugu"};
    for (int i = 0; i < u.length; i++) {
      u[i] = new Kit.Upstream("s-" + i, i / 3);
      u[i].zone = zones[i % 3];
      discovery.set(u[i], "in_service");
    }
    Kit.Door door = new Kit.Door(discovery, "discovery");
    door.waitMs = 1_000;
    int[] port = new int[3];
    Kit.Balancer[] n = new Kit.Balancer[3];
    for (int i = 0; i < n.length; i++) {
      port[i] = Kit.freePort();
      n[i] = new Kit.Balancer("n" + i, port[i], Kit.config(
          "n" + i, port[i], door.server.getLocalPort(), discovery.whole(), "", Kit.booking(i, 3)));
    }
    double start = Kit.ms();
    for (int i = 0; i < n.length; i++) {
      n[i].awaitReady();
      Kit.load(port[i], new String[] {"reserve-bed"}, new long[] {1_500}, 4, 60, start + 24_000);
    }
    Kit.sleep(3_000);

    if (Kit.TROUBLE) {
      door.mode(Kit.Discovery.Mode.DOWN);
    }
    Kit.sleep(2_000);
    discovery.set(u[0], "terminating");
    Kit.sleep(2_000);
    double back = Kit.ms();
    if (Kit.TROUBLE) {
      door.mode(Kit.Discovery.Mode.CROWDED);
    }
    while (Kit.ms() < back + 7_500) {
      // Discovery can be reached: it tells others of the change.
      if (door.callAsAnother() != discovery.index) {
        throw new IllegalStateException("discovery did not tell another caller");
      }
      Kit.sleep(100);
    }
    Kit.sleep((long) (back + 8_000 - Kit.ms()));
    door.mode(Kit.Discovery.Mode.SOUND);
    Kit.sleep(3_000);

    // Told 6 s after discovery had it and could be reached; 1 s of grace; each limit is 50 ms longer.
    double limit = back + 6_000 + 50 + 1_000 + 50;
    long late = u[0].requests.stream().filter(m -> m.firstAt > limit).count();
    double last = u[0].requests.stream().mapToDouble(m -> m.firstAt).max().orElse(0);
    Kit.log("driver", String.format(
        "discovery can be reached since %.0f, nothing new may come to %s after %.0f; last request at %.0f, %d late ones",
        back, u[0].name, limit, last, late));
    return late == 0;
  }
}
