package pumicekeel.pool;

/**
 * The mean time that requests spend in a pool, exponentially smoothed. It is the Retry-After of a request refused because the
 * pool is full: by Little's law a full pool has turned over once in that time.
 */
public final class ResidenceTime {

  /** A sample counts a twentieth: some twenty requests tell, and one slow one does not. */
  private static final double STEP = 0.05;
  /** Before any is known. */
  private static final long FIRST_NANOS = 100_000_000L;
  /** No advice below this: the client's own way here takes as long. */
  private static final long LEAST_NANOS = 10_000_000L;

  private double mean = FIRST_NANOS;

  /** A request is over that came in so long ago. */
  public void record(long nanos) {
    mean += (Math.max(0, nanos) - mean) * STEP;
  }

  /** When coming back is worth it, at most so much; 0 where no advice may be given. */
  public long retryAfter(boolean allowed, long mostNanos) {
    return allowed ? Math.min(mostNanos, Math.max(LEAST_NANOS, (long) mean)) : 0;
  }
}
