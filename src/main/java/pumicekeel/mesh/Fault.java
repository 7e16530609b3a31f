package pumicekeel.mesh;

/**
 * What becomes of what one side of a link sends. Loss and repeats are of datagrams only: bytes of a connection are held back by a
 * cut, as TCP sends them again when it is over.
 *
 * @param cut nothing arrives; connections stay open and silent
 * @param delayMicros each piece is late by so much, and by chance up to {@code jitterMicros} more; datagrams overtake each other then
 * @param loss part of the datagrams that never arrive
 * @param repeats part of the datagrams that arrive twice
 * @param bytesPerSecond at most, of each connection; 0 for no limit
 */
public record Fault(
    boolean cut,
    long delayMicros,
    long jitterMicros,
    double loss,
    double repeats,
    int bytesPerSecond) {

  /** All arrives, at once. */
  public static final Fault NONE = new Fault(false, 0, 0, 0, 0, 0);
  /** Nothing arrives. */
  public static final Fault CUT = new Fault(true, 0, 0, 0, 0, 0);

  /** A fault needs parts of 0 to 1, and no figure under 0. */
  public Fault {
    if (delayMicros < 0
        || jitterMicros < 0
        || bytesPerSecond < 0
        || !(loss >= 0 && loss <= 1)
        || !(repeats >= 0 && repeats <= 1)) {
      throw new IllegalArgumentException(
          "expected delays and a rate of 0 or more, and parts of 0 to 1");
    }
  }

  /** Late by so much, and up to as much again by chance. */
  public static Fault delayed(long micros) {
    return new Fault(false, micros, micros, 0, 0, 0);
  }

  /** A lossy way for datagrams. */
  public static Fault lossy(double loss, double repeats, long jitterMicros) {
    return new Fault(false, 0, jitterMicros, loss, repeats, 0);
  }

  /** A trickle of so many bytes a second. */
  public static Fault throttled(int bytesPerSecond) {
    return new Fault(false, 0, 0, 0, 0, bytesPerSecond);
  }
}
