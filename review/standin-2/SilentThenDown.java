/** A watch falls silent, an upstream begins to drain, and discovery goes down before the balancer calls again. */
public final class SilentThenDown {
  public static void main(String[] args) throws Exception {
    Kit.run(args[0], SilentThenDown::play);
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
    Kit.Balancer n0 = new Kit.Balancer("n0", port, Kit.config(
        "n0", port, door.server.getLocalPort(), discovery.whole(), "", Kit.settings(0, 1)));
    n0.awaitReady();
    double start = Kit.ms();
    Kit.load(port, 6, 60, start + 26_000);
    Kit.sleep(3_000);
    if (Kit.TROUBLE) {
      door.silenceAfterBeat();
    }
    double silent = Kit.ms();
    Kit.sleep(100);
    discovery.set(u[0], "terminating");
    Kit.sleep(1_800);
    if (Kit.TROUBLE) {
      door.mode(Kit.Discovery.Mode.RESET);
    }
    Kit.sleep(8_000);
    door.mode(Kit.Discovery.Mode.SOUND);
    Kit.sleep(3_000);

    // Told 6 s after the watch fell silent; 2 s of grace; each limit is 50 ms longer.
    double limit = silent + 100 + 6_000 + 50 + 2_000 + 50;
    long late = u[0].requests.stream().filter(m -> m.firstAt > limit).count();
    double last = u[0].requests.stream().mapToDouble(m -> m.firstAt).max().orElse(0);
    Kit.log("driver", String.format(
        "%s drains since %.0f, nothing new may come after %.0f; last request at %.0f, %d late ones",
        u[0].name, silent + 100, limit, last, late));
    return late == 0;
  }
}
