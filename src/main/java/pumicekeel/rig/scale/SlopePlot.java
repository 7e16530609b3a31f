package pumicekeel.rig.scale;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Ellipse2D;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Plots a figure over the size: the samples, the fitted line and the confidence interval of its mean. Only a linear fit extends to the target. */
public final class SlopePlot {

  private static final int WIDTH_PIXELS = 640;
  private static final int HEIGHT_PIXELS = 360;
  private static final int LINE_STEPS = 60;
  /** Indices of the series in the data set. */
  private static final int SAMPLES_SERIES = 0;

  private static final int LINE_SERIES = 1;
  private static final int LOWER_SERIES = 2;
  private static final int UPPER_SERIES = 3;
  private static final int BUDGET_SERIES = 4;
  private static final double POINT_DIAMETER = 6;
  /** The colours differ in brightness, too, so that they can be told apart in greyscale. */
  private static final Color DARK = new Color(0x1b3a57);

  private static final Color MIDDLE = new Color(0xc25b12);
  private static final Color LIGHT = new Color(0xd9a877);
  private static final Color BUDGET_COLOUR = new Color(0x7a1f1f);

  /** An image in a page: {@code ![TEXT](PATH/SCENARIO.FIGURE.png)}; the text may contain {@code budget NUMBER}. */
  private static final Pattern IMAGE = Pattern.compile(
      "!\\[(?:[^]]*budget ([\\d,.]+))?[^]]*]\\(([^)]*/([a-z0-9-]+)\\.([a-z0-9-]+)\\.png)\\)");

  private SlopePlot() {}

  /** Draws each plot that a page refers to and for whose figure the results have enough samples. */
  public static void writeAll(Path page, String text, ResultFile results) throws IOException {
    Matcher image = IMAGE.matcher(text);
    while (image.find()) {
      List<Sample> samples = results.samplesOf(image.group(3)).stream()
          .filter(sample -> sample.figures().containsKey(image.group(4)))
          .toList();
      if (!Slope.canFit(samples)) {
        continue;
      }
      double budget =
          image.group(1) == null ? 0 : Double.parseDouble(image.group(1).replace(",", ""));
      write(page.resolveSibling(image.group(2)), samples, image.group(4), budget);
    }
  }

  /**
   * Writes a plot of one figure of one scenario as a PNG file.
   *
   * @param budget the budget of the figure, in the unit that the figure is shown in; 0 for none
   */
  public static void write(Path file, List<Sample> samples, String figure, double budget)
      throws IOException {
    Unit unit = Unit.ofFigure(figure);
    Axis axis = samples.get(0).axis();
    XYSeriesCollection data = data(samples, figure, unit, axis, budget);
    String title = samples.get(0).scenario() + ": " + figure;
    JFreeChart chart = ChartFactory.createXYLineChart(
        title, axis.key(), unit.symbol(), data, PlotOrientation.VERTICAL, true, false, false);
    chart.setBackgroundPaint(Color.WHITE);
    chart.getTitle().setFont(new Font(Font.SANS_SERIF, Font.BOLD, 14));
    XYPlot plot = chart.getXYPlot();
    plot.setBackgroundPaint(Color.WHITE);
    plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
    plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
    plot.setRenderer(renderer());
    Files.createDirectories(file.toAbsolutePath().getParent());
    ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
  }

  private static XYSeriesCollection data(
      List<Sample> samples, String figure, Unit unit, Axis axis, double budget) {
    Slope slope = Slope.of(samples, figure);
    XYSeries points = new XYSeries("samples");
    samples.stream()
        .filter(sample -> sample.figures().containsKey(figure))
        .forEach(
            sample -> points.add(sample.size(), unit.convert(sample.figures().get(figure))));
    XYSeries line = new XYSeries("least squares");
    XYSeries lower = new XYSeries("95 % interval of the line");
    XYSeries upper = new XYSeries("upper end");
    XYSeries budgetLine = new XYSeries("budget");
    // Only a linear fit is extrapolated beyond the measured sizes.
    double maxSize = slope.shape() == Slope.Shape.LINEAR ? axis.target() : slope.largestSize();
    for (int i = 0; i <= LINE_STEPS; i++) {
      double size = maxSize * i / LINE_STEPS;
      Slope.Projection projection = slope.at(size);
      line.add(size, unit.convert(projection.value()));
      lower.add(size, unit.convert(projection.value() - projection.error()));
      upper.add(size, unit.convert(projection.value() + projection.error()));
      budgetLine.add(size, budget);
    }
    XYSeriesCollection data = new XYSeriesCollection();
    List.of(points, line, lower, upper).forEach(data::addSeries);
    if (budget > 0) {
      data.addSeries(budgetLine);
    }
    return data;
  }

  private static XYLineAndShapeRenderer renderer() {
    XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
    renderer.setSeriesLinesVisible(SAMPLES_SERIES, false);
    renderer.setSeriesShapesVisible(SAMPLES_SERIES, true);
    renderer.setSeriesShape(
        SAMPLES_SERIES,
        new Ellipse2D.Double(
            -POINT_DIAMETER / 2, -POINT_DIAMETER / 2, POINT_DIAMETER, POINT_DIAMETER));
    renderer.setSeriesPaint(SAMPLES_SERIES, DARK);
    renderer.setSeriesPaint(LINE_SERIES, MIDDLE);
    renderer.setSeriesStroke(LINE_SERIES, new BasicStroke(2));
    for (int side : new int[] {LOWER_SERIES, UPPER_SERIES}) {
      renderer.setSeriesPaint(side, LIGHT);
      renderer.setSeriesStroke(side, dashed());
    }
    renderer.setSeriesVisibleInLegend(UPPER_SERIES, false);
    renderer.setSeriesPaint(BUDGET_SERIES, BUDGET_COLOUR);
    return renderer;
  }

  private static BasicStroke dashed() {
    return new BasicStroke(
        1.5f, BasicStroke.CAP_BUTT, BasicStroke.JOIN_ROUND, 1, new float[] {5, 4}, 0);
  }
}
