package pumicekeel.front.jsonrpc;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import pumicekeel.core.RequestRouter;
import pumicekeel.front.AcceptControl;
import pumicekeel.front.AcceptErrorHandler;
import pumicekeel.front.Front;
import pumicekeel.guard.ServingGuard;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.FailureScope;
import pumicekeel.runtime.FatalErrors;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.PayloadMemory;
import pumicekeel.runtime.PeriodicTask;
import pumicekeel.runtime.Reactor;

/** A listener for JSON-RPC over TCP: its connections, their time limits and its shutdown. */
public final class RpcFront implements Front {

  private static final int BACKLOG = 1024;
  /** As with HTTP: one client with much input must not delay all others. */
  private static final int READ_BYTES = 4096;

  private static final int MAX_READS_PER_TURN = 2;
  /** Water marks of unsent answers: reading of calls pauses above the high one and resumes below the low one. */
  private static final int WRITE_BUFFER_LOW_BYTES = 16 << 10;

  private static final int WRITE_BUFFER_HIGH_BYTES = 64 << 10;
  private static final long CHECK_INTERVAL_MILLIS = 50;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  /** Time from the first byte of a message to its last. */
  static final long MESSAGE_TIMEOUT_NANOS = 2_300 * NANOS_PER_MILLI;
  /** Time after which a client that does not read its answers is disconnected. */
  static final long UNWRITABLE_TIMEOUT_NANOS = 5_000 * NANOS_PER_MILLI;

  private final Reactor reactor;
  private final EventLoop loop;
  private final String name;
  private final RequestRouter router;
  private final RequestIds ids;
  private CallSettings settings;
  private final AcceptControl accepts;
  private final Set<RpcClientConnection> connections = new LinkedHashSet<>();
  private Channel listener;
  private InetSocketAddress address;
  private Future<?> checkTimer;
  private boolean accepting;
  private boolean draining;

  /** Creates a listener with at most {@code maxConnections} connections. */
  public RpcFront(
      Reactor reactor,
      String name,
      RequestRouter router,
      int maxConnections,
      CallSettings settings,
      RequestIds ids) {
    this.reactor = reactor;
    loop = reactor.loop();
    this.name = name;
    this.router = router;
    accepts = new AcceptControl(maxConnections, 0);
    this.settings = settings;
    this.ids = ids;
  }

  @Override
  public InetSocketAddress listen(InetSocketAddress at, boolean accepting)
      throws InterruptedException {
    listener = new ServerBootstrap()
        .group(loop, loop)
        .channelFactory(reactor.sockets()::newListeningChannel)
        .handler(new AcceptErrorHandler(name, this::acceptFailed, this::acceptAgain))
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.AUTO_READ, accepting)
        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(WRITE_BUFFER_LOW_BYTES, WRITE_BUFFER_HIGH_BYTES))
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(MAX_READS_PER_TURN))
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            RpcClientConnection client = new RpcClientConnection(RpcFront.this, settings);
            channel.pipeline().addLast(client.decoder(), client);
            opened(client);
          }
        })
        .bind(at)
        .sync()
        .channel();
    address = (InetSocketAddress) listener.localAddress();
    this.accepting = accepting;
    loop.execute(
        () -> checkTimer = PeriodicTask.every(CHECK_INTERVAL_MILLIS, loop, this::checkTimeLimits));
    return address;
  }

  @Override
  public void startAccepting() {
    accepting = true;
    acceptAgain();
  }

  @Override
  public InetSocketAddress address() {
    return address;
  }

  String name() {
    return name;
  }

  Clock clock() {
    return reactor.clock();
  }

  PayloadMemory memory() {
    return reactor.memory();
  }

  FatalErrors errors() {
    return reactor.errors();
  }

  ServingGuard guard() {
    return reactor.guard();
  }

  RequestRouter router() {
    return router;
  }

  String newRequestId() {
    return ids.next();
  }

  boolean draining() {
    return draining;
  }

  /** Replaces the settings for new connections; method mappings also apply to the next call of existing ones. */
  public void settings(CallSettings next) {
    settings = next;
  }

  CallSettings settings() {
    return settings;
  }

  /** Does nothing: the router rejects calls until upstreams are available. */
  @Override
  public void setReady() {
    // Readiness is not checked here.
  }

  @Override
  public void setMaxConnections(int maxConnections) {
    accepts.configure(maxConnections);
  }

  private void opened(RpcClientConnection client) {
    connections.add(client);
    accepts.accepted();
    if (connections.size() >= accepts.limit()) {
      long now = clock().now();
      connections.stream()
          .filter(c -> c != client && c.isEvictable(now))
          .findFirst()
          .ifPresentOrElse(RpcClientConnection::finish, this::pause);
    }
  }

  private void pause() {
    accepts.limitReached(clock().now());
    listener.config().setAutoRead(false);
  }

  /** If the process has no descriptor left, closes the longest idle connection, as at the connection limit. */
  private long acceptFailed(FailureScope scope) {
    long now = clock().now();
    long pauseNanos = accepts.acceptFailed(scope, connections.size(), now);
    if (scope == FailureScope.PROCESS) {
      connections.stream()
          .filter(c -> c.isEvictable(now))
          .findFirst()
          .ifPresent(RpcClientConnection::finish);
    }
    return pauseNanos;
  }

  void closed(RpcClientConnection client) {
    connections.remove(client);
    acceptAgain();
  }

  private void acceptAgain() {
    long now = clock().now();
    if (accepting
        && listener != null
        && listener.isOpen()
        && accepts.mayAccept(connections.size(), now)) {
      accepts.accepting(now);
      listener.config().setAutoRead(true);
    }
  }

  /** Moves the connection to the end, so that the longest idle one is closed first at the limit. */
  void markBusy(RpcClientConnection client) {
    if (connections.remove(client)) {
      connections.add(client);
    }
  }

  private void checkTimeLimits() {
    if (isClosed()) {
      checkTimer.cancel(false);
      return;
    }
    long now = clock().now();
    if (accepts.raiseLimit(connections.size(), now)) {
      Log.line(name + ": takes " + accepts.limit() + " connections again");
    }
    acceptAgain();
    List.copyOf(connections).forEach(c -> c.checkTimeLimits(now));
    if (connections.size() >= accepts.limit()) {
      connections.stream()
          .filter(c -> c.isEvictable(now))
          .findFirst()
          .ifPresent(RpcClientConnection::finish);
    }
  }

  @Override
  public void drain() {
    draining = true;
    List.copyOf(connections).forEach(RpcClientConnection::drain);
  }

  @Override
  public void resume() {
    draining = false;
  }

  /** Does nothing: a drain already rejects calls. */
  @Override
  public void closeAfterAnswers() {
    // Handled by the drain.
  }

  @Override
  public void closeIdle() {
    List.copyOf(connections).stream()
        .filter(RpcClientConnection::idle)
        .forEach(RpcClientConnection::finish);
  }

  @Override
  public void stopListening() {
    accepting = false;
    reactor
        .sockets()
        .drainBacklogAndClose(listener, Math.max(0, accepts.limit() - connections.size()));
  }

  @Override
  public void closeIncomplete() {
    List.copyOf(connections).stream()
        .filter(c -> c.openCalls() == 0)
        .forEach(RpcClientConnection::finish);
  }

  @Override
  public boolean isClosed() {
    return connections.isEmpty() && !listener.isOpen();
  }

  @Override
  public int openConnections() {
    return connections.size();
  }
}
