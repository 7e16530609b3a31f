package pumicekeel.runtime;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Work that a loop repeats for as long as the process runs: a defect of one round is no end of it. */
public final class PeriodicTask {

  private PeriodicTask() {}

  /** Repeats something, so many milliseconds after the end of each round, until the future is cancelled. */
  public static Future<?> every(long millis, EventLoop loop, Runnable round) {
    return loop.scheduleWithFixedDelay(
        () -> {
          try {
            round.run();
          } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            Log.caused(
                "defect of repeated work: " + e + " at " + (trace.length == 0 ? "?" : trace[0]));
          }
        },
        millis,
        millis,
        TimeUnit.MILLISECONDS);
  }
}
