import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Clients stop in the middle of long requests and stay, beside the usual clients of one balancer of almaty-main. */
public final class HangCase {
  /** A final answer may come so late. */
  private static final double LATE_MILLIS = 500;

  private static final double PER_SECOND = 200;
  private static final int BAD_CLIENTS = 1_000;
  /** Requests that an upstream works on at once: far more than it gets. */
  private static final int SLOTS = 30;
  /** The protocol page's limit. */
  private static final int BODY_BYTES = 65_536;

  private HangCase() {}

  public static void main(String[] args) {
    Case.main(args, HangCase::play);
  }

  private static boolean play(Case run) throws Exception {
    RunRecord record = run.record;
    List<Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      upstreams.add(new Upstream("s-" + i, "almaty-dc1", i / 4, SLOTS,
          Map.of("rate-lookup", 60L, "draft-save", 100L, "quote-issue", 130L, "contract-pack", 250L), 200, record));
    }
    Discovery discovery = new Discovery(upstreams, record);
    // The limits are those of the example of the deployment page.
    BalancerProcess balancer = run.balancer("n0", Settings.configuration(
        "n0", discovery.address(), discovery.wholeList(), Settings.almaty(0.2, 0, 1, true), 2_048, 4_096));
    run.awaitReady();
    Load load = new Load(List.of(balancer.address), Settings.almatyKinds(), Settings.almatyTenants(), 52, record);
    load.run(PER_SECOND, 8);
    record.say(load.summary());
    BadClients bad = new BadClients(record);
    if (run.trouble) {
      bad.start(balancer.address, BAD_CLIENTS,
          new Load.Kind("contract-pack", 1, true, 6_000, 140_000, BODY_BYTES), "steppe-auto");
      record.say(BAD_CLIENTS + " clients have sent most of a request of " + BODY_BYTES + " bytes and stop");
    }
    load.run(PER_SECOND, 12);
    record.say(load.summary());
    record.say(bad.summary());
    bad.stop();
    record.say("the bad clients come back no more");
    load.run(PER_SECOND, 10);
    load.await(7_000);
    record.say(load.summary());
    run.addLogs();
    List<Load.Ended> lost = load.ended().stream()
        .filter(e -> e.result().status() == 0 || e.tookMillis() > e.kind().millis() + LATE_MILLIS)
        .toList();
    lost.forEach(e -> record.add("lost: " + e.id() + " " + e.kind().name() + ", written at "
        + Math.round(e.at() * 1000) + " ms, " + (e.result().status() == 0 ? "no answer" : "answered " + e.result().status())
        + " after " + Math.round(e.tookMillis()) + " ms of " + e.kind().millis()));
    record.say(balancer.alive() ? "the balancer's process runs" : "the balancer has ended by itself");
    record.say(lost.isEmpty() ? "held" : "BROKEN: " + lost.size()
        + " usual requests had no final answer within half a second after their time");
    return lost.isEmpty() && balancer.alive();
  }
}
