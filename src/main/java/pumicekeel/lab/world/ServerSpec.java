package pumicekeel.lab.world;

/**
 * Properties of an upstream; their ranges come from the operators' requirements.
 *
 * @param cores requests that run at the same time at full speed
 * @param speed of a core, relative to the reference speed in which work is measured
 * @param slots maximum number of requests that run or wait for other systems; {@link Integer#MAX_VALUE} for no limit
 * @param queueLength maximum number of requests that wait for a slot; further ones are rejected unprocessed
 * @param contentionCost relative increase of each core's work for every started request beyond four per core
 * @param coldFrom share of the full capacity that is available at the start
 * @param warmUpNanos time until the full capacity is available, with a linear increase
 * @param maxConnections maximum number of open connections
 * @param handshakeWorkNanos work of a new connection
 * @param keyRetentionNanos how long a session key is remembered
 * @param keyHitSaving share of the work that a remembered session key saves
 * @param maxKeys maximum number of remembered session keys; the least recently used is forgotten first
 * @param weight its size as shown in weighted lists
 */
public record ServerSpec(
    int cores,
    double speed,
    int slots,
    int queueLength,
    double contentionCost,
    double coldFrom,
    long warmUpNanos,
    int maxConnections,
    long handshakeWorkNanos,
    long keyRetentionNanos,
    double keyHitSaving,
    int maxKeys,
    double weight) {

  /** Returns the work that a warm upstream does per second, in nanoseconds on a core of the reference speed. */
  public double capacity() {
    return cores * speed * 1e9;
  }

  /** Returns a plain queue in front of a number of cores, without warm-up, connection costs and remembered keys. */
  public static ServerSpec plain(int cores, int slots) {
    return new ServerSpec(
        cores, 1, slots, Integer.MAX_VALUE, 0, 1, 0, Integer.MAX_VALUE, 0, 0, 0, 0, 1);
  }
}
