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
import java.util.Comparator;
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

/** Connections to all upstreams: opens them, limits their number and closes those that have been idle too long. */
public final class ConnectionPool implements UpstreamLinks, SocketUser {

  /**
   * Idle connections are closed at this fraction of the upstream's own limit: a request written after that limit would end in a reset.
   */
  private static final double IDLE_FRACTION = 0.7;

  /** A passed-on answer gives way only after this silence behind its client's time: the longest deadline of a client. */
  private static final long MIN_SILENCE_TO_GIVE_WAY_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final int SWEEPS_PER_IDLE_LIMIT = 20;
  /** Lower bound of the sweep period, however short the idle limit is: a sweep visits all upstreams. */
  private static final long MIN_SWEEP_PERIOD_NANOS = 1_000_000;
  /** Large bodies are streamed in pieces, over hundreds of connections at once, so each may buffer only a little. */
  private static final int WRITE_BUFFER_LOW_BYTES = 8 << 10;

  private static final int WRITE_BUFFER_HIGH_BYTES = 16 << 10;
  private static final int MIN_READ_BYTES = 512;
  private static final int INITIAL_READ_BYTES = 2 << 10;
  private static final int MAX_READ_BYTES = 16 << 10;
  private static final int MAX_CONSECUTIVE_READS = 4;

  private final Reactor reactor;
  private final Bootstrap bootstrap;
  private final UpstreamSockets sockets;
  private final SharedCapacity.Owner share;
  private int maxPerAddress;
  private long idleNanos;
  private final Set<UpstreamPool> pools = new LinkedHashSet<>();
  private final Set<UpstreamConnection> open = new LinkedHashSet<>();
  /** The next sweep for connections that have been idle too long; null while none is idle, so that an unused pool costs nothing. */
  private Future<?> sweep;

  /** Creates a pool with capacity of its own. */
  public ConnectionPool(Reactor reactor, long connectTimeoutNanos, long idleNanos, int most) {
    this(reactor, connectTimeoutNanos, idleNanos, new UpstreamSockets(most), 0, most);
  }

  /** Creates a pool that shares capacity; it is guaranteed {@code guaranteed} connections and gets at most {@code most}. */
  public ConnectionPool(
      Reactor reactor,
      long connectTimeoutNanos,
      long idleNanos,
      UpstreamSockets sockets,
      long guaranteed,
      long most) {
    this.reactor = reactor;
    this.sockets = sockets;
    share = sockets.shares().add(guaranteed, most);
    sockets.add(this);
    bootstrap = new Bootstrap()
        .group(reactor.loop())
        .option(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(WRITE_BUFFER_LOW_BYTES, WRITE_BUFFER_HIGH_BYTES))
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(MAX_CONSECUTIVE_READS));
    setTimeouts(connectTimeoutNanos, idleNanos);
  }

  @Override
  public void setTimeouts(long connectTimeoutNanos, long idleNanos) {
    bootstrap.option(
        ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutNanos / 1_000_000));
    this.idleNanos = (long) (idleNanos * IDLE_FRACTION);
    if (sweep != null) {
      sweep.cancel(false);
      scheduleSweep();
    }
  }

  private void scheduleSweep() {
    long period = Math.max(MIN_SWEEP_PERIOD_NANOS, idleNanos / SWEEPS_PER_IDLE_LIMIT);
    sweep = reactor.loop().schedule(this::closeExpired, period, TimeUnit.NANOSECONDS);
  }

  /** Notes that a connection has become idle. */
  void connectionBecameIdle() {
    if (sweep == null) {
      scheduleSweep();
    }
  }

  @Override
  public UpstreamPool of(InetSocketAddress address) {
    UpstreamPool pool = new UpstreamPool(this, address, reactor);
    pools.add(pool);
    return pool;
  }

  /** Opens a connection; returns null if the limit on sockets or the process's file descriptors are exhausted. */
  public ChannelFuture connect(UpstreamPool pool) {
    if (!sockets.acquire(this, pool.address())) {
      return null;
    }
    Channel channel = reactor.newConnectingChannel();
    if (channel == null) {
      sockets.release(this, pool.address());
      // Its descriptor is then available to the next attempt.
      if (!closeLongestIdle()) {
        endLongestSilent(null);
      }
      return null;
    }
    ChannelFuture connecting = bootstrap
        .clone()
        .channelFactory(() -> channel)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            AnswerDecoder decoder = new AnswerDecoder();
            UpstreamConnection connection = new UpstreamConnection(pool, reactor, channel, decoder);
            decoder.setRawFilter(connection::accepts);
            open.add(connection);
            channel.closeFuture().addListener(closed -> open.remove(connection));
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

  private void closeExpired() {
    long before = reactor.clock().now() - idleNanos;
    pools.forEach(p -> p.closeOlderThan(before));
    sweep = null;
    if (pools.stream().anyMatch(p -> p.oldest() != null)) {
      scheduleSweep();
    }
  }

  @Override
  public boolean endLongestSilent(InetSocketAddress address) {
    UpstreamConnection longest = open.stream()
        .filter(c -> address == null || address.equals(c.address()))
        .max(Comparator.comparingLong(UpstreamConnection::overtimeSilenceNanos))
        .orElse(null);
    if (longest == null || longest.overtimeSilenceNanos() < MIN_SILENCE_TO_GIVE_WAY_NANOS) {
      return false;
    }
    longest.giveWay();
    return true;
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
