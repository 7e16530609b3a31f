package pumicekeel.rig.scale;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/** A point of the monotonic clock until which a run may go on. */
public final class Deadline {

  /** Between two looks at a condition; each look costs the loops that are measured, so times are taken elsewhere. */
  private static final long POLL_MILLIS = 100;

  private final long at;

  private Deadline(long at) {
    this.at = at;
  }

  public static Deadline after(long time, TimeUnit unit) {
    return new Deadline(System.nanoTime() + unit.toNanos(time));
  }

  public boolean hasExpired() {
    return System.nanoTime() - at >= 0;
  }

  public long remainingMillis() {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(at - System.nanoTime()));
  }

  /** Waits for a condition and says how long that took, in milliseconds. */
  public double await(String what, BooleanSupplier condition)
      throws TimeoutException, InterruptedException {
    long from = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (hasExpired()) {
        throw new TimeoutException("not reached in time: " + what);
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    return (System.nanoTime() - from) / 1e6;
  }
}
