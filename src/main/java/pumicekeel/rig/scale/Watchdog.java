package pumicekeel.rig.scale;

import java.util.concurrent.TimeUnit;

/** Ends this process where a run has not ended by itself: a scenario that hangs must not outlive its time. */
public final class Watchdog implements AutoCloseable {

  /** What the last scenario may take for its own clean-up beyond the run's time. */
  private static final long GRACE_SECONDS = 30;

  private final Thread thread;

  /** Starts to watch; {@code end} is called on a thread of its own once the time and a grace are over. */
  public Watchdog(long seconds, Runnable end) {
    this(TimeUnit.SECONDS.toMillis(seconds + GRACE_SECONDS), TimeUnit.MILLISECONDS, end);
  }

  Watchdog(long time, TimeUnit unit, Runnable end) {
    thread = new Thread(
        () -> {
          try {
            unit.sleep(time);
            end.run();
          } catch (InterruptedException e) {
            // The run has ended.
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
