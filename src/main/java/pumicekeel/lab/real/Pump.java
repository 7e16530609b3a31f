package pumicekeel.lab.real;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import pumicekeel.lab.world.EventScheduler;

/** Has a world's time go by as real time does, on one event loop. Whatever comes in from sockets calls {@link #now} first. */
final class Pump {

  private final EventScheduler scheduler;
  private final EventLoop loop;
  private final long origin = System.nanoTime();
  private ScheduledFuture<?> next;
  private long worstLate;

  Pump(EventScheduler scheduler, EventLoop loop) {
    this.scheduler = scheduler;
    this.loop = loop;
  }

  /** Lets all happen that is due by now, and comes back for what is next; the world's present time. */
  long now() {
    long due = scheduler.nextEventAt();
    long now = System.nanoTime() - origin;
    if (due <= now) {
      worstLate = Math.max(worstLate, now - due);
    }
    scheduler.run(now, () -> false);
    return scheduler.now();
  }

  /** To be called after anything that may have asked for something to happen. */
  void plan() {
    if (next != null) {
      next.cancel(false);
    }
    long due = scheduler.nextEventAt();
    next = due == Long.MAX_VALUE
        ? null
        : loop.schedule(
            () -> {
              now();
              plan();
            },
            Math.max(0, due - (System.nanoTime() - origin)),
            TimeUnit.NANOSECONDS);
  }

  /** How late anything happened at the worst: a bench that is late itself measures itself. */
  long worstLateNanos() {
    return worstLate;
  }

  void stop() {
    if (next != null) {
      next.cancel(false);
    }
  }
}
