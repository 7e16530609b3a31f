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
 * A page whose figures come from a {@link ResultFile}. A row of a table names its figure in the second cell as {@code
 * `SCENARIO/FIGURE`}; the cells for slope, value at the target, growth, largest size and what is left of the budget are filled in.
 * A number in the text stands in front of {@code <!--SCENARIO/FIGURE@SIZE-->}, and is the median at that size.
 *
 * <p>Only a straight line is followed beyond the largest size that was measured. A figure that does not grow has its mean at the target.
 *
 * <p>Filling a page twice gives the same page, so one that was filled last from other results, or edited by hand, is told apart.
 */
public final class CapacityPage {

  /** Cells of a row, counted from 1 as they stand between bars. */
  private static final int KEY_CELL = 2;

  private static final int SLOPE_CELL = 3;
  private static final int TARGET_CELL = 4;
  private static final int GROWTH_CELL = 5;
  private static final int LARGEST_CELL = 6;
  private static final int BUDGET_CELL = 7;
  private static final int LEFT_CELL = 8;
  private static final int CELLS = 9;

  private static final Pattern KEY = Pattern.compile("`([a-z0-9-]+)/([a-z0-9-]+)`");
  private static final Pattern IN_TEXT =
      Pattern.compile("[^\\s(]+(<!--([a-z0-9-]+)/([a-z0-9-]+)@(\\d+)-->)");
  private static final Pattern NUMBER = Pattern.compile("[\\d,.]+");
  private static final String UNMEASURED = "not measured";
  private static final String EMPTY = "";

  private final ResultFile results;

  public CapacityPage(ResultFile results) {
    this.results = results;
  }

  /** The page with all figures as the results have them. */
  public String fill(String page) {
    String rows = page.lines().map(this::row).collect(Collectors.joining("\n", "", "\n"));
    return IN_TEXT.matcher(rows).replaceAll(this::inText);
  }

  private String inText(MatchResult found) {
    int size = Integer.parseInt(found.group(4));
    String shown = median(found.group(2), found.group(3), size);
    return Matcher.quoteReplacement(shown + found.group(1));
  }

  private String median(String scenario, String figure, int size) {
    List<Double> values = samples(scenario, figure).stream()
        .filter(s -> s.size() == size)
        .map(s -> s.figures().get(figure))
        .toList();
    // No space: what stands in front of the marker is one word.
    return values.isEmpty()
        ? "unmeasured"
        : FigureFormat.format(Unit.ofFigure(figure).convert(Slope.median(values)));
  }

  private List<Sample> samples(String scenario, String figure) {
    return results.samplesOf(scenario).stream()
        .filter(s -> s.figures().containsKey(figure))
        .toList();
  }

  private String row(String line) {
    if (!line.startsWith("|")) {
      return line;
    }
    // The first part is what stands before the first bar: nothing.
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
    if (!Slope.isFit(samples)) {
      cells[SLOPE_CELL] = EMPTY;
      cells[TARGET_CELL] = UNMEASURED;
      cells[GROWTH_CELL] = EMPTY;
      cells[LARGEST_CELL] = samples.isEmpty() ? EMPTY : sizesOf(samples);
      cells[LEFT_CELL] = EMPTY;
      return;
    }
    Unit unit = Unit.ofFigure(figure);
    Axis axis = samples.get(0).axis();
    Slope slope = Slope.of(samples, figure);
    cells[SLOPE_CELL] = slope(slope, unit, axis);
    cells[GROWTH_CELL] = growth(slope);
    cells[LARGEST_CELL] = largest(scenario, slope, unit, figure);
    boolean projects = axis.target() > slope.largest();
    if (projects && slope.isCurved()) {
      cells[TARGET_CELL] = "no projection: curved";
      cells[LEFT_CELL] = EMPTY;
      return;
    }
    boolean grows = slope.shape() != Slope.Shape.CONSTANT;
    Slope.Projection target = grows ? slope.at(axis.target()) : slope.mean();
    String shown =
        unit.format(target.value()) + " ± " + FigureFormat.format(unit.convert(target.error()));
    if (projects && !grows) {
      cells[TARGET_CELL] = "no slope seen, mean " + shown;
      cells[LEFT_CELL] = EMPTY;
      return;
    }
    cells[TARGET_CELL] = shown;
    cells[LEFT_CELL] = left(cells[BUDGET_CELL], unit, target);
  }

  private static String sizesOf(List<Sample> samples) {
    return "only at "
        + samples.stream()
            .map(Sample::size)
            .distinct()
            .map(size -> String.format(Locale.ROOT, "%,d", size))
            .collect(Collectors.joining(", "));
  }

  private static String slope(Slope slope, Unit unit, Axis axis) {
    return FigureFormat.format(unit.convert(slope.atZero())) + " + ("
        + FigureFormat.format(unit.convert(slope.perUnit())) + " ± "
        + FigureFormat.format(unit.convert(slope.perUnitError())) + ") × " + axis.key();
  }

  private static String growth(Slope slope) {
    String shape = slope.shape().name().toLowerCase(Locale.ROOT);
    return switch (slope.shape()) {
      case SUPERLINEAR, SUBLINEAR ->
        shape + ", square " + FigureFormat.format(100 * slope.curvature()) + " %";
      case LINEAR, CONSTANT -> shape;
    };
  }

  /** The largest size that was measured with the median there, and from where on the program refuses. */
  private String largest(String scenario, Slope slope, Unit unit, String figure) {
    Map<Integer, Double> medians = new TreeMap<>(slope.medians());
    String measured = String.format(Locale.ROOT, "%,d", slope.largest()) + ": "
        + unit.format(medians.get(slope.largest()));
    return results.samplesOf(scenario).stream()
        .filter(s -> s.figures().containsKey(ScaleRun.REFUSED))
        .map(Sample::size)
        .min(Integer::compare)
        .map(size -> measured + "; refused at " + String.format(Locale.ROOT, "%,d", size))
        .orElse(measured);
  }

  /** What is left of a budget at the target, in the unit of the figure. */
  private static String left(String budget, Unit unit, Slope.Projection target) {
    Matcher number = NUMBER.matcher(budget);
    if (!number.lookingAt()) {
      return EMPTY;
    }
    double most = Double.parseDouble(number.group().replace(",", ""));
    double left = most - unit.convert(target.value());
    return left >= 0
        ? FigureFormat.format(left) + " " + unit.symbol()
        : "over by " + FigureFormat.format(-left) + " " + unit.symbol();
  }
}
