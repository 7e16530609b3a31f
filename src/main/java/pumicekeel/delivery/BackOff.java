package pumicekeel.delivery;

import java.util.random.RandomGenerator;

/** Exponential back-off with full jitter: many that failed at one moment come back at different ones. Times in nanoseconds. */
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

  /** How long to rest after one more failure in a row. */
  long next() {
    long bound = firstNanos;
    for (int i = 0; i < failures && bound < maxNanos; i++) {
      bound *= 2;
    }
    failures++;
    return random.nextLong(Math.min(bound, maxNanos)) + 1;
  }

  /** A success: the next failure is the first again. */
  void reset() {
    failures = 0;
  }
}
