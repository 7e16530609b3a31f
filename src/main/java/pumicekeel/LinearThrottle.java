package pumicekeel;

/** The curve by which a rate is throttled: linear between two values of a measure such as a latency. */
final class LinearThrottle {

  private LinearThrottle() {}

  /** Returns a rate falling linearly from maxRate at minValue or less to minRate at maxValue or more. */
  static double allowedRate(
      double mean, double minValue, double maxValue, double maxRate, double minRate) {
    double part = Math.min(1, Math.max(0, (mean - minValue) / (maxValue - minValue)));
    return maxRate + part * (minRate - maxRate);
  }
}
