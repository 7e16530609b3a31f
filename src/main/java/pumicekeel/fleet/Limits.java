package pumicekeel.fleet;

/**
 * Limits of a supervisor; times are in nanoseconds.
 *
 * @param maxUnavailable maximum number of instances that a rolling restart or a stop may have down at once
 * @param readyNanos time after a start within which an instance has to be ready; else it is killed, which counts as a crash
 * @param stopNanos time from SIGTERM to SIGKILL
 * @param watchNanos how long a restarted instance has to stay ready before the next one is restarted
 * @param backoffNanos delay of the restart after a first crash; doubled for each further one
 * @param maxBackoffNanos maximum delay of a restart
 * @param hangNanos a ready instance that has not responded for this long is killed, which counts as a crash; 0 for never
 * @param maxCrashes maximum number of crashes within {@code crashWindowNanos} after which an instance is left down
 */
public record Limits(
    int maxUnavailable,
    long readyNanos,
    long stopNanos,
    long watchNanos,
    long backoffNanos,
    long maxBackoffNanos,
    long hangNanos,
    int maxCrashes,
    long crashWindowNanos) {

  private static final long NANOS_PER_MS = 1_000_000L;

  /** Far longer than a garbage collection or a shortage of processors lasts; meanwhile clients use the other instances. */
  public static final long HANG_NANOS = 15_000 * NANOS_PER_MS;

  /** Returns the default limits with this number of unavailable instances and this time to stay ready. */
  public static Limits of(int maxUnavailable, long watchNanos) {
    return of(maxUnavailable, watchNanos, HANG_NANOS);
  }

  /** Returns the default limits with another bound on how long a ready instance may not respond. */
  public static Limits of(int maxUnavailable, long watchNanos, long hangNanos) {
    return new Limits(
        maxUnavailable,
        30_000 * NANOS_PER_MS,
        10_000 * NANOS_PER_MS,
        watchNanos,
        500 * NANOS_PER_MS,
        30_000 * NANOS_PER_MS,
        hangNanos,
        5,
        60_000 * NANOS_PER_MS);
  }
}
