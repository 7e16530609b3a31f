package pumicekeel.lab.world;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * A discrete-event scheduler with virtual time in nanoseconds. Events due at the same nanosecond run in the order in which they were
 * scheduled, so a run depends on its seed alone. Not thread-safe: one thread runs a world.
 */
public final class EventScheduler {

  /** A scheduled event that can be cancelled. */
  public static final class Timer implements Comparable<Timer> {
    private final long dueAt;
    private final long sequence;
    private Runnable event;

    private Timer(long dueAt, long sequence, Runnable event) {
      this.dueAt = dueAt;
      this.sequence = sequence;
      this.event = event;
    }

    /** Cancels the event. Has no effect while the event runs or after it has run. */
    public void cancel() {
      event = null;
    }

    @Override
    public int compareTo(Timer other) {
      return dueAt != other.dueAt
          ? Long.compare(dueAt, other.dueAt)
          : Long.compare(sequence, other.sequence);
    }
  }

  /** Number of events between two checks of whether to stop the run early. */
  private static final int STOP_CHECK_INTERVAL = 1 << 14;

  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private long now;
  private long nextSequence;
  private long processedEvents;

  /** Returns the current virtual time in nanoseconds. */
  public long now() {
    return now;
  }

  /** Returns the number of events that have run, without cancelled ones. */
  public long processedEvents() {
    return processedEvents;
  }

  /** Schedules an event at a virtual time. An event due in the past runs now, after those already scheduled for now. */
  public Timer at(long dueNanos, Runnable event) {
    Timer timer = new Timer(Math.max(now, dueNanos), nextSequence++, event);
    timers.add(timer);
    return timer;
  }

  /** Schedules an event after a delay in nanoseconds. */
  public Timer in(long delayNanos, Runnable event) {
    return at(now + delayNanos, event);
  }

  /** Returns the time at which the next event is due, or {@link Long#MAX_VALUE} if there is none. */
  public long nextEventAt() {
    while (!timers.isEmpty() && timers.peek().event == null) {
      timers.poll();
    }
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueAt;
  }

  /** Runs all events due before {@code end}. Returns false if {@code stop} ended the run earlier. */
  public boolean run(long end, BooleanSupplier stop) {
    for (Timer next = timers.peek(); next != null && next.dueAt < end; next = timers.peek()) {
      timers.poll();
      Runnable event = next.event;
      if (event != null) {
        now = next.dueAt;
        next.event = null;
        event.run();
        if (++processedEvents % STOP_CHECK_INTERVAL == 0 && stop.getAsBoolean()) {
          return false;
        }
      }
    }
    now = Math.max(now, end);
    return true;
  }
}
