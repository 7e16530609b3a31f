package pumicekeel.upstream.jsonrpc;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import pumicekeel.call.ClientRequest;
import pumicekeel.pool.SharedCapacity;
import pumicekeel.runtime.PeriodicTask;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.SocketUser;
import pumicekeel.upstream.UpstreamLink;
import pumicekeel.upstream.UpstreamLinks;
import pumicekeel.upstream.UpstreamSockets;

/** The multiplexed connections to the JSON-RPC servers of one pool. */
public final class RpcLinks implements UpstreamLinks, SocketUser {

  /** As with HTTP: idle connections are closed before the server would close them. */
  private static final double IDLE_FRACTION = 0.7;

  private static final int SWEEPS_PER_IDLE_TIME = 20;

  private final Reactor reactor;
  private final Bootstrap bootstrap;
  private final UpstreamSockets sockets;
  private final SharedCapacity.Owner share;
  private final ServerSettings settings;
  private long idleNanos;
  private final Set<RpcLink> links = new LinkedHashSet<>();
  private Future<?> sweep;
  private int perUpstream;

  /** Creates connections that share the limit on sockets; no share is guaranteed yet. */
  public RpcLinks(
      Reactor reactor,
      long connectTimeoutNanos,
      long idleNanos,
      UpstreamSockets sockets,
      ServerSettings settings) {
    this.reactor = reactor;
    this.sockets = sockets;
    this.settings = settings;
    share = sockets.shares().add(0, 0);
    sockets.add(this);
    bootstrap = new Bootstrap().group(reactor.loop());
    setTimeouts(connectTimeoutNanos, idleNanos);
  }

  @Override
  public void setTimeouts(long connectTimeoutNanos, long idleNanos) {
    bootstrap.option(
        ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutNanos / 1_000_000));
    this.idleNanos = (long) (idleNanos * IDLE_FRACTION);
    if (sweep != null) {
      sweep.cancel(false);
    }
    long periodMillis =
        Math.max(1, TimeUnit.NANOSECONDS.toMillis(this.idleNanos / SWEEPS_PER_IDLE_TIME));
    sweep = PeriodicTask.every(periodMillis, reactor.loop(), this::closeExpired);
  }

  /** Returns why a request can't be sent to these servers, or null if it can. */
  public String unsupportedReason(ClientRequest request) {
    try {
      HttpCallTranslator.toCall(request, settings);
      return null;
    } catch (HttpCallTranslator.UntranslatableException e) {
      return e.getMessage();
    }
  }

  @Override
  public UpstreamLink of(InetSocketAddress address) {
    RpcLink link = new RpcLink(this, address);
    links.add(link);
    return link;
  }

  ServerSettings settings() {
    return settings;
  }

  /** Opens a connection; returns null if the socket limit or the process's descriptors are exhausted. */
  RpcConnection connect(RpcLink link) {
    if (!sockets.acquire(this, link.address())) {
      return null;
    }
    Channel channel = reactor.newConnectingChannel();
    if (channel == null) {
      sockets.release(this, link.address());
      return null;
    }
    RpcConnection connection = new RpcConnection(link, settings, reactor);
    var connecting = bootstrap
        .clone()
        .channelFactory(() -> channel)
        .handler(connection.pipeline())
        .connect(link.address());
    connecting.channel().closeFuture().addListener(closed -> sockets.release(this, link.address()));
    connection.connecting(connecting);
    return connection;
  }

  void forget(RpcLink link) {
    links.remove(link);
  }

  @Override
  public void resize(long guaranteed, long max, int connectionsPerUpstream) {
    share.resize(guaranteed, max);
    perUpstream = connectionsPerUpstream;
  }

  @Override
  public void close() {
    sweep.cancel(false);
    List.copyOf(links).forEach(RpcLink::close);
    sockets.remove(this);
    share.close();
  }

  @Override
  public SharedCapacity.Owner share() {
    return share;
  }

  @Override
  public int maxPerAddress() {
    return perUpstream;
  }

  @Override
  public boolean closeIdleAt(InetSocketAddress address) {
    return closeIfPresent(oldest(address));
  }

  @Override
  public boolean closeLongestIdle() {
    return closeIfPresent(oldest(null));
  }

  private static boolean closeIfPresent(RpcConnection connection) {
    if (connection != null) {
      connection.close();
    }
    return connection != null;
  }

  private RpcConnection oldest(InetSocketAddress address) {
    RpcConnection oldest = null;
    for (RpcLink link : links) {
      RpcConnection next =
          address == null || address.equals(link.address()) ? link.longestIdle() : null;
      oldest = oldest == null || next != null && next.idleSince() - oldest.idleSince() < 0
          ? next
          : oldest;
    }
    return oldest;
  }

  private void closeExpired() {
    long before = reactor.clock().now() - idleNanos;
    links.forEach(l -> l.closeIdleSince(before));
  }
}
