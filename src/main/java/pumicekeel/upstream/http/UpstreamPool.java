package pumicekeel.upstream.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.UpstreamAttempt;
import pumicekeel.upstream.UpstreamLink;

/**
 * The idle connections to one upstream, one request each at a time; the one that was used last is used first. It
 * belongs to the upstream and not to its address: a successor at the same address must not get its predecessor's.
 */
public final class UpstreamPool implements UpstreamLink {

  private final ConnectionPool all;
  private final Clock clock;
  private final EventLoop loop;
  private final InetSocketAddress address;
  private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
  private boolean closed;
  private long lastReceivedAt;

  public UpstreamPool(ConnectionPool all, InetSocketAddress address, Reactor on) {
    this.all = all;
    clock = on.clock();
    loop = on.loop();
    lastReceivedAt = clock.now();
    this.address = address;
  }

  @Override
  public InetSocketAddress address() {
    return address;
  }

  @Override
  public UpstreamAttempt attempt(
      int number, long upstream, long decidedAt, UpstreamAttempt.Observer ending) {
    return new HttpAttempt(number, upstream, decidedAt, this, ending);
  }

  /**
   * Of the idle connections that have rested the one that was used last; of all, where each rests still; or null where there is none.
   * One on which anything waits unread is of no use.
   */
  public UpstreamConnection takeIdle() {
    UpstreamConnection found = null;
    for (UpstreamConnection next : List.copyOf(idle)) {
      if (!next.usable()) {
        idle.remove(next);
        next.close();
      } else if (next.restLeft() <= 0) {
        found = next;
        break;
      } else if (found == null) {
        found = next;
      }
    }
    idle.remove(found);
    return found;
  }

  /** Does something on the loop after so long. */
  ScheduledFuture<?> later(Runnable what, long nanos) {
    return loop.schedule(what, nanos, TimeUnit.NANOSECONDS);
  }

  /** Opens a connection; null where the limit on sockets leaves no room for one. */
  public ChannelFuture connect() {
    return all.connect(this);
  }

  public void returnIdle(UpstreamConnection connection) {
    if (closed) {
      connection.close();
      return;
    }
    connection.idleSince = clock.now();
    idle.addFirst(connection);
    all.becameIdle();
  }

  /** Forgets a connection that has ended. */
  public void remove(UpstreamConnection connection) {
    idle.remove(connection);
  }

  /** The upstream has sent something. */
  public void dataReceived() {
    lastReceivedAt = clock.now();
  }

  /** Whether the upstream has sent anything, on any connection, in this time. */
  public boolean receivedWithin(long nanos) {
    return clock.now() - lastReceivedAt < nanos;
  }

  public void closeIdle() {
    List<UpstreamConnection> closing = List.copyOf(idle);
    idle.clear();
    closing.forEach(UpstreamConnection::close);
  }

  @Override
  public void close() {
    closed = true;
    closeIdle();
    all.removePool(this);
  }

  public void closeOlderThan(long before) {
    while (!idle.isEmpty() && idle.peekLast().idleSince - before <= 0) {
      idle.pollLast().close();
    }
  }

  /** The connection that has been idle longest, or null. */
  public UpstreamConnection oldest() {
    return idle.peekLast();
  }
}
