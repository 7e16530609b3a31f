import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One balancer of almaty-main on a busy day gets new configurations in a row with SIGHUP, which differ in one figure: the
 * worth of work over a tenant's share.
 */
public final class ReloadCase {
  private static final double PER_SECOND = 380;
  /** Requests that an upstream works on at once: all together do some 190 requests of the mix a second. */
  private static final int SLOTS = 3;

  private static final int RELOADS = 8;
  private static final int SECONDS_BETWEEN = 2;
  private static final String BEFORE = "\"over-share-worth\":1.0";
  private static final String AFTER = "\"over-share-worth\":0.2";

  private ReloadCase() {}

  public static void main(String[] args) {
    Case.main(args, ReloadCase::play);
  }

  private static boolean play(Case run) throws Exception {
    RunRecord record = run.record;
    List<Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      upstreams.add(new Upstream("s-" + i, "almaty-dc1", i / 4, SLOTS,
          Map.of("rate-lookup", 60L, "draft-save", 100L, "quote-issue", 130L, "contract-pack", 250L), 200, record));
    }
    Discovery discovery = new Discovery(upstreams, record);
    BalancerProcess balancer = run.balancer("n0", Settings.configuration(
        "n0", discovery.address(), discovery.wholeList(), Settings.almaty(1.0, 0, 1, true), 192, 1_024));
    run.awaitReady();
    if (Files.readString(balancer.log).contains("SIGHUP is ignored")) {
      throw new Case.NotPlayed("SIGHUP is ignored since before this process started");
    }
    Load load = new Load(List.of(balancer.address), Settings.almatyKinds(), Settings.almatyTenants(), 52, record);
    load.run(PER_SECOND, 10);
    record.say(load.summary());
    for (int i = 0; i < RELOADS && balancer.alive(); i++) {
      if (run.trouble) {
        String next = i % 2 == 0 ? AFTER : BEFORE;
        String text = Files.readString(balancer.config);
        Files.writeString(balancer.config, text.replace(i % 2 == 0 ? BEFORE : AFTER, next));
        balancer.signal("HUP");
        record.say("SIGHUP: the new configuration has " + next);
      }
      for (int s = 0; s < SECONDS_BETWEEN && balancer.alive(); s++) {
        load.run(PER_SECOND, 1);
      }
    }
    load.await(7_000);
    record.say(load.summary());
    TimeUnit.MILLISECONDS.sleep(200);
    run.addLogs();
    boolean crashed = !balancer.alive();
    record.say(crashed
        ? "BROKEN: the balancer has crashed, status " + balancer.exitValue() + "; requests with no answer: "
            + load.ended().stream().filter(e -> e.result().status() == 0).count()
        : "held: the balancer runs");
    return !crashed;
  }
}
