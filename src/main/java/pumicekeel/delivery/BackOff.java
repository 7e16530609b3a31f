package pumicekeel.delivery;

import java.util.random.RandomGenerator;

/** Exponential back-off with full jitter: many that failed at one moment come back at different ones. Times in nanoseconds. */
final class BackOff {

  private final long first;
  private final long most;
  private final RandomGenerator random;
  private int failures;

  BackOff(long first, long most, RandomGenerator random) {
    this.first = first;
    this.most = most;
    this.random = random;
  }

  /** How long to rest after one more failure in a row. */
  long next() {
    long bound = first;
    for (int i = 0; i < failures && bound < most; i++) {
      bound *= 2;
    }
    failures++;
    return random.nextLong(Math.min(bound, most)) + 1;
  }

  /** A success: the next failure is the first again. */
  void reset() {
    failures = 0;
  }
}
