package pumicekeel.core;

import java.util.concurrent.TimeUnit;
import pumicekeel.Balancer.Settings;

/**
 * The settings in force and, for {@link #OVERLAP_NANOS} after a change, the settings before it: clients learn of a change later
 * than the balancer and send requests of the former classes until then. No I/O; times are nanoseconds of a monotonic clock.
 */
public final class ActiveSettings {

  /** Clients name what is new 1.2 s after SIGHUP; what was asked just before that may still be on its way. */
  public static final long OVERLAP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private Settings current;
  private Settings previous;
  private long changedAt;

  public ActiveSettings(Settings first) {
    current = first;
  }

  public Settings current() {
    return current;
  }

  /** The settings before the last change, as long as clients may not have heard of it; else null. */
  public Settings previous(long now) {
    if (previous != null && now - changedAt >= OVERLAP_NANOS) {
      previous = null;
    }
    return previous;
  }

  /** Takes other settings over; false where they are the same. */
  public boolean replace(Settings next, long now) {
    if (next.equals(current)) {
      return false;
    }
    previous = current;
    current = next;
    changedAt = now;
    return true;
  }
}
