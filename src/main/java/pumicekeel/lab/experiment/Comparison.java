package pumicekeel.lab.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.statistics.distribution.TDistribution;
import pumicekeel.lab.fleet.Figures;

/**
 * Two sets of results against each other, run by run: only runs of the same world, size and seed are compared, so that what the seed
 * does to both cancels out. The mean of the differences has a confidence interval by Student's t (a paired t-test).
 */
public final class Comparison {

  /** Better by so much, worse, or neither can be said. */
  public enum Verdict {
    BETTER,
    WORSE,
    UNKNOWN
  }

  /**
   * One setting's pairs.
   *
   * @param mean of B less A; {@code low} and {@code high} bound it at 95 %
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
  /** With fewer pairs no interval is worth its name. */
  private static final int LEAST_PAIRS = 3;

  private Comparison() {}

  /**
   * Compares by a metric of {@link Figures#NAMES}. {@code policyA} and {@code policyB} choose among the results; null for whatever
   * policy has the same name in both.
   */
  public static List<Line> of(
      List<Result> a, String policyA, List<Result> b, String policyB, String metric) {
    boolean less = Figures.lowerIsBetter(metric);
    Map<String, Result> first = new LinkedHashMap<>();
    a.stream()
        .filter(r -> r.ok() && (policyA == null || r.run().policy().equals(policyA)))
        .forEach(r -> first.put(key(r, policyA == null), r));
    Map<String, List<double[]>> pairs = new LinkedHashMap<>();
    for (Result r : b) {
      Result other = r.ok() && (policyB == null || r.run().policy().equals(policyB))
          ? first.get(key(r, policyA == null))
          : null;
      if (other != null) {
        pairs
            .computeIfAbsent(
                r.run().setting() + (policyA == null ? " " + r.run().policy() : ""),
                k -> new ArrayList<>())
            .add(new double[] {
              other.figures().getOrDefault(metric, 0.0), r.figures().getOrDefault(metric, 0.0)
            });
      }
    }
    List<Line> lines = new ArrayList<>();
    pairs.forEach((setting, of) -> lines.add(line(setting, of, less)));
    if (pairs.size() > 1) {
      lines.add(line("all", pairs.values().stream().flatMap(List::stream).toList(), less));
    }
    return lines;
  }

  private static String key(Result r, boolean withPolicy) {
    return withPolicy ? r.run().key() : r.run().pair();
  }

  private static Line line(String setting, List<double[]> pairs, boolean less) {
    int n = pairs.size();
    double a = pairs.stream().mapToDouble(p -> p[0]).average().orElse(0);
    double b = pairs.stream().mapToDouble(p -> p[1]).average().orElse(0);
    double mean = b - a;
    double squares =
        pairs.stream().mapToDouble(p -> p[1] - p[0] - mean).map(d -> d * d).sum();
    double half = n < LEAST_PAIRS
        ? Double.POSITIVE_INFINITY
        : TDistribution.of(n - 1).inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2)
            * Math.sqrt(squares / (n - 1) / n);
    double low = mean - half;
    double high = mean + half;
    Verdict verdict = low > 0
        ? less ? Verdict.WORSE : Verdict.BETTER
        : high < 0 ? less ? Verdict.BETTER : Verdict.WORSE : Verdict.UNKNOWN;
    return new Line(setting, n, a, b, mean, low, high, verdict);
  }
}
