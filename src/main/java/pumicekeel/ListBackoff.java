package pumicekeel;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Exponential back-off with full jitter between requests for the list: all balancers would otherwise return to the list service together. */
final class ListBackoff {

  private static final long MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int MAX_SHIFT = 10;

  private int failures;

  /** Records a failed request; returns how long to wait before the next one, in nanoseconds. */
  long failed(SplittableRandom random) {
    long longest = Math.min(MAX_NANOS, MIN_NANOS << Math.min(failures++, MAX_SHIFT));
    return (long) (longest * random.nextDouble());
  }

  /** Records that a list has come. */
  void succeeded() {
    failures = 0;
  }
}
