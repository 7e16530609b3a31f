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
 * The idle connections to one upstream, each of which carries one request at a time; the most recently used one is reused first. They
 * belong to the upstream and not to its address: a successor at the same address must not get its predecessor's connections.
 */
public final class UpstreamPool implements UpstreamLink {

  private final ConnectionPool connections;
  private final Clock clock;
  private final EventLoop loop;
  private final InetSocketAddress address;
  private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
  private final DeathSigns deathSigns = new DeathSigns();
  private boolean closed;
  private long lastReceivedAt;

  public UpstreamPool(ConnectionPool connections, InetSocketAddress address, Reactor reactor) {
    this.connections = connections;
    clock = reactor.clock();
    loop = reactor.loop();
    lastReceivedAt = clock.now();
    this.address = address;
  }

  @Override
  public InetSocketAddress address() {
    return address;
  }

  @Override
  public UpstreamAttempt attempt(
      int number, long upstream, long decidedAt, UpstreamAttempt.Observer observer) {
    return new HttpAttempt(number, upstream, decidedAt, this, observer);
  }

  /**
   * Returns the most recently used idle connection whose reuse delay has passed; if there is none, the most recently used one; null if no
   * connection is idle. A connection with unread data is closed.
   */
  public UpstreamConnection takeIdle() {
    UpstreamConnection found = null;
    for (UpstreamConnection next : List.copyOf(idle)) {
      if (!next.usable()) {
        connectionLost(true);
        idle.remove(next);
        next.close();
      } else if (next.reuseDelayLeft() <= 0) {
        found = next;
        break;
      } else if (found == null) {
        found = next;
      }
    }
    idle.remove(found);
    return found;
  }

  /** Runs a task on the event loop after a delay. */
  ScheduledFuture<?> schedule(Runnable task, long nanos) {
    return loop.schedule(task, nanos, TimeUnit.NANOSECONDS);
  }

  /** Opens a connection; returns null if the limit on sockets leaves no capacity for one. */
  public ChannelFuture connect() {
    return connections.connect(this);
  }

  public void returnIdle(UpstreamConnection connection) {
    if (closed) {
      connection.close();
      return;
    }
    connection.idleSince = clock.now();
    idle.addFirst(connection);
    connections.connectionBecameIdle();
  }

  /** Removes a connection that has ended. */
  public void remove(UpstreamConnection connection) {
    idle.remove(connection);
  }

  /** Records that the upstream ended a connection, which was idle or carried a request. */
  void connectionLost(boolean wasIdle) {
    deathSigns.connectionLost(wasIdle, clock.now());
  }

  /** Records that a connection could not be made. */
  void connectionRefused() {
    deathSigns.connectionRefused(clock.now());
  }

  /** Returns whether a connection that came up at this time may lead to another process than the listed upstream. */
  boolean mayBeReplaced(long connectedAt) {
    return deathSigns.mayBeReplaced(connectedAt);
  }

  /** Records that the upstream has sent data. */
  public void dataReceived() {
    lastReceivedAt = clock.now();
  }

  /** Returns whether the upstream has sent anything, on any connection, within this time. */
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
    connections.removePool(this);
  }

  public void closeOlderThan(long before) {
    while (!idle.isEmpty() && idle.peekLast().idleSince - before <= 0) {
      idle.pollLast().close();
    }
  }

  /** Returns the connection that has been idle longest, or null. */
  public UpstreamConnection oldest() {
    return idle.peekLast();
  }
}
