package pumicekeel.delivery;

import java.util.random.RandomGenerator;

/** Exponential back-off with full jitter: many callers that failed at once retry at different times. Times are in nanoseconds. */
final class BackOff {

  private final long firstNanos;
  private final long maxNanos;
  private final RandomGenerator random;
  private int failures;

  BackOff(long firstNanos, long maxNanos, RandomGenerator random) {
    this.firstNanos = firstNanos;
    this.maxNanos = maxNanos;
    this.random = random;
  }

  /** Returns the delay after one more consecutive failure. */
  long next() {
    long bound = firstNanos;
    for (int i = 0; i < failures && bound < maxNanos; i++) {
      bound *= 2;
    }
    failures++;
    return random.nextLong(Math.min(bound, maxNanos)) + 1;
  }

  /** Resets the delay after a success. */
  void reset() {
    failures = 0;
  }
}
