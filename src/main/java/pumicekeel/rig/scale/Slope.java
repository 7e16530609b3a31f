package pumicekeel.rig.scale;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A figure as a straight line of the size, by least squares, with 95 % intervals.
 *
 * @param perUnit the line's slope
 * @param perUnitError half of the slope's interval
 * @param atZero where the line begins
 * @param shape whether a straight line is what the points show
 * @param curvature what the squared term of a second-degree fit adds at the largest size, as a part of the value there
 * @param curvatureSignificance the probability that chance alone makes such a squared term
 * @param largest the largest size that was measured
 * @param samples points that were fitted
 * @param medians of the values at each size
 * @param line what intervals of the line are made from
 */
public record Slope(
    double perUnit,
    double perUnitError,
    double atZero,
    Shape shape,
    double curvature,
    double curvatureSignificance,
    int largest,
    int samples,
    Map<Integer, Double> medians,
    Line line) {

  /** How a figure grows. */
  public enum Shape {
    LINEAR,
    SUPERLINEAR,
    SUBLINEAR,
    /** Neither a slope nor a curve stands out of the noise. */
    CONSTANT
  }

  /** What an interval around a point of the line needs. */
  record Line(double meanSize, double sumOfSquares, double meanSquareError) {}

  /** A value of the line with the half of its 95 % interval. */
  public record Projection(double value, double error) {}

  private static final double SIGNIFICANCE = 0.05;
  /** A curve that adds less than this part at the largest size decides nothing. */
  private static final double LEAST_CURVATURE = 0.1;
  /** A squared term needs a degree of freedom beside three coefficients. */
  private static final int LEAST_SAMPLES = 4;

  /** A second-degree curve goes through any three points. */
  private static final int LEAST_SIZES = 3;

  /** Whether there are points enough, at sizes enough, for a line and a curve. */
  static boolean isFit(List<Sample> samples) {
    return samples.size() >= LEAST_SAMPLES
        && samples.stream().mapToInt(Sample::size).distinct().count() >= LEAST_SIZES;
  }

  /** Fits a figure of the samples of one scenario. */
  public static Slope of(List<Sample> samples, String figure) {
    List<Sample> with =
        samples.stream().filter(s -> s.figures().containsKey(figure)).toList();
    if (with.size() < LEAST_SAMPLES) {
      throw new IllegalArgumentException("expected at least " + LEAST_SAMPLES
          + " samples with the figure " + figure + ", got " + with.size());
    }
    double[] sizes = with.stream().mapToDouble(Sample::size).toArray();
    double[] values = with.stream().mapToDouble(s -> s.figures().get(figure)).toArray();
    return fit(sizes, values);
  }

  static Slope fit(double[] sizes, double[] values) {
    SimpleRegression line = new SimpleRegression();
    Map<Integer, List<Double>> bySize = new TreeMap<>();
    double sum = 0;
    for (int i = 0; i < sizes.length; i++) {
      line.addData(sizes[i], values[i]);
      sum += sizes[i];
      bySize.computeIfAbsent((int) sizes[i], k -> new java.util.ArrayList<>()).add(values[i]);
    }
    double largest = bySize.keySet().stream().mapToInt(i -> i).max().orElse(0);
    double[] curve = squaredTerm(sizes, values, largest);
    Map<Integer, Double> medians = new TreeMap<>();
    bySize.forEach((size, of) -> medians.put(size, median(of)));
    return new Slope(
        line.getSlope(),
        line.getSlopeConfidenceInterval(SIGNIFICANCE),
        line.getIntercept(),
        shape(line, curve[0], curve[1]),
        curve[0],
        curve[1],
        (int) largest,
        sizes.length,
        medians,
        new Line(sum / sizes.length, line.getXSumSquares(), line.getMeanSquareError()));
  }

  /** The squared term's part at the largest size, and its significance. */
  private static double[] squaredTerm(double[] sizes, double[] values, double largest) {
    double[][] terms = new double[sizes.length][];
    for (int i = 0; i < sizes.length; i++) {
      // Scaled to 1, else squares of thousands spoil the solution's figures.
      double part = sizes[i] / largest;
      terms[i] = new double[] {part, part * part};
    }
    OLSMultipleLinearRegression fit = new OLSMultipleLinearRegression();
    fit.newSampleData(values, terms);
    double[] coefficients = fit.estimateRegressionParameters();
    double error = fit.estimateRegressionParametersStandardErrors()[2];
    double atLargest = coefficients[0] + coefficients[1] + coefficients[2];
    double part = atLargest == 0 ? 0 : coefficients[2] / Math.abs(atLargest);
    double significance = error == 0
        ? (coefficients[2] == 0 ? 1 : 0)
        : 2
            * new TDistribution(sizes.length - 3)
                .cumulativeProbability(-Math.abs(coefficients[2] / error));
    return new double[] {part, significance};
  }

  private static Shape shape(SimpleRegression line, double curvature, double significance) {
    if (significance < SIGNIFICANCE && Math.abs(curvature) >= LEAST_CURVATURE) {
      return curvature > 0 ? Shape.SUPERLINEAR : Shape.SUBLINEAR;
    }
    return Math.abs(line.getSlope()) <= line.getSlopeConfidenceInterval(SIGNIFICANCE)
        ? Shape.CONSTANT
        : Shape.LINEAR;
  }

  static double median(List<Double> values) {
    List<Double> sorted = values.stream().sorted().toList();
    int middle = sorted.size() / 2;
    return sorted.size() % 2 == 1
        ? sorted.get(middle)
        : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
  }

  /** Whether a straight line does not describe the values. */
  boolean isCurved() {
    return shape == Shape.SUPERLINEAR || shape == Shape.SUBLINEAR;
  }

  /** The mean of all values, with its interval. */
  public Projection mean() {
    return at(line.meanSize());
  }

  /** The line's value at a size, with the interval of its mean. */
  public Projection at(double size) {
    double distance = size - line.meanSize();
    double deviation = Math.sqrt(
        line.meanSquareError() * (1.0 / samples + distance * distance / line.sumOfSquares()));
    double quantile =
        new TDistribution(samples - 2).inverseCumulativeProbability(1 - SIGNIFICANCE / 2);
    return new Projection(atZero + perUnit * size, quantile * deviation);
  }
}
