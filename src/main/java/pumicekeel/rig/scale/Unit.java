package pumicekeel.rig.scale;

/** The unit in which a figure is shown, determined by the ending of its name. */
enum Unit {
  BYTES_PER_SECOND("bytes-per-s", "B/s", 1),
  MICROS_PER_SECOND("us-per-s", "µs/s", 1),
  PER_SECOND("per-s", "/s", 1),
  BYTES("bytes", "KiB", 1 << 10),
  MICROS("us", "µs", 1),
  MILLIS("ms", "ms", 1),
  COUNT("", "", 1);

  private final String ending;
  private final String symbol;
  private final double divisor;

  Unit(String ending, String symbol, double divisor) {
    this.ending = ending;
    this.symbol = symbol;
    this.divisor = divisor;
  }

  /** Returns the unit of a figure: the first value, in declaration order, whose ending the name has. */
  static Unit ofFigure(String figure) {
    for (Unit unit : values()) {
      if (figure.endsWith(unit.ending)) {
        return unit;
      }
    }
    return COUNT;
  }

  /** Returns the symbol of the unit; empty for a count. */
  String symbol() {
    return symbol;
  }

  /** Converts a value of the result file to this unit. */
  double convert(double value) {
    return value / divisor;
  }

  /** Formats a value of the result file in this unit, with its symbol. */
  String format(double value) {
    return FigureFormat.format(convert(value)) + (symbol.isEmpty() ? "" : " " + symbol);
  }
}
