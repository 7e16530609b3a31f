package pumicekeel.rig.scale;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A linear fit of a figure over the size, by least squares, with 95 % confidence intervals.
 *
 * @param perUnit slope of the line
 * @param perUnitError half the width of the slope's confidence interval
 * @param intercept value of the line at size 0
 * @param shape how the figure grows, and so whether a straight line describes it
 * @param curvature contribution of the quadratic term of a second-degree fit at the largest size, as a fraction of the value there
 * @param curvatureSignificance p-value of the quadratic term: the probability of one at least as large if the true relation is linear
 * @param largestSize the largest measured size
 * @param sampleCount number of fitted points
 * @param medians median of the values at each size
 * @param statistics statistics of the regression from which confidence intervals of the line are computed
 */
public record Slope(
    double perUnit,
    double perUnitError,
    double intercept,
    Shape shape,
    double curvature,
    double curvatureSignificance,
    int largestSize,
    int sampleCount,
    Map<Integer, Double> medians,
    Statistics statistics) {

  /** How a figure grows. */
  public enum Shape {
    LINEAR,
    SUPERLINEAR,
    SUBLINEAR,
    /** Neither the slope nor the quadratic term differs significantly from zero. */
    CONSTANT
  }

  /**
   * Statistics for the confidence interval at a point of the line.
   *
   * @param meanSize mean of the sizes
   * @param sumOfSquares sum of the squared deviations of the sizes from their mean
   * @param meanSquareError mean square error of the regression
   */
  record Statistics(double meanSize, double sumOfSquares, double meanSquareError) {}

  /** A value of the line and half the width of its 95 % confidence interval. */
  public record Projection(double value, double error) {}

  private static final double SIGNIFICANCE = 0.05;
  /** A quadratic term that contributes a smaller fraction at the largest size is ignored. */
  private static final double MIN_CURVATURE = 0.1;
  /** The quadratic fit has three coefficients, and its error needs at least one further degree of freedom. */
  private static final int MIN_SAMPLES = 4;

  /** A second-degree curve is determined by three points; with fewer sizes it is not. */
  private static final int MIN_SIZES = 3;

  /** Returns whether there are enough samples and sizes for a linear and a quadratic fit. */
  static boolean canFit(List<Sample> samples) {
    return samples.size() >= MIN_SAMPLES
        && samples.stream().mapToInt(Sample::size).distinct().count() >= MIN_SIZES;
  }

  /** Fits a figure of the samples of one scenario; samples without the figure are left out. */
  public static Slope of(List<Sample> samples, String figure) {
    List<Sample> withFigure =
        samples.stream().filter(sample -> sample.figures().containsKey(figure)).toList();
    if (withFigure.size() < MIN_SAMPLES) {
      throw new IllegalArgumentException("expected at least " + MIN_SAMPLES
          + " samples with the figure " + figure + ", got " + withFigure.size());
    }
    double[] sizes = withFigure.stream().mapToDouble(Sample::size).toArray();
    double[] values =
        withFigure.stream().mapToDouble(sample -> sample.figures().get(figure)).toArray();
    return fit(sizes, values);
  }

  /** Fits values over their sizes, given in the same order. */
  static Slope fit(double[] sizes, double[] values) {
    SimpleRegression line = new SimpleRegression();
    Map<Integer, List<Double>> bySize = new TreeMap<>();
    double sum = 0;
    for (int i = 0; i < sizes.length; i++) {
      line.addData(sizes[i], values[i]);
      sum += sizes[i];
      bySize.computeIfAbsent((int) sizes[i], k -> new java.util.ArrayList<>()).add(values[i]);
    }
    double largestSize = bySize.keySet().stream().mapToInt(i -> i).max().orElse(0);
    double[] quadratic = quadraticTerm(sizes, values, largestSize);
    Map<Integer, Double> medians = new TreeMap<>();
    bySize.forEach((size, valuesAtSize) -> medians.put(size, median(valuesAtSize)));
    return new Slope(
        line.getSlope(),
        line.getSlopeConfidenceInterval(SIGNIFICANCE),
        line.getIntercept(),
        shape(line, quadratic[0], quadratic[1]),
        quadratic[0],
        quadratic[1],
        (int) largestSize,
        sizes.length,
        medians,
        new Statistics(sum / sizes.length, line.getXSumSquares(), line.getMeanSquareError()));
  }

  /** Returns the contribution of the quadratic term at the largest size, as a fraction of the value there, and its p-value. */
  private static double[] quadraticTerm(double[] sizes, double[] values, double largestSize) {
    double[][] terms = new double[sizes.length][];
    for (int i = 0; i < sizes.length; i++) {
      // Scaled to at most 1, because squares of sizes in the thousands would cost precision in the
      // solution.
      double scaledSize = sizes[i] / largestSize;
      terms[i] = new double[] {scaledSize, scaledSize * scaledSize};
    }
    OLSMultipleLinearRegression fit = new OLSMultipleLinearRegression();
    fit.newSampleData(values, terms);
    double[] coefficients = fit.estimateRegressionParameters();
    double error = fit.estimateRegressionParametersStandardErrors()[2];
    double atLargest = coefficients[0] + coefficients[1] + coefficients[2];
    double fraction = atLargest == 0 ? 0 : coefficients[2] / Math.abs(atLargest);
    double significance = error == 0
        ? (coefficients[2] == 0 ? 1 : 0)
        : 2
            * new TDistribution(sizes.length - 3)
                .cumulativeProbability(-Math.abs(coefficients[2] / error));
    return new double[] {fraction, significance};
  }

  private static Shape shape(SimpleRegression line, double curvature, double significance) {
    if (significance < SIGNIFICANCE && Math.abs(curvature) >= MIN_CURVATURE) {
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

  /** Returns whether a straight line does not describe the values. */
  boolean isCurved() {
    return shape == Shape.SUPERLINEAR || shape == Shape.SUBLINEAR;
  }

  /** Returns the mean of all values with its confidence interval. */
  public Projection mean() {
    return at(statistics.meanSize());
  }

  /** Returns the value of the line at a size with the confidence interval of the mean there. */
  public Projection at(double size) {
    double distance = size - statistics.meanSize();
    double deviation = Math.sqrt(statistics.meanSquareError()
        * (1.0 / sampleCount + distance * distance / statistics.sumOfSquares()));
    double quantile =
        new TDistribution(sampleCount - 2).inverseCumulativeProbability(1 - SIGNIFICANCE / 2);
    return new Projection(intercept + perUnit * size, quantile * deviation);
  }
}
