package pumicekeel.front.http;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.concurrent.Future;
import pumicekeel.guard.CloseReason;
import pumicekeel.runtime.PeriodicTask;

/**
 * Time limits on client connections: without them silent connections and unfinished requests would stay open until all
 * descriptors are in use and no client is accepted. One periodic check of all connections costs less than a timer for
 * each.
 */
public final class ClientLimits {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  /** The check period: short, since at the connection limit the next client waits for a check. */
  private static final long CHECK_PERIOD_MILLIS = 50;
  /**
   * Time from the connect to the end of the first request's head, or from the first byte of a later one: some clients
   * take 2 s, and an error is due within 3 s.
   */
  static final long MAX_HEAD_NANOS = 2_600 * NANOS_PER_MILLI;
  /**
   * Time between two chunks of a body: less would disconnect clients on slow links, more would keep sockets for
   * abandoned requests.
   */
  static final long MAX_CHUNK_GAP_NANOS = 1_000 * NANOS_PER_MILLI;
  /** Slow links deliver 64 kB a second; a client at half of that, after an initial allowance, is treated as gone. */
  static final long MIN_BYTES_PER_SECOND = 32_000;

  static final long BODY_ALLOWANCE_NANOS = 1_500 * NANOS_PER_MILLI;
  /**
   * A connection that has had a request may be closed after 2 s of idleness, and is closed then if there are many.
   */
  private static final long MAX_IDLE_NANOS = 2_000 * NANOS_PER_MILLI;
  /**
   * Idle limit if there are few connections: each costs memory, and clients that keep one open this long never use it
   * again.
   */
  private static final long MAX_IDLE_WHEN_FEW_NANOS = 10_000 * NANOS_PER_MILLI;

  private static final double MANY_CONNECTIONS_RATIO = 0.5;
  /**
   * At the connection limit, one without a request for this long after its connect is closed: usual clients send at
   * once.
   */
  private static final long MAX_SILENT_NANOS = 250 * NANOS_PER_MILLI;
  /** While memory is short, an incomplete request that has brought nothing for this long gives way to others. */
  private static final long MAX_STALL_WHEN_SHORT_NANOS = 250 * NANOS_PER_MILLI;
  /** At the connection limit, a connection is freed for the next client within this time. */
  static final long MAX_WAIT_AT_LIMIT_NANOS =
      MAX_SILENT_NANOS + CHECK_PERIOD_MILLIS * NANOS_PER_MILLI;
  /**
   * Time for the rest of a request that was rejected by its head: usual clients have sent it all at once, and a slow
   * sender would occupy a socket for nothing.
   */
  private static final long MAX_DISCARD_NANOS = 250 * NANOS_PER_MILLI;
  /**
   * A client that has read nothing of its answer for this long is disconnected; the usual default of HTTP servers. A client that reads
   * steadily on a slow link frees its full socket buffers only every some ten seconds.
   */
  static final long MAX_WRITE_STALL_NANOS = 60_000 * NANOS_PER_MILLI;
  /** The same if there are many connections or memory is short. */
  static final long MAX_WRITE_STALL_WHEN_SHORT_NANOS = 5_000 * NANOS_PER_MILLI;

  private final EventLoop loop;
  private final HttpFront front;
  private Future<?> checks;

  /** Creates the checks of a front's connections. */
  public ClientLimits(EventLoop loop, HttpFront front) {
    this.loop = loop;
    this.front = front;
  }

  /** Starts the periodic check, which ends once the front is closed. */
  public void start() {
    checks = PeriodicTask.every(CHECK_PERIOD_MILLIS, loop, this::check);
  }

  private void check() {
    if (front.isClosed()) {
      checks.cancel(false);
      return;
    }
    long now = front.clock().now();
    long maxWriteStallNanos = hasManyConnections() || front.memory().isShort()
        ? MAX_WRITE_STALL_WHEN_SHORT_NANOS
        : MAX_WRITE_STALL_NANOS;
    front.check(now);
    for (ClientHandler c : front.connections()) {
      if (c.writeStalledNanos(now) > maxWriteStallNanos
          || c.discardingNanos(now) > (c.hasUpload() ? MAX_CHUNK_GAP_NANOS : MAX_DISCARD_NANOS)) {
        c.abort(c.discardingNanos(now) > 0 ? CloseReason.SKIPPED_TOO_MUCH : CloseReason.STUCK);
      } else if (c.uploadOverdue(now)) {
        c.giveUpUpload();
      } else if (c.tooSlow(now)
          || full() && c.neverRequested() && c.receivingNanos(now) > MAX_SILENT_NANOS
          || front.memory().isShort()
              && c.bufferingStalledNanos(now) > MAX_STALL_WHEN_SHORT_NANOS) {
        c.timeOut();
      } else if (c.idle() && c.idleNanos(now) > maxIdleNanos(c) && c.nothingUnread()) {
        c.close(CloseReason.IDLE);
      }
    }
    if (full()) {
      // All connections are busy or were so just now: the longest idle one is closed.
      front.connections().stream()
          .filter(c -> c.idle() && !c.neverRequested())
          .max(Comparator.comparingLong(c -> c.idleNanos(now)))
          .filter(ClientHandler::nothingUnread)
          .ifPresent(c -> c.close(CloseReason.GIVES_WAY));
    }
  }

  private long maxIdleNanos(ClientHandler c) {
    if (c.neverRequested()) {
      return full() ? MAX_SILENT_NANOS : MAX_HEAD_NANOS;
    }
    return hasManyConnections() ? MAX_IDLE_NANOS : MAX_IDLE_WHEN_FEW_NANOS;
  }

  private boolean hasManyConnections() {
    return front.openConnections() > front.maxConnections() * MANY_CONNECTIONS_RATIO;
  }

  private boolean full() {
    return front.openConnections() >= front.maxConnections();
  }
}
