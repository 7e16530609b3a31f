package pumicekeel.core;

import java.util.concurrent.TimeUnit;
import pumicekeel.Balancer.Settings;

/**
 * The settings in force and, for {@link #OVERLAP_NANOS} after a change, the previous ones: clients learn of a change
 * later than the balancer and send requests of the previous classes until then. No I/O; times are nanoseconds of a
 * monotonic clock.
 */
public final class ActiveSettings {

  /** Clients use new settings 1.2 s after SIGHUP; requests sent just before that may still be on their way. */
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

  /** Returns the settings before the last change while clients may still use them; null otherwise. */
  public Settings previous(long now) {
    if (previous != null && now - changedAt >= OVERLAP_NANOS) {
      previous = null;
    }
    return previous;
  }

  /** Replaces the settings; returns false if they are equal to the current ones. */
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
