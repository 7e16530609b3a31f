package pumicekeel.rig.scale;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/** A point in time on the monotonic clock by which a run has to end. */
public final class Deadline {

  /**
   * Interval between two evaluations of an awaited condition. Each one runs on the event loops that are measured, so the interval is
   * long, and scenarios take exact times where the event occurs instead.
   */
  private static final long POLL_MILLIS = 100;

  private final long atNanos;

  private Deadline(long atNanos) {
    this.atNanos = atNanos;
  }

  /** Returns a deadline at the given time from now. */
  public static Deadline after(long time, TimeUnit unit) {
    return new Deadline(System.nanoTime() + unit.toNanos(time));
  }

  /** Returns whether the deadline has been reached. */
  public boolean hasExpired() {
    return System.nanoTime() - atNanos >= 0;
  }

  /** Returns the time left in milliseconds; 0 once the deadline has been reached. */
  public long remainingMillis() {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(atNanos - System.nanoTime()));
  }

  /**
   * Waits until a condition holds and returns how long that took, in milliseconds.
   *
   * @param description what is waited for, for the message of the exception
   * @throws TimeoutException if the condition does not hold by the deadline
   */
  public double await(String description, BooleanSupplier condition)
      throws TimeoutException, InterruptedException {
    long startNanos = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (hasExpired()) {
        throw new TimeoutException("not reached in time: " + description);
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    return (System.nanoTime() - startNanos) / 1e6;
  }
}
