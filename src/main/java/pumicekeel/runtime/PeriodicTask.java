package pumicekeel.runtime;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A task that an event loop repeats for as long as the process runs: an exception in one run does not end it. */
public final class PeriodicTask {

  private PeriodicTask() {}

  /** Repeats a task, each run the given time after the end of the last one, until the future is cancelled. */
  public static Future<?> every(long millis, EventLoop loop, Runnable task) {
    return loop.scheduleWithFixedDelay(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            Log.rateLimited(
                "error in a periodic task: " + e + " at " + (trace.length == 0 ? "?" : trace[0]));
          }
        },
        millis,
        millis,
        TimeUnit.MILLISECONDS);
  }
}
