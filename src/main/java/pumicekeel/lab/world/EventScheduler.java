package pumicekeel.lab.world;

import java.util.PriorityQueue;

/**
 * A discrete-event scheduler: virtual time in nanoseconds, and the events due in it. Events due at the same nanosecond run in the order
 * in which they were scheduled, so a run depends on nothing but its seed. Not thread-safe: one thread runs a world.
 */
public final class EventScheduler {

  /** A scheduled event, which can be cancelled. */
  public static final class Timer implements Comparable<Timer> {
    private final long at;
    private final long order;
    private Runnable what;

    private Timer(long at, long order, Runnable what) {
      this.at = at;
      this.order = order;
      this.what = what;
    }

    /** Cancels the event; no effect once it has run, or while it does. */
    public void cancel() {
      what = null;
    }

    @Override
    public int compareTo(Timer other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** Events between two checks of whether the run is to end early. */
  private static final int STOP_CHECK_INTERVAL = 1 << 14;

  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private long now;
  private long order;
  private long processedEvents;

  /** The current virtual time. */
  public long now() {
    return now;
  }

  /** Events that have run; cancelled ones do not count. */
  public long processedEvents() {
    return processedEvents;
  }

  /** Schedules an event at a virtual time; one that is due in the past runs now, after those scheduled before it. */
  public Timer at(long when, Runnable what) {
    Timer timer = new Timer(Math.max(now, when), order++, what);
    timers.add(timer);
    return timer;
  }

  /** Schedules an event after a delay in nanoseconds. */
  public Timer in(long nanos, Runnable what) {
    return at(now + nanos, what);
  }

  /** When the next event is due; {@link Long#MAX_VALUE} where there is none. */
  public long nextAt() {
    while (!timers.isEmpty() && timers.peek().what == null) {
      timers.poll();
    }
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
  }

  /** Runs all events due before {@code end}; returns false if {@code stop} ended the run before that. */
  public boolean run(long end, java.util.function.BooleanSupplier stop) {
    for (Timer next = timers.peek(); next != null && next.at < end; next = timers.peek()) {
      timers.poll();
      Runnable what = next.what;
      if (what != null) {
        now = next.at;
        next.what = null;
        what.run();
        if (++processedEvents % STOP_CHECK_INTERVAL == 0 && stop.getAsBoolean()) {
          return false;
        }
      }
    }
    now = Math.max(now, end);
    return true;
  }
}
