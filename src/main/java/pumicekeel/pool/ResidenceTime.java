package pumicekeel.pool;

/**
 * The mean time that requests spend in a pool, exponentially smoothed. It is the Retry-After of a request refused because the
 * pool is full: by Little's law a full pool has turned over once in that time.
 */
public final class ResidenceTime {

  /** EWMA weight of a sample: averages some twenty requests, so that one slow request changes little. */
  private static final double STEP = 0.05;
  /** The initial mean, before the first sample. */
  private static final long INITIAL_MEAN_NANOS = 100_000_000L;
  /** Minimum Retry-After: a network round trip of the client takes about as long. */
  private static final long MIN_RETRY_AFTER_NANOS = 10_000_000L;

  private double mean = INITIAL_MEAN_NANOS;

  /** Records the residence time of a request that has ended. */
  public void record(long nanos) {
    mean += (Math.max(0, nanos) - mean) * STEP;
  }

  /** Returns the Retry-After in nanoseconds, at most {@code maxNanos}; 0 if the settings allow none. */
  public long retryAfter(boolean allowed, long maxNanos) {
    return allowed ? Math.min(maxNanos, Math.max(MIN_RETRY_AFTER_NANOS, (long) mean)) : 0;
  }
}
