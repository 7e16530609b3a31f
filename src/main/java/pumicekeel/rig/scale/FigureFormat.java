package pumicekeel.rig.scale;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Numbers as people read them. */
final class FigureFormat {

  private static final int MOST_DECIMALS = 12;

  private FigureFormat() {}

  /** Three significant digits, without an exponent. */
  static String format(double value) {
    double size = Math.abs(value);
    if (size == 0) {
      return "0";
    }
    if (size >= 100) {
      return String.format(Locale.ROOT, "%,.0f", value);
    }
    int decimals = (int) Math.min(MOST_DECIMALS, 2 - Math.floor(Math.log10(size)));
    return String.format(Locale.ROOT, "%." + decimals + "f", value);
  }

  /** Names and values on one line. */
  static String format(Map<String, Double> figures) {
    return new TreeMap<>(figures)
        .entrySet().stream()
            .map(e -> e.getKey() + " " + format(e.getValue()))
            .collect(Collectors.joining(", "));
  }
}
