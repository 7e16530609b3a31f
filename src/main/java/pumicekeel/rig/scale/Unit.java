package pumicekeel.rig.scale;

/** In what a figure is shown; its name's end says it. */
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

  /** The unit of a figure. */
  static Unit ofFigure(String figure) {
    for (Unit unit : values()) {
      if (figure.endsWith(unit.ending)) {
        return unit;
      }
    }
    return COUNT;
  }

  String symbol() {
    return symbol;
  }

  /** A value of the result file in this unit. */
  double convert(double value) {
    return value / divisor;
  }

  /** A value of the result file as people read it. */
  String format(double value) {
    return FigureFormat.format(convert(value)) + (symbol.isEmpty() ? "" : " " + symbol);
  }
}
