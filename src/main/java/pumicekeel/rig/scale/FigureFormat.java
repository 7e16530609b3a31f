package pumicekeel.rig.scale;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Formats figures for pages and for the progress output. */
final class FigureFormat {

  private static final int MAX_DECIMALS = 12;

  private FigureFormat() {}

  /** Formats a value with three significant digits and without an exponent. */
  static String format(double value) {
    double magnitude = Math.abs(value);
    if (magnitude == 0) {
      return "0";
    }
    if (magnitude >= 100) {
      return String.format(Locale.ROOT, "%,.0f", value);
    }
    int decimals = (int) Math.min(MAX_DECIMALS, 2 - Math.floor(Math.log10(magnitude)));
    return String.format(Locale.ROOT, "%." + decimals + "f", value);
  }

  /** Formats figures as one line of names and values, sorted by name. */
  static String format(Map<String, Double> figures) {
    return new TreeMap<>(figures)
        .entrySet().stream()
            .map(e -> e.getKey() + " " + format(e.getValue()))
            .collect(Collectors.joining(", "));
  }
}
