package pumicekeel.rig.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Fills the figures of a Markdown page from a {@link ResultFile}. A table row names its figure in the second cell as {@code
 * `SCENARIO/FIGURE`}; the cells for slope, value at the target, growth, largest size and remaining budget are filled. A number in the
 * text is marked by {@code <!--SCENARIO/FIGURE@SIZE-->} directly after it and is replaced by the median at that size.
 *
 * <p>Only a linear fit is extrapolated beyond the largest measured size. For a figure that does not grow, the target cell shows the mean.
 *
 * <p>Filling is idempotent, so comparing a page with its filled form finds a page that was filled from other results or edited by hand.
 */
public final class CapacityPage {

  /** Indices of the cells of a row, starting at 1, because splitting at bars yields an empty text before the first bar. */
  private static final int KEY_CELL = 2;

  private static final int SLOPE_CELL = 3;
  private static final int TARGET_CELL = 4;
  private static final int GROWTH_CELL = 5;
  private static final int LARGEST_CELL = 6;
  private static final int BUDGET_CELL = 7;
  private static final int REMAINING_CELL = 8;
  private static final int CELLS = 9;

  private static final Pattern KEY = Pattern.compile("`([a-z0-9-]+)/([a-z0-9-]+)`");
  private static final Pattern INLINE_FIGURE =
      Pattern.compile("[^\\s(]+(<!--([a-z0-9-]+)/([a-z0-9-]+)@(\\d+)-->)");
  private static final Pattern NUMBER = Pattern.compile("[\\d,.]+");
  private static final String NOT_MEASURED = "not measured";
  private static final String EMPTY = "";

  private final ResultFile results;

  /** Creates a filler that takes its figures from these results. */
  public CapacityPage(ResultFile results) {
    this.results = results;
  }

  /** Returns the page with all figures filled from the results. */
  public String fill(String page) {
    String rows = page.lines().map(this::fillRow).collect(Collectors.joining("\n", "", "\n"));
    return INLINE_FIGURE.matcher(rows).replaceAll(this::fillInlineFigure);
  }

  private String fillInlineFigure(MatchResult match) {
    int size = Integer.parseInt(match.group(4));
    String shown = median(match.group(2), match.group(3), size);
    return Matcher.quoteReplacement(shown + match.group(1));
  }

  private String median(String scenario, String figure, int size) {
    List<Double> values = samples(scenario, figure).stream()
        .filter(sample -> sample.size() == size)
        .map(sample -> sample.figures().get(figure))
        .toList();
    // One word, because the pattern replaces a single word before the marker.
    return values.isEmpty()
        ? "unmeasured"
        : FigureFormat.format(Unit.ofFigure(figure).convert(Slope.median(values)));
  }

  private List<Sample> samples(String scenario, String figure) {
    return results.samplesOf(scenario).stream()
        .filter(sample -> sample.figures().containsKey(figure))
        .toList();
  }

  private String fillRow(String line) {
    if (!line.startsWith("|")) {
      return line;
    }
    String[] cells = Arrays.stream(line.split("\\|", -1)).map(String::strip).toArray(String[]::new);
    Matcher key = cells.length == CELLS + 2 ? KEY.matcher(cells[KEY_CELL]) : null;
    if (key == null || !key.matches()) {
      return line;
    }
    fillCells(cells, key.group(1), key.group(2));
    return Arrays.stream(cells, 1, CELLS + 1).collect(Collectors.joining(" | ", "| ", " |"));
  }

  private void fillCells(String[] cells, String scenario, String figure) {
    List<Sample> samples = samples(scenario, figure);
    if (!Slope.canFit(samples)) {
      cells[SLOPE_CELL] = EMPTY;
      cells[TARGET_CELL] = NOT_MEASURED;
      cells[GROWTH_CELL] = EMPTY;
      cells[LARGEST_CELL] = samples.isEmpty() ? EMPTY : sizesText(samples);
      cells[REMAINING_CELL] = EMPTY;
      return;
    }
    Unit unit = Unit.ofFigure(figure);
    Axis axis = samples.get(0).axis();
    Slope slope = Slope.of(samples, figure);
    cells[SLOPE_CELL] = slopeText(slope, unit, axis);
    cells[GROWTH_CELL] = growthText(slope);
    cells[LARGEST_CELL] = largestSizeText(scenario, slope, unit, figure);
    boolean extrapolated = axis.target() > slope.largestSize();
    if (extrapolated && slope.isCurved()) {
      cells[TARGET_CELL] = "no projection: curved";
      cells[REMAINING_CELL] = EMPTY;
      return;
    }
    boolean grows = slope.shape() != Slope.Shape.CONSTANT;
    Slope.Projection target = grows ? slope.at(axis.target()) : slope.mean();
    String shown =
        unit.format(target.value()) + " ± " + FigureFormat.format(unit.convert(target.error()));
    if (extrapolated && !grows) {
      cells[TARGET_CELL] = "no slope seen, mean " + shown;
      cells[REMAINING_CELL] = EMPTY;
      return;
    }
    cells[TARGET_CELL] = shown;
    cells[REMAINING_CELL] = remainingBudget(cells[BUDGET_CELL], unit, target);
  }

  private static String sizesText(List<Sample> samples) {
    return "only at "
        + samples.stream()
            .map(Sample::size)
            .distinct()
            .map(size -> String.format(Locale.ROOT, "%,d", size))
            .collect(Collectors.joining(", "));
  }

  private static String slopeText(Slope slope, Unit unit, Axis axis) {
    return FigureFormat.format(unit.convert(slope.intercept())) + " + ("
        + FigureFormat.format(unit.convert(slope.perUnit())) + " ± "
        + FigureFormat.format(unit.convert(slope.perUnitError())) + ") × " + axis.key();
  }

  private static String growthText(Slope slope) {
    String shape = slope.shape().name().toLowerCase(Locale.ROOT);
    return switch (slope.shape()) {
      case SUPERLINEAR, SUBLINEAR ->
        shape + ", square " + FigureFormat.format(100 * slope.curvature()) + " %";
      case LINEAR, CONSTANT -> shape;
    };
  }

  /** Returns the largest measured size with its median, and the smallest size that the program refused, if any. */
  private String largestSizeText(String scenario, Slope slope, Unit unit, String figure) {
    Map<Integer, Double> medians = new TreeMap<>(slope.medians());
    String measured = String.format(Locale.ROOT, "%,d", slope.largestSize()) + ": "
        + unit.format(medians.get(slope.largestSize()));
    return results.samplesOf(scenario).stream()
        .filter(sample -> sample.figures().containsKey(ScaleRun.REFUSED))
        .map(Sample::size)
        .min(Integer::compare)
        .map(size -> measured + "; refused at " + String.format(Locale.ROOT, "%,d", size))
        .orElse(measured);
  }

  /** Returns how much of a budget remains at the target, or by how much it is exceeded, in the unit of the figure; empty for none. */
  private static String remainingBudget(String budget, Unit unit, Slope.Projection target) {
    Matcher number = NUMBER.matcher(budget);
    if (!number.lookingAt()) {
      return EMPTY;
    }
    double budgetValue = Double.parseDouble(number.group().replace(",", ""));
    double remaining = budgetValue - unit.convert(target.value());
    return remaining >= 0
        ? FigureFormat.format(remaining) + " " + unit.symbol()
        : "over by " + FigureFormat.format(-remaining) + " " + unit.symbol();
  }
}
