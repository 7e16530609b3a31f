package pumicekeel.runtime;

import java.util.function.LongSupplier;

/**
 * The balancer's clock: Unix time in nanoseconds that never goes back. Lists have start times in Unix time, with 0 for
 * "long ago", so the module's clock needs the same origin.
 */
public final class Clock {

  private final LongSupplier ticks;
  private final long origin;
  /** The wall clock in milliseconds, which may be stepped; null if there is none. */
  private final LongSupplier wall;

  /** Creates a clock of the system's time. */
  public Clock() {
    this(System::nanoTime, System.currentTimeMillis(), System::currentTimeMillis);
  }

  /** Creates a clock that counts these monotonic nanoseconds from the given Unix time in milliseconds. */
  public Clock(LongSupplier ticks, long unixMillis) {
    this(ticks, unixMillis, null);
  }

  /** Creates the same with a separate wall clock, in milliseconds of Unix time. */
  public Clock(LongSupplier ticks, long unixMillis, LongSupplier wall) {
    this.ticks = ticks;
    this.wall = wall;
    origin = unixMillis * 1_000_000L - ticks.getAsLong();
  }

  public long now() {
    return origin + ticks.getAsLong();
  }

  /** Returns the wall clock's time in nanoseconds of Unix time; it may have been stepped since the start. */
  public long wallNanos() {
    return wall == null ? now() : wall.getAsLong() * 1_000_000L;
  }

  /** Returns Unix time in whole milliseconds. */
  public long millis() {
    return now() / 1_000_000L;
  }
}
