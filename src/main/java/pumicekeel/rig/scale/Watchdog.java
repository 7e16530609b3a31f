package pumicekeel.rig.scale;

import java.util.concurrent.TimeUnit;

/** Ends a run that has not ended by itself, so that a hanging scenario does not run on after the time limit. */
public final class Watchdog implements AutoCloseable {

  /** Time after the time limit in which the last scenario may clean up. */
  private static final long GRACE_SECONDS = 30;

  private final Thread thread;

  /** Starts the watchdog. Unless it is closed before, it calls {@code action} on its own thread after the time limit and a grace period. */
  public Watchdog(long seconds, Runnable action) {
    this(TimeUnit.SECONDS.toMillis(seconds + GRACE_SECONDS), TimeUnit.MILLISECONDS, action);
  }

  Watchdog(long time, TimeUnit unit, Runnable action) {
    thread = new Thread(
        () -> {
          try {
            unit.sleep(time);
            action.run();
          } catch (InterruptedException e) {
            // Closed: the run has ended.
          }
        },
        "watchdog");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
