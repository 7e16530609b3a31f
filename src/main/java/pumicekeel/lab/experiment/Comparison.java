package pumicekeel.lab.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.statistics.distribution.TDistribution;
import pumicekeel.lab.fleet.Figures;

/**
 * Compares two sets of results run by run. Only runs with the same world, size and seed are paired, so that the effects of the seed on
 * both cancel out. The mean difference has a confidence interval by Student's t-distribution (a paired t-test).
 */
public final class Comparison {

  /** Whether B is better or worse than A, or the difference is not significant. */
  public enum Verdict {
    BETTER,
    WORSE,
    UNKNOWN
  }

  /**
   * The comparison of all pairs of one setting.
   *
   * @param a mean of the metric in the first set of results
   * @param b mean of the metric in the second set of results
   * @param mean mean difference, B minus A
   * @param low lower bound of the 95 % confidence interval of the mean difference
   * @param high upper bound of the 95 % confidence interval of the mean difference
   */
  public record Line(
      String setting,
      int pairs,
      double a,
      double b,
      double mean,
      double low,
      double high,
      Verdict verdict) {}

  private static final double CONFIDENCE = 0.95;

  /** Minimum number of pairs; with fewer the interval is unbounded. */
  private static final int MIN_PAIRS = 3;

  private Comparison() {}

  /**
   * Compares two sets of results by a metric of {@link Figures#NAMES}. {@code policyA} and {@code policyB} select the results of one
   * policy in each set; if they are null, results of the same policy are paired.
   */
  public static List<Line> of(
      List<Result> a, String policyA, List<Result> b, String policyB, String metric) {
    boolean lowerIsBetter = Figures.lowerIsBetter(metric);
    Map<String, Result> resultsOfA = new LinkedHashMap<>();
    a.stream()
        .filter(
            result -> result.ok() && (policyA == null || result.run().policy().equals(policyA)))
        .forEach(result -> resultsOfA.put(pairingKey(result, policyA == null), result));
    Map<String, List<double[]>> pairs = new LinkedHashMap<>();
    for (Result result : b) {
      Result resultOfA =
          result.ok() && (policyB == null || result.run().policy().equals(policyB))
              ? resultsOfA.get(pairingKey(result, policyA == null))
              : null;
      if (resultOfA != null) {
        pairs
            .computeIfAbsent(
                result.run().setting() + (policyA == null ? " " + result.run().policy() : ""),
                setting -> new ArrayList<>())
            .add(new double[] {
              resultOfA.figures().getOrDefault(metric, 0.0),
              result.figures().getOrDefault(metric, 0.0)
            });
      }
    }
    List<Line> lines = new ArrayList<>();
    pairs.forEach((setting, values) -> lines.add(line(setting, values, lowerIsBetter)));
    if (pairs.size() > 1) {
      lines.add(line("all", pairs.values().stream().flatMap(List::stream).toList(), lowerIsBetter));
    }
    return lines;
  }

  private static String pairingKey(Result result, boolean withPolicy) {
    return withPolicy ? result.run().key() : result.run().pair();
  }

  private static Line line(String setting, List<double[]> pairs, boolean lowerIsBetter) {
    int count = pairs.size();
    double a = pairs.stream().mapToDouble(pair -> pair[0]).average().orElse(0);
    double b = pairs.stream().mapToDouble(pair -> pair[1]).average().orElse(0);
    double mean = b - a;
    double squaredDeviations = pairs.stream()
        .mapToDouble(pair -> pair[1] - pair[0] - mean)
        .map(deviation -> deviation * deviation)
        .sum();
    double halfWidth = count < MIN_PAIRS
        ? Double.POSITIVE_INFINITY
        : TDistribution.of(count - 1).inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2)
            * Math.sqrt(squaredDeviations / (count - 1) / count);
    double low = mean - halfWidth;
    double high = mean + halfWidth;
    Verdict verdict = low > 0
        ? lowerIsBetter ? Verdict.WORSE : Verdict.BETTER
        : high < 0 ? lowerIsBetter ? Verdict.BETTER : Verdict.WORSE : Verdict.UNKNOWN;
    return new Line(setting, count, a, b, mean, low, high, verdict);
  }
}
