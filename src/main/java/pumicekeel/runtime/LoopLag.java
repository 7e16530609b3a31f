package pumicekeel.runtime;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Measures how far the event loop is behind, by the delay of a timer. Bytes that arrive meanwhile wait unread in their
 * sockets, and without this measurement that wait would count as the upstream's latency: a balancer that is short of
 * CPU, as after a start, would treat its own delay as an overload of all upstreams. Any pause of the process (a
 * garbage collection, a core used by others) is covered as well. The correction is wrong by at most half of the lag,
 * when upstreams are slow at the same time as the loop.
 */
public final class LoopLag {

  /** Short compared to any aim; a hundred timers a second cost next to nothing. */
  private static final long PERIOD_NANOS = 10_000_000L;
  /** Below this the loop does not count as behind: a unit of work or a garbage collection. */
  private static final long DELAYED_NANOS = 50_000_000L;
  /** Longer delays of the loop are logged. */
  private static final long LOGGED_NANOS = 150_000_000L;
  /** Waiting bytes arrived at any time since the last poll: half of that on average. */
  private static final int WAIT_DIVISOR = 2;

  /** A signal is delivered within this time after the process runs again, since two threads forward it. */
  private static final long SIGNAL_DELIVERY_NANOS = 100_000_000L;

  private final EventLoop loop;
  private final Clock clock;
  /** Written by the loop only; the thread that receives signals reads it too. */
  private volatile long due;

  private long delayNanos;
  /** The times of the last two ticks. */
  private long lastTickAt;

  private long previousTickAt;
  /** The last period in which the loop stalled. */
  private volatile Stall lastStall;

  private record Stall(long from, long until) {}

  public LoopLag(Reactor reactor) {
    loop = reactor.loop();
    clock = reactor.clock();
    lastTickAt = clock.now();
    previousTickAt = lastTickAt;
    loop.execute(this::scheduleTick);
  }

  private void scheduleTick() {
    long next = clock.now() + PERIOD_NANOS;
    due = next;
    loop.schedule(this::tick, PERIOD_NANOS, TimeUnit.NANOSECONDS);
  }

  private void tick() {
    long now = clock.now();
    previousTickAt = lastTickAt;
    lastTickAt = now;
    delayNanos = Math.max(0, now - due);
    if (delayNanos > LOGGED_NANOS) {
      Log.rateLimited(
          "the event loop is late by " + TimeUnit.NANOSECONDS.toMillis(delayNanos) + " ms");
    }
    if (delayNanos > DELAYED_NANOS) {
      lastStall = new Stall(due - PERIOD_NANOS, now);
    }
    scheduleTick();
  }

  /** Returns the longest time since the loop polled its sockets in its previous iteration. Loop thread only. */
  public long sincePreviousPollNanos() {
    return clock.now() - previousTickAt;
  }

  /**
   * Returns the longest time that bytes read now may have waited in their socket; 0 while the loop is hardly behind.
   * The sender's time limit ran meanwhile: treating the bytes as new promises an answer that comes too late. They
   * arrived after the previous poll, which was in the previous iteration, so after the tick before the last. Loop
   * thread only.
   */
  public long maxReadDelayNanos() {
    long behind = sincePreviousPollNanos();
    return behind > DELAYED_NANOS ? behind : 0;
  }

  /**
   * Returns since when an event that the process sees now, such as a signal, may have been pending: since the loop's
   * last tick, or, if the loop and with it the process stalled until just now, since the last tick before the stall.
   * For any thread.
   */
  public long undeliveredSince() {
    long now = clock.now();
    Stall last = lastStall;
    long lastTick = Math.min(now, due - PERIOD_NANOS);
    return last != null && now - last.until < SIGNAL_DELIVERY_NANOS
        ? Math.min(last.from, lastTick)
        : lastTick;
  }

  /** Returns how long bytes read now have waited in their socket, on average. Loop thread only. */
  public long averageReadDelayNanos() {
    return Math.max(delayNanos, clock.now() - due) / WAIT_DIVISOR;
  }
}
