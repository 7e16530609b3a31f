package pumicekeel.fleet;

/**
 * Times and bounds of a supervisor, in nanoseconds.
 *
 * @param mostAway instances that a rolling restart or a stop may have away at once
 * @param readyNanos from a start until it says that it is ready; then it is killed, which counts as a crash
 * @param stopNanos from SIGTERM to SIGKILL
 * @param watchNanos how long a restarted instance has to stay ready before the next one goes
 * @param backoffNanos the wait before the first restart after a crash; doubled for each further one
 * @param backoffMostNanos the longest
 * @param hangNanos a ready instance that has answered nothing for so long is killed, which counts as a crash; 0 for never
 * @param mostCrashes crashes within {@code crashWindowNanos} after which an instance is left down
 */
public record Limits(
    int mostAway,
    long readyNanos,
    long stopNanos,
    long watchNanos,
    long backoffNanos,
    long backoffMostNanos,
    long hangNanos,
    int mostCrashes,
    long crashWindowNanos) {

  private static final long MS = 1_000_000L;

  /** Far beyond a pause of the collector or a machine that is short of processors; a fleet's clients have others meanwhile. */
  public static final long HANG_NANOS = 15_000 * MS;

  /** For so many away at once and so long a watch. */
  public static Limits of(int mostAway, long watchNanos) {
    return of(mostAway, watchNanos, HANG_NANOS);
  }

  /** The same with a bound on silence of its own. */
  public static Limits of(int mostAway, long watchNanos, long hangNanos) {
    return new Limits(
        mostAway,
        30_000 * MS,
        10_000 * MS,
        watchNanos,
        500 * MS,
        30_000 * MS,
        hangNanos,
        5,
        60_000 * MS);
  }
}
