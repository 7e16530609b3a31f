package pumicekeel.mesh;

/**
 * A fault of one direction of a link. Loss and duplicates apply to datagrams only. The bytes of a connection are never lost: those sent
 * during a cut arrive after it, as TCP would retransmit them.
 *
 * @param cut whether nothing arrives; connections stay open and silent
 * @param delayMicros minimum delay of each datagram or chunk
 * @param jitterMicros maximum random delay added to it, which reorders datagrams
 * @param loss fraction of datagrams that are lost
 * @param duplicates fraction of datagrams that arrive twice
 * @param bytesPerSecond maximum rate of each connection; 0 for no limit
 */
public record Fault(
    boolean cut,
    long delayMicros,
    long jitterMicros,
    double loss,
    double duplicates,
    int bytesPerSecond) {

  /** No fault. */
  public static final Fault NONE = new Fault(false, 0, 0, 0, 0, 0);
  /** A cut link. */
  public static final Fault CUT = new Fault(true, 0, 0, 0, 0, 0);

  /** Checks that fractions are from 0 to 1 and that no value is negative. */
  public Fault {
    if (delayMicros < 0
        || jitterMicros < 0
        || bytesPerSecond < 0
        || !(loss >= 0 && loss <= 1)
        || !(duplicates >= 0 && duplicates <= 1)) {
      throw new IllegalArgumentException(
          "expected delays and a rate of 0 or more, and fractions of 0 to 1");
    }
  }

  /** A delay with a random jitter of up to the same duration. */
  public static Fault delayed(long micros) {
    return new Fault(false, micros, micros, 0, 0, 0);
  }

  /** Loss, duplicates and jitter of datagrams. */
  public static Fault lossy(double loss, double duplicates, long jitterMicros) {
    return new Fault(false, 0, jitterMicros, loss, duplicates, 0);
  }

  /** A limited rate in bytes per second. */
  public static Fault throttled(int bytesPerSecond) {
    return new Fault(false, 0, 0, 0, 0, bytesPerSecond);
  }
}
