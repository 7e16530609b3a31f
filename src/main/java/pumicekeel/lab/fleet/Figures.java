package pumicekeel.lab.fleet;

import java.util.List;
import java.util.Map;

/**
 * What a run came to. Shares are of 1. {@code worth}: what was earned in time of what was asked for, by work; {@code goal} is the
 * operators' mix of the whole run, the worst ten seconds, the worst class and the worst tenant. {@code broken}: rules by how often,
 * empty where all held; {@code first} says where the first was.
 */
public record Figures(
    double worth,
    double goal,
    double worstTen,
    double worstClass,
    double worstTenant,
    long asked,
    long tries,
    long served,
    long refused,
    long failed,
    long unreached,
    double p50Millis,
    double p99Millis,
    long attempts,
    long connections,
    double wastedWork,
    double utilization,
    double coldShare,
    Map<String, Long> broken,
    String first,
    long events) {

  /** The figures that experiments compare, by name. */
  public static final List<String> NAMES = List.of(
      "worth",
      "goal",
      "worst-ten",
      "worst-class",
      "worst-tenant",
      "refused-part",
      "failed-part",
      "p50-ms",
      "p99-ms",
      "attempts-per-try",
      "connections",
      "wasted-work",
      "utilization",
      "cold-share",
      "broken");

  /** One of {@link #NAMES}. */
  public double get(String name) {
    return switch (name) {
      case "worth" -> worth;
      case "goal" -> goal;
      case "worst-ten" -> worstTen;
      case "worst-class" -> worstClass;
      case "worst-tenant" -> worstTenant;
      case "refused-part" -> part(refused);
      case "failed-part" -> part(failed + unreached);
      case "p50-ms" -> p50Millis;
      case "p99-ms" -> p99Millis;
      case "attempts-per-try" -> part(attempts);
      case "connections" -> connections;
      case "wasted-work" -> wastedWork;
      case "utilization" -> utilization;
      case "cold-share" -> coldShare;
      case "broken" -> broken.values().stream().mapToLong(l -> l).sum();
      default ->
        throw new IllegalArgumentException("metric: expected one of " + NAMES + ", got " + name);
    };
  }

  private double part(long count) {
    return tries == 0 ? 0 : (double) count / tries;
  }

  /** Whether less of it is better. */
  public static boolean lessIsBetter(String name) {
    return !List.of("worth", "goal", "worst-ten", "worst-class", "worst-tenant", "utilization")
        .contains(name);
  }
}
