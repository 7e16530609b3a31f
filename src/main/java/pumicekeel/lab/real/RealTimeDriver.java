package pumicekeel.lab.real;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import pumicekeel.lab.world.EventScheduler;

/** Runs a world's events in real time on an event loop. Code that handles input from sockets calls {@link #now} first. */
final class RealTimeDriver {

  private final EventScheduler scheduler;
  private final EventLoop loop;
  private final long startNanos = System.nanoTime();
  private ScheduledFuture<?> scheduled;
  private long maxLatenessNanos;

  RealTimeDriver(EventScheduler scheduler, EventLoop loop) {
    this.scheduler = scheduler;
    this.loop = loop;
  }

  /** Runs all events that are due and returns the world's current time. */
  long now() {
    long dueAt = scheduler.nextEventAt();
    long now = System.nanoTime() - startNanos;
    if (dueAt <= now) {
      maxLatenessNanos = Math.max(maxLatenessNanos, now - dueAt);
    }
    scheduler.run(now, () -> false);
    return scheduler.now();
  }

  /** Schedules the next event on the event loop; to be called after code that may have added events. */
  void scheduleNext() {
    if (scheduled != null) {
      scheduled.cancel(false);
    }
    long dueAt = scheduler.nextEventAt();
    scheduled = dueAt == Long.MAX_VALUE
        ? null
        : loop.schedule(
            () -> {
              now();
              scheduleNext();
            },
            Math.max(0, dueAt - (System.nanoTime() - startNanos)),
            TimeUnit.NANOSECONDS);
  }

  /** Returns the maximum lateness of an event. If it is high, the measurement shows the test environment and not the balancer. */
  long maxLatenessNanos() {
    return maxLatenessNanos;
  }

  /** Cancels the next scheduled run. */
  void stop() {
    if (scheduled != null) {
      scheduled.cancel(false);
    }
  }
}
