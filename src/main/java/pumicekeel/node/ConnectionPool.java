package pumicekeel.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Connections to upstreams, one request each at a time; the one that was used last is used first. */
final class ConnectionPool {

  /** Idle connections go at this part of the upstream's own limit: one written to after that would end as a reset. */
  private static final double IDLE_PART = 0.7;
  private static final int SWEEPS = 20;

  private final Bootstrap bootstrap;
  private final int most;
  private final long idleNanos;
  private final Map<InetSocketAddress, ArrayDeque<UpstreamConnection>> idle = new HashMap<>();
  private final Future<?> sweep;
  private int open;

  ConnectionPool(EventLoop loop, long connectTimeoutNanos, long idleNanos, int most) {
    this.most = most;
    this.idleNanos = (long) (idleNanos * IDLE_PART);
    bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutNanos / 1_000_000))
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpClientCodec(), new UpstreamConnection(ConnectionPool.this, channel));
          }
        });
    long period = Math.max(1_000_000, this.idleNanos / SWEEPS);
    sweep = loop.scheduleAtFixedRate(this::closeOld, period, period, TimeUnit.NANOSECONDS);
  }

  /** The idle connection that was used last, or null. */
  UpstreamConnection takeIdle(InetSocketAddress address) {
    ArrayDeque<UpstreamConnection> connections = idle.get(address);
    UpstreamConnection newest = connections == null ? null : connections.pollFirst();
    while (newest != null && !newest.usable()) {
      newest = connections.pollFirst();
    }
    return newest;
  }

  /** Opens a connection; null where the limit on sockets leaves no room for one. */
  ChannelFuture connect(InetSocketAddress address) {
    if (open >= most && !closeOldest()) {
      return null;
    }
    open++;
    ChannelFuture connecting = bootstrap.connect(address);
    connecting.channel().closeFuture().addListener(closed -> open--);
    return connecting;
  }

  void giveBack(UpstreamConnection connection) {
    connection.idleSince = System.nanoTime();
    idle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>()).addFirst(connection);
  }

  /** Forgets a connection that has ended. */
  void remove(UpstreamConnection connection) {
    ArrayDeque<UpstreamConnection> connections = idle.get(connection.address());
    if (connections != null) {
      connections.remove(connection);
    }
  }

  /** Closes what is idle to an upstream: one that timed out or moved is not to be trusted. */
  void closeIdle(InetSocketAddress address) {
    ArrayDeque<UpstreamConnection> connections = idle.remove(address);
    if (connections != null) {
      connections.forEach(UpstreamConnection::close);
    }
  }

  /** Ends the pool: closes what is idle and looks for no more. */
  void close() {
    sweep.cancel(false);
    List.copyOf(idle.keySet()).forEach(this::closeIdle);
  }

  private void closeOld() {
    long before = System.nanoTime() - idleNanos;
    for (ArrayDeque<UpstreamConnection> connections : idle.values()) {
      while (!connections.isEmpty() && connections.peekLast().idleSince - before <= 0) {
        connections.pollLast().close();
      }
    }
    idle.values().removeIf(ArrayDeque::isEmpty);
  }

  private boolean closeOldest() {
    ArrayDeque<UpstreamConnection> oldest = null;
    for (ArrayDeque<UpstreamConnection> connections : idle.values()) {
      if (!connections.isEmpty()
          && (oldest == null || connections.peekLast().idleSince - oldest.peekLast().idleSince < 0)) {
        oldest = connections;
      }
    }
    if (oldest != null) {
      oldest.pollLast().close();
    }
    return oldest != null;
  }
}
