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

/** A figure by its size: each sample, the fitted line, up to the target where it is straight, and the interval of its mean. */
public final class SlopePlot {

  private static final int WIDTH = 640;
  private static final int HEIGHT = 360;
  private static final int STEPS = 60;
  private static final int SAMPLES = 0;
  private static final int LINE = 1;
  private static final int LOW = 2;
  private static final int HIGH = 3;
  private static final int BUDGET = 4;
  private static final double POINT = 6;
  /** Told apart in grey too: dark, middle, light. */
  private static final Color DARK = new Color(0x1b3a57);

  private static final Color MIDDLE = new Color(0xc25b12);
  private static final Color LIGHT = new Color(0xd9a877);
  private static final Color BUDGET_COLOUR = new Color(0x7a1f1f);

  /** A picture of a page: {@code ![words](PATH/SCENARIO.FIGURE.png)}, with a budget in the words or without. */
  private static final Pattern PICTURE = Pattern.compile(
      "!\\[(?:[^]]*budget ([\\d,.]+))?[^]]*]\\(([^)]*/([a-z0-9-]+)\\.([a-z0-9-]+)\\.png)\\)");

  private SlopePlot() {}

  /** Draws each picture that a page shows of a figure of the results. */
  public static void writeAll(Path page, String text, ResultFile results) throws IOException {
    Matcher picture = PICTURE.matcher(text);
    while (picture.find()) {
      List<Sample> samples = results.samplesOf(picture.group(3)).stream()
          .filter(s -> s.figures().containsKey(picture.group(4)))
          .toList();
      if (!Slope.isFit(samples)) {
        continue;
      }
      double budget =
          picture.group(1) == null ? 0 : Double.parseDouble(picture.group(1).replace(",", ""));
      write(page.resolveSibling(picture.group(2)), samples, picture.group(4), budget);
    }
  }

  /**
   * Writes a PNG of a figure of one scenario.
   *
   * @param budget what it may come to, in the unit that the figure is shown in; 0 for none
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
    ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
  }

  private static XYSeriesCollection data(
      List<Sample> samples, String figure, Unit unit, Axis axis, double budget) {
    Slope slope = Slope.of(samples, figure);
    XYSeries points = new XYSeries("samples");
    samples.stream()
        .filter(s -> s.figures().containsKey(figure))
        .forEach(s -> points.add(s.size(), unit.convert(s.figures().get(figure))));
    XYSeries line = new XYSeries("least squares");
    XYSeries low = new XYSeries("95 % interval of the line");
    XYSeries high = new XYSeries("upper end");
    XYSeries most = new XYSeries("budget");
    // Only a straight line is followed beyond what was measured.
    double end = slope.shape() == Slope.Shape.LINEAR ? axis.target() : slope.largest();
    for (int i = 0; i <= STEPS; i++) {
      double size = end * i / STEPS;
      Slope.Projection at = slope.at(size);
      line.add(size, unit.convert(at.value()));
      low.add(size, unit.convert(at.value() - at.error()));
      high.add(size, unit.convert(at.value() + at.error()));
      most.add(size, budget);
    }
    XYSeriesCollection data = new XYSeriesCollection();
    List.of(points, line, low, high).forEach(data::addSeries);
    if (budget > 0) {
      data.addSeries(most);
    }
    return data;
  }

  private static XYLineAndShapeRenderer renderer() {
    XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
    renderer.setSeriesLinesVisible(SAMPLES, false);
    renderer.setSeriesShapesVisible(SAMPLES, true);
    renderer.setSeriesShape(SAMPLES, new Ellipse2D.Double(-POINT / 2, -POINT / 2, POINT, POINT));
    renderer.setSeriesPaint(SAMPLES, DARK);
    renderer.setSeriesPaint(LINE, MIDDLE);
    renderer.setSeriesStroke(LINE, new BasicStroke(2));
    for (int side : new int[] {LOW, HIGH}) {
      renderer.setSeriesPaint(side, LIGHT);
      renderer.setSeriesStroke(side, dashed());
    }
    renderer.setSeriesVisibleInLegend(HIGH, false);
    renderer.setSeriesPaint(BUDGET, BUDGET_COLOUR);
    return renderer;
  }

  private static BasicStroke dashed() {
    return new BasicStroke(
        1.5f, BasicStroke.CAP_BUTT, BasicStroke.JOIN_ROUND, 1, new float[] {5, 4}, 0);
  }
}
