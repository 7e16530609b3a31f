package pumicekeel.load;

/**
 * How a load uses its connections: how many, at what rate, and how many requests at a time.
 *
 * @param perSecond requests per second of all connections together, split evenly; infinite for a closed loop, which sends the next
 *     request as soon as the depth allows
 * @param depth maximum number of pending requests on one connection
 * @param batch number of requests in one write, at most {@code depth}
 * @param abandonsPerThousand at how many of a thousand sends the client closes the connection instead, with requests pending
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
          "expected at least 1 connection, a rate above 0 and a batch of 1 up to the depth, got "
              + connections + ", " + perSecond + ", " + batch + " of " + depth);
    }
  }

  /**
   * Returns an open loop: one request at a time per connection, at a steady rate. A connection sends its next request late if an answer
   * takes longer than the time between two requests.
   */
  public static LoadProfile openLoop(int connections, double perSecond) {
    return new LoadProfile(connections, perSecond, 1, 1, 0);
  }

  /** Returns a closed loop that keeps {@code depth} requests pending on each connection. */
  public static LoadProfile closedLoop(int connections, int depth) {
    return new LoadProfile(connections, Double.POSITIVE_INFINITY, depth, 1, 0);
  }

  /** Returns the time between two writes of one connection; 0 for a closed loop. */
  long gapNanos() {
    return (long) (connections * batch * 1e9 / perSecond);
  }
}
