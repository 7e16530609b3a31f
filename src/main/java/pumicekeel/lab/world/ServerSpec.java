package pumicekeel.lab.world;

/**
 * What an upstream is; ranges from the operators' brief.
 *
 * @param cores requests that run at once at full speed
 * @param speed of a core, in that of the yardstick on which work is told
 * @param slots requests in work at once, running or waiting for others; {@link Integer#MAX_VALUE} for no bound
 * @param queue requests that wait for a slot; beyond it one is turned away unseen
 * @param thrash how much more each core's work costs for every request in work beyond four a core (a part)
 * @param coldFrom the part of its capacity that it has at its start
 * @param warmNanos until it has all of it, rising evenly
 * @param connections that it accepts
 * @param handshakeNanos what a new one costs, in work
 * @param keyMemoryNanos how long it remembers a key; {@code keySaving} of the work is saved then
 * @param keys that it remembers, the oldest forgotten first
 * @param weight its size as lists tell it, where they do
 */
public record ServerSpec(
    int cores,
    double speed,
    int slots,
    int queue,
    double thrash,
    double coldFrom,
    long warmNanos,
    int connections,
    long handshakeNanos,
    long keyMemoryNanos,
    double keySaving,
    int keys,
    double weight) {

  /** Work a second when warm, in nanoseconds of the yardstick. */
  public double capacity() {
    return cores * speed * 1e9;
  }

  /** A plain queue of so many cores without anything else, as textbooks have it. */
  public static ServerSpec plain(int cores, int slots) {
    return new ServerSpec(
        cores, 1, slots, Integer.MAX_VALUE, 0, 1, 0, Integer.MAX_VALUE, 0, 0, 0, 0, 1);
  }
}
