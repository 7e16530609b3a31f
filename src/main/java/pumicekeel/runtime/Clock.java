package pumicekeel.runtime;

import java.util.function.LongSupplier;

/**
 * The balancer's clock: Unix time in nanoseconds that never goes back. The list gives start times in Unix time and 0
 * for "long ago", so the module's clock has to have the same origin.
 */
public final class Clock {

  private final LongSupplier ticks;
  private final long origin;
  /** The wall clock in milliseconds, which may be stepped; null where it never is. */
  private final LongSupplier wall;

  /** The system's time. */
  public Clock() {
    this(System::nanoTime, System.currentTimeMillis(), System::currentTimeMillis);
  }

  /** Time by these nanoseconds, which never go back; it is now so many milliseconds of Unix time. */
  public Clock(LongSupplier ticks, long unixMillis) {
    this(ticks, unixMillis, null);
  }

  /** The same with a wall clock beside it, in milliseconds of Unix time. */
  public Clock(LongSupplier ticks, long unixMillis, LongSupplier wall) {
    this.ticks = ticks;
    this.wall = wall;
    origin = unixMillis * 1_000_000L - ticks.getAsLong();
  }

  public long now() {
    return origin + ticks.getAsLong();
  }

  /** What the wall clock says at this moment, in nanoseconds of Unix time: it may have been stepped since the start. */
  public long wallNanos() {
    return wall == null ? now() : wall.getAsLong() * 1_000_000L;
  }

  /** Unix time in whole milliseconds. */
  public long millis() {
    return now() / 1_000_000L;
  }
}
