package pumicekeel.lab.experiment;

import de.erichseifert.vectorgraphics2d.VectorGraphics2D;
import de.erichseifert.vectorgraphics2d.svg.SVGProcessor;
import de.erichseifert.vectorgraphics2d.util.PageSize;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.CategoryLabelPositions;
import org.jfree.chart.plot.CategoryPlot;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.renderer.category.BarRenderer;
import org.jfree.chart.renderer.category.StandardBarPainter;
import org.jfree.chart.text.TextUtils;
import org.jfree.data.category.DefaultCategoryDataset;
import pumicekeel.lab.fleet.Figures;
import pumicekeel.lab.policy.Policies;
import pumicekeel.lab.world.Worlds;

/** Renders the results of an experiment as one self-contained HTML page with a table and plots for each size. */
public final class Report {

  private static final int WIDTH = 1_000;
  private static final int HEIGHT = 360;
  private static final List<String> PLOTTED = List.of("worth", "p99-ms", "refused-part");
  private static final List<String> SHOWN = List.of(
      "worth",
      "goal",
      "worst-ten",
      "refused-part",
      "failed-part",
      "p50-ms",
      "p99-ms",
      "attempts-per-try",
      "connections",
      "wasted-work",
      "cold-share",
      "broken");
  private static final Color[] COLORS = {
    new Color(0x1b6ca8),
    new Color(0xb0b0b0),
    new Color(0x8c8c8c),
    new Color(0xd98e04),
    new Color(0x4f9d69),
    new Color(0x9b5de5)
  };

  private Report() {}

  /** Returns the page as HTML. */
  public static String html(String title, List<Result> unordered) {
    // Runs end in any order; sorting gives each policy the same place and color on every page.
    List<Result> results = unordered.stream()
        .sorted(
            Comparator.<Result>comparingInt(r -> Worlds.names().indexOf(r.run().world()))
                .thenComparingInt(r -> Policies.names().indexOf(r.run().policy()))
                .thenComparingInt(r -> r.run().balancers())
                .thenComparingDouble(r -> r.run().value())
                .thenComparingLong(r -> r.run().seed()))
        .toList();
    StringBuilder out = new StringBuilder(
            "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
        .append(text(title))
        .append(
            "</title><style>body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1240px;color:#222}"
                + "table{border-collapse:collapse;font-size:13px;white-space:nowrap;margin:.5em 0 2em}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}"
                + "td:first-child,th:first-child{text-align:left}tr.own{font-weight:600}td.bad{color:#b00020}svg{max-width:100%;height:auto;font:12px \"DejaVu Sans\",Verdana,sans-serif}"
                + "</style></head><body><h1>")
        .append(text(title))
        .append("</h1>");
    Set<String> builds = new LinkedHashSet<>();
    results.forEach(r -> builds.add(r.build()));
    long withoutFigures = results.stream().filter(r -> !r.ok()).count();
    out.append("<p>")
        .append(results.size())
        .append(" runs of ")
        .append(text(String.join(", ", builds)))
        .append(withoutFigures == 0 ? "." : "; <b>" + withoutFigures + " without figures</b>.")
        .append(
            " Figures are means over the seeds; worth is relative to that of all requests.</p>");
    Map<String, List<Result>> bySize = new LinkedHashMap<>();
    results.stream()
        .filter(Result::ok)
        .forEach(r -> bySize
            .computeIfAbsent(
                r.run().balancers() + " balancers, " + r.run().servers() + " upstreams"
                    + (r.run().sweep().isEmpty()
                        ? ""
                        : ", " + r.run().sweep() + " " + r.run().value()),
                key -> new ArrayList<>())
            .add(r));
    bySize.forEach((size, sizeResults) -> {
      out.append("<h2>").append(text(size)).append("</h2>");
      PLOTTED.forEach(metric -> out.append(plot(metric, sizeResults)));
      out.append(table(sizeResults));
    });
    return out.append("</body></html>\n").toString();
  }

  private static Map<String, Map<String, List<Result>>> byWorldAndPolicy(List<Result> results) {
    Map<String, Map<String, List<Result>>> by = new LinkedHashMap<>();
    results.forEach(r -> by.computeIfAbsent(r.run().world(), key -> new LinkedHashMap<>())
        .computeIfAbsent(r.run().policy(), key -> new ArrayList<>())
        .add(r));
    return by;
  }

  private static double mean(List<Result> results, String metric) {
    return results.stream()
        .mapToDouble(r -> r.figures().getOrDefault(metric, 0.0))
        .average()
        .orElse(0);
  }

  private static String table(List<Result> results) {
    StringBuilder out = new StringBuilder("<table><tr><th>world</th><th>policy</th><th>seeds</th>");
    SHOWN.forEach(metric -> out.append("<th>").append(metric).append("</th>"));
    out.append("</tr>");
    byWorldAndPolicy(results)
        .forEach((world, policies) -> policies.forEach((policy, policyResults) -> {
          out.append(policy.equals(Policies.OWN) ? "<tr class=\"own\"><td>" : "<tr><td>")
              .append(text(world))
              .append("</td><td>")
              .append(text(policy))
              .append("</td><td>")
              .append(policyResults.size())
              .append("</td>");
          for (String metric : SHOWN) {
            double value = mean(policyResults, metric);
            boolean bad = metric.equals("broken") && value > 0;
            out.append(bad ? "<td class=\"bad\">" : "<td>").append(shown(value)).append("</td>");
          }
          out.append("</tr>");
        }));
    return out.append("</table>").toString();
  }

  static String shown(double value) {
    return value == 0
        ? "0"
        : Math.abs(value) >= 100
            ? String.format("%.0f", value)
            : Math.abs(value) >= 10 ? String.format("%.1f", value) : String.format("%.3f", value);
  }

  private static String plot(String metric, List<Result> results) {
    // With the workaround, rotated labels would be drawn as outlines and not as text.
    TextUtils.setUseDrawRotatedStringWorkaround(false);
    DefaultCategoryDataset data = new DefaultCategoryDataset();
    byWorldAndPolicy(results)
        .forEach((world, policies) -> policies.forEach(
            (policy, policyResults) -> data.addValue(mean(policyResults, metric), policy, world)));
    JFreeChart chart = ChartFactory.createBarChart(
        null,
        null,
        metric + (Figures.lowerIsBetter(metric) ? " (lower is better)" : ""),
        data,
        PlotOrientation.VERTICAL,
        true,
        false,
        false);
    chart.setBackgroundPaint(Color.WHITE);
    chart.getLegend().setFrame(org.jfree.chart.block.BlockBorder.NONE);
    CategoryPlot plot = chart.getCategoryPlot();
    plot.setBackgroundPaint(Color.WHITE);
    plot.setRangeGridlinePaint(new Color(0xdddddd));
    plot.setOutlineVisible(false);
    plot.getDomainAxis().setCategoryLabelPositions(CategoryLabelPositions.UP_45);
    plot.getDomainAxis().setTickLabelFont(new Font(Font.SANS_SERIF, Font.PLAIN, 11));
    BarRenderer renderer = (BarRenderer) plot.getRenderer();
    renderer.setBarPainter(new StandardBarPainter());
    renderer.setShadowVisible(false);
    renderer.setItemMargin(0.02);
    for (int i = 0; i < data.getRowCount(); i++) {
      renderer.setSeriesPaint(
          i, COLORS[Math.max(0, Policies.names().indexOf(data.getRowKey(i))) % COLORS.length]);
    }
    VectorGraphics2D drawn = new VectorGraphics2D();
    chart.draw(drawn, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      new SVGProcessor()
          .getDocument(drawn.getCommands(), new PageSize(0, 0, WIDTH, HEIGHT))
          .writeTo(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    String svg = out.toString(StandardCharsets.UTF_8);
    // The SVG is embedded in a page, so its XML prolog is removed.
    return svg.substring(svg.indexOf("<svg"));
  }

  private static String text(String raw) {
    return raw.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
