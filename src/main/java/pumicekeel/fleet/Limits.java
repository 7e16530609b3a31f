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
 * @param mostCrashes crashes within {@code crashWindowNanos} after which an instance is left down
 */
public record Limits(int mostAway, long readyNanos, long stopNanos, long watchNanos, long backoffNanos,
    long backoffMostNanos, int mostCrashes, long crashWindowNanos) {

  private static final long MS = 1_000_000L;

  /** For so many away at once and so long a watch. */
  public static Limits of(int mostAway, long watchNanos) {
    return new Limits(mostAway, 30_000 * MS, 10_000 * MS, watchNanos, 500 * MS, 30_000 * MS, 5, 60_000 * MS);
  }
}
