package pumicekeel.upstream.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import pumicekeel.pool.SharedCapacity;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.SocketUser;
import pumicekeel.upstream.UpstreamLinks;
import pumicekeel.upstream.UpstreamSockets;

/** Connections to all upstreams: opens them, keeps them few and closes those that have stood idle. */
public final class ConnectionPool implements UpstreamLinks, SocketUser {

  /** Idle connections go at this part of the upstream's own limit: one written to after that would end as a reset. */
  private static final double IDLE_PART = 0.7;

  private static final int SWEEPS = 20;
  /** However short the limit on idle connections is: a look walks all upstreams. */
  private static final long SHORTEST_SWEEP_NANOS = 1_000_000;
  /** Large bodies pass in pieces, through hundreds of connections at once: what each may hold has to be little. */
  private static final int UNSENT_LOW = 8 << 10;

  private static final int UNSENT_HIGH = 16 << 10;
  private static final int READ_LEAST = 512;
  private static final int READ_FIRST = 2 << 10;
  private static final int READ_MOST = 16 << 10;
  private static final int READS_IN_A_ROW = 4;

  private final Reactor on;
  private final Bootstrap bootstrap;
  private final UpstreamSockets sockets;
  private final SharedCapacity.Owner share;
  private int maxPerAddress;
  private long idleNanos;
  private final Set<UpstreamPool> pools = new LinkedHashSet<>();
  /** The next look for connections that have stood idle too long; null while none stands idle, so that a pool at rest costs nothing. */
  private Future<?> sweep;

  /** Connections with a room of their own. */
  public ConnectionPool(Reactor on, long connectTimeoutNanos, long idleNanos, int most) {
    this(on, connectTimeoutNanos, idleNanos, new UpstreamSockets(most), 0, most);
  }

  /** Connections that share a room; so many of it are guaranteed to them, and they get so many at most. */
  public ConnectionPool(
      Reactor on,
      long connectTimeoutNanos,
      long idleNanos,
      UpstreamSockets sockets,
      long guaranteed,
      long most) {
    this.on = on;
    this.sockets = sockets;
    share = sockets.shares().add(guaranteed, most);
    sockets.add(this);
    bootstrap = new Bootstrap()
        .group(on.loop())
        .option(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(UNSENT_LOW, UNSENT_HIGH))
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(READ_LEAST, READ_FIRST, READ_MOST)
                .maxMessagesPerRead(READS_IN_A_ROW));
    setTimeouts(connectTimeoutNanos, idleNanos);
  }

  @Override
  public void setTimeouts(long connectTimeoutNanos, long idleNanos) {
    bootstrap.option(
        ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutNanos / 1_000_000));
    this.idleNanos = (long) (idleNanos * IDLE_PART);
    if (sweep != null) {
      sweep.cancel(false);
      sweepLater();
    }
  }

  private void sweepLater() {
    long period = Math.max(SHORTEST_SWEEP_NANOS, idleNanos / SWEEPS);
    sweep = on.loop().schedule(this::closeOld, period, TimeUnit.NANOSECONDS);
  }

  /** A connection stands idle from now on. */
  void becameIdle() {
    if (sweep == null) {
      sweepLater();
    }
  }

  @Override
  public UpstreamPool of(InetSocketAddress address) {
    UpstreamPool pool = new UpstreamPool(this, address, on);
    pools.add(pool);
    return pool;
  }

  /** Opens a connection; null where the limit on sockets or the process's descriptors leave no room for one. */
  public ChannelFuture connect(UpstreamPool pool) {
    if (!sockets.acquire(this, pool.address())) {
      return null;
    }
    Channel made = on.newConnectingChannel();
    if (made == null) {
      sockets.release(this, pool.address());
      // Its descriptor is free for the next attempt.
      closeLongestIdle();
      return null;
    }
    ChannelFuture connecting = bootstrap
        .clone()
        .channelFactory(() -> made)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            AnswerDecoder decoder = new AnswerDecoder();
            UpstreamConnection connection = new UpstreamConnection(pool, on, channel, decoder);
            decoder.setRawFilter(connection::accepts);
            channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
          }
        })
        .connect(pool.address());
    connecting.channel().closeFuture().addListener(closed -> sockets.release(this, pool.address()));
    return connecting;
  }

  public void removePool(UpstreamPool pool) {
    pools.remove(pool);
  }

  @Override
  public void close() {
    if (sweep != null) {
      sweep.cancel(false);
    }
    List.copyOf(pools).forEach(UpstreamPool::close);
    sockets.remove(this);
    share.close();
  }

  @Override
  public SharedCapacity.Owner share() {
    return share;
  }

  @Override
  public void resize(long guaranteed, long most, int connectionsPerUpstream) {
    share.resize(guaranteed, most);
    maxPerAddress = connectionsPerUpstream;
  }

  @Override
  public int maxPerAddress() {
    return maxPerAddress;
  }

  @Override
  public boolean closeIdleAt(InetSocketAddress address) {
    for (UpstreamPool pool : pools) {
      UpstreamConnection oldest = pool.address().equals(address) ? pool.oldest() : null;
      if (oldest != null) {
        oldest.close();
        return true;
      }
    }
    return false;
  }

  private void closeOld() {
    long before = on.clock().now() - idleNanos;
    pools.forEach(p -> p.closeOlderThan(before));
    sweep = null;
    if (pools.stream().anyMatch(p -> p.oldest() != null)) {
      sweepLater();
    }
  }

  @Override
  public boolean closeLongestIdle() {
    UpstreamConnection oldest = null;
    for (UpstreamPool pool : pools) {
      UpstreamConnection next = pool.oldest();
      oldest =
          oldest == null || next != null && next.idleSince - oldest.idleSince < 0 ? next : oldest;
    }
    if (oldest != null) {
      oldest.close();
    }
    return oldest != null;
  }
}
