package pumicekeel.lab.fleet;

import java.util.List;
import java.util.Map;

/**
 * The results of a run. Shares are fractions of 1.
 *
 * @param worth worth of the requests answered within their aim, relative to that of all requests; weighted by work
 * @param goal the operators' weighted mean of {@code worth} and of its value for the worst ten seconds, class and tenant
 * @param wastedWork share of the upstreams' work whose result reached no client
 * @param coldShare maximum share of its cold budget that any cold upstream was sent
 * @param violations number of violations by rule; empty if all rules held
 * @param firstViolation description of the first violation, or null
 * @param events number of events that the run processed
 */
public record Figures(
    double worth,
    double goal,
    double worstTenSeconds,
    double worstClass,
    double worstTenant,
    long requests,
    long tries,
    long served,
    long refused,
    long failed,
    long unreachable,
    double p50Millis,
    double p99Millis,
    long attempts,
    long connections,
    double wastedWork,
    double utilization,
    double coldShare,
    Map<String, Long> violations,
    String firstViolation,
    long events) {

  /** Names of the figures that experiments compare. */
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

  /** Returns a figure by its name, one of {@link #NAMES}. */
  public double get(String name) {
    return switch (name) {
      case "worth" -> worth;
      case "goal" -> goal;
      case "worst-ten" -> worstTenSeconds;
      case "worst-class" -> worstClass;
      case "worst-tenant" -> worstTenant;
      case "refused-part" -> perTry(refused);
      case "failed-part" -> perTry(failed + unreachable);
      case "p50-ms" -> p50Millis;
      case "p99-ms" -> p99Millis;
      case "attempts-per-try" -> perTry(attempts);
      case "connections" -> connections;
      case "wasted-work" -> wastedWork;
      case "utilization" -> utilization;
      case "cold-share" -> coldShare;
      case "broken" -> violations.values().stream().mapToLong(count -> count).sum();
      default ->
        throw new IllegalArgumentException("metric: expected one of " + NAMES + ", got " + name);
    };
  }

  private double perTry(long count) {
    return tries == 0 ? 0 : (double) count / tries;
  }

  /** Returns whether a lower value of the named figure is better. */
  public static boolean lowerIsBetter(String name) {
    return !List.of("worth", "goal", "worst-ten", "worst-class", "worst-tenant", "utilization")
        .contains(name);
  }
}
