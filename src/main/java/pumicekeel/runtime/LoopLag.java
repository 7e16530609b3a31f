package pumicekeel.runtime;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * How far the event loop is behind, seen by a timer that comes late. What comes in on a socket meanwhile waits unread,
 * and without this the wait would count as the upstream's latency: a balancer that is short of CPU, as after a start,
 * would take itself for an overload of all upstreams. It covers any pause of the process as well (a collection, a core
 * that others use). It hurts where upstreams are slow just as long as the loop is, by half of its lag at most.
 */
public final class LoopLag {

  /** Short against any aim, and a hundred timers a second cost next to nothing. */
  private static final long PERIOD_NANOS = 10_000_000L;
  /** Under this a loop is not behind: a piece of work, a collection. */
  private static final long BEHIND_NANOS = 50_000_000L;
  /** The log tells of a loop that is late by more. */
  private static final long TOLD_NANOS = 150_000_000L;
  /** What waited came at any time since the loop last looked: half of that on average. */
  private static final int WAIT_PART = 2;

  /** A signal is heard within this of the moment at which the process runs again: it takes two threads to hand it on. */
  private static final long HANDED_ON_NANOS = 100_000_000L;

  private final EventLoop loop;
  private final Clock clock;
  /** Written by the loop alone; the thread that hears of a signal reads it too. */
  private volatile long due;

  private long late;
  /** The last two looks. */
  private long tickAt;

  private long earlierTickAt;
  /** The last time at which the loop stood still, from when until when. */
  private volatile Still still;

  private record Still(long from, long until) {}

  public LoopLag(Reactor on) {
    loop = on.loop();
    clock = on.clock();
    tickAt = clock.now();
    earlierTickAt = tickAt;
    loop.execute(this::next);
  }

  private void next() {
    long next = clock.now() + PERIOD_NANOS;
    due = next;
    loop.schedule(this::tick, PERIOD_NANOS, TimeUnit.NANOSECONDS);
  }

  private void tick() {
    long now = clock.now();
    earlierTickAt = tickAt;
    tickAt = now;
    late = Math.max(0, now - due);
    if (late > TOLD_NANOS) {
      Log.caused("the event loop is late by " + TimeUnit.NANOSECONDS.toMillis(late) + " ms");
    }
    if (late > BEHIND_NANOS) {
      still = new Still(due - PERIOD_NANOS, now);
    }
    next();
  }

  /** How long ago the loop asked for what had come in the turn before this one, at the most. Only for the loop's own thread. */
  public long sincePreviousPollNanos() {
    return clock.now() - earlierTickAt;
  }

  /**
   * How long what is read now may have waited in its socket, at the most; 0 while the loop is hardly behind. Its sender's time
   * ran meanwhile: whoever takes that for new promises an answer that comes too late. It came after the loop last asked for what had
   * come, which was in the turn before this one, and so after the last look but one. Only for the loop's own thread.
   */
  public long maxReadDelayNanos() {
    long behind = sincePreviousPollNanos();
    return behind > BEHIND_NANOS ? behind : 0;
  }

  /**
   * Since when something may have been waiting of which the process hears now, a signal for one: the loop's last look, or where it
   * stood still until a moment ago, and with it the process, the last one before that. For any thread.
   */
  public long undeliveredSince() {
    long now = clock.now();
    Still last = still;
    long looked = Math.min(now, due - PERIOD_NANOS);
    return last != null && now - last.until < HANDED_ON_NANOS
        ? Math.min(last.from, looked)
        : looked;
  }

  /** How long what is read now has waited in its socket, on average; only for the loop's own thread. */
  public long averageReadDelayNanos() {
    return Math.max(late, clock.now() - due) / WAIT_PART;
  }
}
