package pumicekeel.load;

/**
 * How a load uses its connections: how many, at what rate, and how many requests at a time.
 *
 * @param perSecond requests a second of all connections together, split evenly; infinite for a closed loop, which sends the next as
 *     soon as there is room
 * @param depth the most requests that are open on one connection
 * @param batch requests in one write, at most {@code depth}
 * @param abandonsPerThousand how many of a thousand requests have their client close the connection with requests open
 */
public record LoadProfile(
    int connections, double perSecond, int depth, int batch, int abandonsPerThousand) {

  public LoadProfile {
    if (connections < 1
        || !(perSecond > 0)
        || batch < 1
        || depth < batch
        || abandonsPerThousand < 0
        || abandonsPerThousand > 1_000) {
      throw new IllegalArgumentException(
          "expected connections of 1 on, a rate above 0, a batch within the depth, got "
              + connections + ", " + perSecond + ", " + batch + " of " + depth);
    }
  }

  /** One request at a time on each connection, at a steady rate: an open loop while answers come within one connection's gap. */
  public static LoadProfile openLoop(int connections, double perSecond) {
    return new LoadProfile(connections, perSecond, 1, 1, 0);
  }

  /** A closed loop: {@code depth} requests are open on each connection at any time. */
  public static LoadProfile closedLoop(int connections, int depth) {
    return new LoadProfile(connections, Double.POSITIVE_INFINITY, depth, 1, 0);
  }

  /** Nanoseconds between two writes of one connection; 0 for a closed loop. */
  long gapNanos() {
    return (long) (connections * batch * 1e9 / perSecond);
  }
}
