package pumicekeel.load;

/**
 * How a load uses its connections.
 *
 * @param perSecond of all together, split evenly; infinite for the next as soon as there is room
 * @param depth open at once on each, at most
 * @param batch asked in one write
 * @param leaves of a thousand asked, so many have their client leave with what is open
 */
public record Shape(int connections, double perSecond, int depth, int batch, int leaves) {

  public Shape {
    if (connections < 1
        || !(perSecond > 0)
        || batch < 1
        || depth < batch
        || leaves < 0
        || leaves > 1_000) {
      throw new IllegalArgumentException(
          "expected connections of 1 on, a rate above 0, a batch within the depth, got "
              + connections + ", " + perSecond + ", " + batch + " of " + depth);
    }
  }

  /** One at a time on each, at a steady rate: an open loop as long as answers come within the gap of one connection. */
  public static Shape steady(int connections, double perSecond) {
    return new Shape(connections, perSecond, 1, 1, 0);
  }

  /** So many open on each all the time: a closed loop. */
  public static Shape busy(int connections, int depth) {
    return new Shape(connections, Double.POSITIVE_INFINITY, depth, 1, 0);
  }

  /** Between two writes of one connection; 0 for a closed loop. */
  long gapNanos() {
    return (long) (connections * batch * 1e9 / perSecond);
  }
}
