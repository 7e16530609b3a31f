package pumicekeel.lab.world;

import java.util.PriorityQueue;

/**
 * Virtual time in nanoseconds and what is to happen in it. Of two things due at the same nanosecond the one that was asked for
 * first happens first, so a run depends on nothing but its seed.
 */
public final class Agenda {

  /** Something that will happen, unless it is taken back. */
  public static final class Timer implements Comparable<Timer> {
    private final long at;
    private final long order;
    private Runnable what;

    private Timer(long at, long order, Runnable what) {
      this.at = at;
      this.order = order;
      this.what = what;
    }

    /** It does not happen; no effect once it has, or while it does. */
    public void cancel() {
      what = null;
    }

    @Override
    public int compareTo(Timer other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** Events between two looks at whether the run is to end early. */
  private static final int LOOK_EVERY = 1 << 14;

  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private long now;
  private long order;
  private long happened;

  public long now() {
    return now;
  }

  /** Things that have happened. */
  public long happened() {
    return happened;
  }

  /** Has something happen at a time; what is due in the past happens now, after all that was asked for before. */
  public Timer at(long when, Runnable what) {
    Timer timer = new Timer(Math.max(now, when), order++, what);
    timers.add(timer);
    return timer;
  }

  public Timer in(long nanos, Runnable what) {
    return at(now + nanos, what);
  }

  /** When the next thing happens; {@link Long#MAX_VALUE} where nothing will. */
  public long nextAt() {
    while (!timers.isEmpty() && timers.peek().what == null) {
      timers.poll();
    }
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
  }

  /** Lets all happen that is due before {@code end}, or until {@code stop} says so; false for the latter. */
  public boolean run(long end, java.util.function.BooleanSupplier stop) {
    for (Timer next = timers.peek(); next != null && next.at < end; next = timers.peek()) {
      timers.poll();
      Runnable what = next.what;
      if (what != null) {
        now = next.at;
        next.what = null;
        what.run();
        if (++happened % LOOK_EVERY == 0 && stop.getAsBoolean()) {
          return false;
        }
      }
    }
    now = Math.max(now, end);
    return true;
  }
}
