import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Three balancers of booking-main. Discovery is down for some seconds, into the start of a release, and has too many
 * callers for some seconds after its return: an upstream began to drain meanwhile.
 */
public final class DrainCase {
  /** When a change counts as told at the latest, after discovery had it and could be reached. */
  private static final double TOLD_SECONDS = 6;
  /** The site's grace, and how much longer each time limit is on sockets. */
  private static final double GRACE_SECONDS = 1;

  private static final double SLACK_SECONDS = 0.05;
  /** The stand-in notes a request when its last byte has come; a send counts from its first. */
  private static final double READING_SECONDS = 0.1;

  private static final double DOWN_SECONDS = 4;
  private static final double CROWDED_SECONDS = 8;
  private static final long CALL_TIMEOUT_MILLIS = 1_000;
  private static final double PER_SECOND = 150;

  private DrainCase() {}

  public static void main(String[] args) {
    Case.main(args, DrainCase::play);
  }

  private static boolean play(Case run) throws Exception {
    RunRecord record = run.record;
    List<String> zones = List.of("abuja", "jos", "enugu");
    List<Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      upstreams.add(new Upstream("s-" + i, zones.get(i % 3), i % 3, 4, Map.of("reserve-bed", 90L), 200, record));
    }
    Discovery discovery = new Discovery(upstreams, record);
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      addresses.add(run.balancer("n" + i, Settings.configuration(
          "n" + i, discovery.address(), discovery.wholeList(), Settings.booking(i), 192, 1_024)).address);
    }
    run.awaitReady();
    Load load = new Load(addresses,
        List.of(new Load.Kind("reserve-bed", 1, true, 1_500, 90_000, 300)),
        new TreeMap<>(Map.of("obudu", 0.45, "mambilla", 0.3, "jos", 0.25)), 52, record);
    load.run(PER_SECOND, 8);
    Upstream draining = upstreams.get(0);
    if (run.trouble) {
      discovery.down();
    }
    load.run(PER_SECOND, DOWN_SECONDS / 2);
    discovery.change(draining.name, "terminating");
    load.run(PER_SECOND, DOWN_SECONDS / 2);
    if (run.trouble) {
      discovery.failsAfterMillis = CALL_TIMEOUT_MILLIS;
      discovery.up();
    }
    double reachable = record.seconds();
    load.run(PER_SECOND, CROWDED_SECONDS);
    discovery.failsAfterMillis = 0;
    record.say("discovery: takes all calls again");
    load.run(PER_SECOND, 4);
    load.await(2_500);
    record.say(load.summary());
    double limit = reachable + TOLD_SECONDS + GRACE_SECONDS + SLACK_SECONDS + READING_SECONDS;
    List<Upstream.Arrival> late = draining.arrivals.stream().filter(a -> a.at() > limit).toList();
    record.say("discovery could be reached from " + millis(reachable) + ", nothing new may come to " + draining.name
        + " from " + millis(limit) + ": " + late.size() + " requests came after that"
        + (late.isEmpty() ? "" : ", the last at " + millis(late.get(late.size() - 1).at())));
    late.forEach(a -> record.add("late: " + a.id() + " at " + millis(a.at())));
    run.addLogs();
    record.say(late.isEmpty() ? "held" : "BROKEN: sent to a draining upstream after the grace");
    return late.isEmpty();
  }

  private static String millis(double seconds) {
    return Math.round(seconds * 1000) + " ms";
  }
}
