package pumicekeel.front.http;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.concurrent.Future;
import pumicekeel.guard.CloseReason;
import pumicekeel.runtime.PeriodicTask;

/**
 * Time limits on client connections: without them those that say nothing, or never come to a request's end, stay for
 * ever, and once they hold all descriptors nobody is accepted any more. One look at all of them now and then costs
 * less than timers of each one's own.
 */
public final class ClientLimits {

  private static final long MILLI = 1_000_000L;
  /** The period of the looks: short, since at the limit the next client waits for one. */
  private static final long LOOK_MILLIS = 50;
  /** From the connect to the end of the first request's head, or from a later one's first byte: some take 2 s for it, and
   * an error is owed within 3 s. */
  static final long HEAD_NANOS = 2_600 * MILLI;
  /** Between two pieces of a body: less would cut clients on slow lines, more would keep half a request's socket. */
  static final long PIECE_NANOS = 1_000 * MILLI;
  /** Slow lines bring 64 kB a second; half of that, after a moment, is no client any more. */
  static final long LEAST_BYTES_PER_SECOND = 32_000;

  static final long BODY_NANOS = 1_500 * MILLI;
  /** A connection that asked before may be closed after 2 s, and is where there are many. */
  private static final long IDLE_NANOS = 2_000 * MILLI;
  /** And where there are few: it costs memory, and clients that keep one for good never use it again. */
  private static final long IDLE_LONG_NANOS = 10_000 * MILLI;

  private static final double MANY_PART = 0.5;
  /** At the limit, one that has not asked so long after its connect: usual clients ask at once. */
  private static final long SILENT_NANOS = 250 * MILLI;
  /** At the limit, room is made for the next client within this. */
  static final long ROOM_NANOS = SILENT_NANOS + LOOK_MILLIS * MILLI;
  /** What is left of a request that was turned away at its head: usual clients have sent it all at once, and one that
   * sends slowly would hold a socket for nothing. */
  private static final long SKIP_NANOS = 250 * MILLI;
  /** A client that does not take its answer for so long does not want it. */
  static final long STUCK_NANOS = 5_000 * MILLI;

  private final EventLoop loop;
  private final HttpFront side;
  private Future<?> looks;

  public ClientLimits(EventLoop loop, HttpFront side) {
    this.loop = loop;
    this.side = side;
  }

  public void start() {
    looks = PeriodicTask.every(LOOK_MILLIS, loop, this::look);
  }

  private void look() {
    if (side.isClosed()) {
      looks.cancel(false);
      return;
    }
    long now = side.clock().now();
    side.look(now);
    for (ClientHandler c : side.connections()) {
      if (c.stuckFor(now) > STUCK_NANOS
          || c.skippingFor(now) > (c.uploads() ? PIECE_NANOS : SKIP_NANOS)) {
        c.abort(c.skippingFor(now) > 0 ? CloseReason.SKIPPED_TOO_MUCH : CloseReason.STUCK);
      } else if (c.late(now) || full() && c.neverAsked() && c.comingFor(now) > SILENT_NANOS) {
        c.expire();
      } else if (c.idle() && c.idleFor(now) > longestIdle(c) && c.atRest()) {
        c.close(CloseReason.IDLE);
      }
    }
    if (full()) {
      // Every one of them is busy or was so just now: the longest idle one gives way.
      side.connections().stream()
          .filter(c -> c.idle() && !c.neverAsked())
          .max(Comparator.comparingLong(c -> c.idleFor(now)))
          .filter(ClientHandler::atRest)
          .ifPresent(c -> c.close(CloseReason.GIVES_WAY));
    }
  }

  private long longestIdle(ClientHandler c) {
    if (c.neverAsked()) {
      return full() ? SILENT_NANOS : HEAD_NANOS;
    }
    return side.openConnections() > side.most() * MANY_PART ? IDLE_NANOS : IDLE_LONG_NANOS;
  }

  private boolean full() {
    return side.openConnections() >= side.most();
  }
}
