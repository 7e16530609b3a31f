package pumicekeel.front.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import pumicekeel.core.RequestRouter;
import pumicekeel.front.AcceptControl;
import pumicekeel.front.AcceptErrorHandler;
import pumicekeel.front.Front;
import pumicekeel.guard.CloseReason;
import pumicekeel.guard.ServingGuard;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.FailureScope;
import pumicekeel.runtime.FatalErrors;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.NioSockets;
import pumicekeel.runtime.PayloadMemory;
import pumicekeel.runtime.Reactor;
import pumicekeel.runtime.Sockets;

/** The HTTP front: one listener's client connections, its readiness, and the end of both at a planned stop. */
public final class HttpFront implements Front {

  private static final int BACKLOG = 1024;
  /** Bytes per read. Reads are small and few per turn, or one flooding client would delay all others. */
  private static final int READ_BYTES = 4096;

  private static final int MAX_READS_PER_TURN = 2;
  /** Large answers are streamed to hundreds of clients at once, so each may buffer only little. */
  private static final int WRITE_BUFFER_LOW_BYTES = 8 << 10;

  private static final int WRITE_BUFFER_HIGH_BYTES = 16 << 10;
  /**
   * A client that was answered this recently is about to send its next request: its next answer tells it that the
   * connection ends, since a close would cross the request. Delays a stop by no more than this.
   */
  private static final long RECENT_ANSWER_NANOS = 60_000_000L;
  /**
   * A connection accepted this recently has its first request on the way, as have the health checks of the platform's
   * front.
   */
  private static final long RECENT_ACCEPT_NANOS = 300_000_000L;
  /**
   * One part in this many of the limit is accepted in addition, at a stop only: less than the process keeps in
   * reserve.
   */
  private static final int SPARE_DIVISOR = 4;

  private static final long FINAL_ACCEPT_NANOS = 20_000_000L;
  /**
   * Usual clients send at once; at a stop, a connection without a request for this long is closed in favour of those in
   * the backlog.
   */
  private static final long SILENT_AT_STOP_NANOS = 100_000_000L;

  private final Reactor reactor;
  private final EventLoop loop;
  private final String name;
  private final RequestRouter router;
  private final AcceptControl acceptControl;
  /** Ordered by the last answer, the oldest first. */
  private final Set<ClientHandler> connections = new LinkedHashSet<>();

  private volatile Channel listener;
  /** The listening socket belongs to the platform: other processes may hold it too, and it is never closed here. */
  private boolean adopted;

  private boolean accepting;
  /** The backlog is accepted once more before the listener closes. */
  private boolean finalAccept;

  private InetSocketAddress address;
  private boolean ready;
  private boolean draining;
  private boolean closing;
  private final String warmUpPath;
  private final LoopLag lag;

  /** Creates the listener of this name with a limit on connections; {@code warmUpPath} is answered with 200. */
  public HttpFront(
      Reactor reactor,
      LoopLag lag,
      String name,
      RequestRouter router,
      int maxConnections,
      String warmUpPath) {
    this.reactor = reactor;
    this.lag = lag;
    loop = reactor.loop();
    this.name = name;
    this.router = router;
    acceptControl = new AcceptControl(maxConnections, ClientLimits.MAX_WAIT_AT_LIMIT_NANOS);
    this.warmUpPath = warmUpPath;
  }

  /** Listens; waits for the bind, so it must not be called on the loop. */
  public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
    return listen(address, true);
  }

  @Override
  public InetSocketAddress listen(InetSocketAddress at, boolean accepting)
      throws InterruptedException {
    this.accepting = accepting;
    return bound(bootstrap()
        .channelFactory(reactor.sockets()::newListeningChannel)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .bind(at)
        .sync()
        .channel());
  }

  /**
   * Accepts clients from a socket that already listens and that other processes may hold too. None is accepted before
   * {@link #setReady}: until then another process may serve them better. Waits, so it must not be called on the loop.
   */
  public InetSocketAddress adopt(ServerSocketChannel socket) throws InterruptedException {
    adopted = true;
    return bound(bootstrap()
        .channelFactory(() -> NioSockets.adopted(socket))
        .register()
        .sync()
        .channel());
  }

  private InetSocketAddress bound(Channel channel) {
    listener = channel;
    address = (InetSocketAddress) listener.localAddress();
    loop.execute(new ClientLimits(loop, this)::start);
    return address;
  }

  private ServerBootstrap bootstrap() {
    return new ServerBootstrap()
        .group(loop, loop)
        .handler(new AcceptErrorHandler(name, this::acceptFailed, this::resumeAccepting))
        .option(ChannelOption.AUTO_READ, accepting)
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(WRITE_BUFFER_LOW_BYTES, WRITE_BUFFER_HIGH_BYTES))
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(MAX_READS_PER_TURN))
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            ClientHandler handler = new ClientHandler(HttpFront.this);
            channel
                .pipeline()
                .addLast(
                    new RequestDecoder(handler::acceptBytes), new HttpResponseEncoder(), handler);
            connectionOpened(handler, channel);
          }
        });
  }

  @Override
  public void setReady() {
    ready = true;
    if (adopted) {
      startAccepting();
    }
  }

  public boolean ready() {
    return ready && !draining;
  }

  /** Returns whether each answer is its connection's last. */
  public boolean closing() {
    return closing;
  }

  public String name() {
    return name;
  }

  ServingGuard guard() {
    return reactor.guard();
  }

  Clock clock() {
    return reactor.clock();
  }

  FatalErrors errors() {
    return reactor.errors();
  }

  PayloadMemory memory() {
    return reactor.memory();
  }

  /**
   * Discards what waits unread on a client's connection; returns {@link Sockets#CLOSED_BY_PEER} if the client has
   * closed it.
   */
  int discardUnread(Channel channel, int maxBytes) {
    return reactor.sockets().discardUnread(channel, maxBytes);
  }

  /** Returns whether bytes of a client wait unread: its next request may cross the connection's end. */
  Sockets.Pending pending(Channel channel) {
    return reactor.sockets().pending(channel);
  }

  /** Returns how long reading had failed before the last successful read. */
  long readDelayNanos(Channel channel) {
    return reactor.sockets().readDelayNanos(channel);
  }

  RequestRouter router() {
    return router;
  }

  int maxConnections() {
    return acceptControl.limit();
  }

  /** Sets the limit on connections, for later accepts. */
  @Override
  public void setMaxConnections(int connections) {
    acceptControl.configure(connections);
  }

  /** Starts accepting, if listening started without. */
  @Override
  public void startAccepting() {
    accepting = true;
    resumeAccepting();
  }

  /**
   * Returns whether this is the path of the balancer's own warm-up, which nobody else knows. Its last requests may
   * arrive after the warm-up has ended, and must not be routed as a client's.
   */
  public boolean isWarmUpPath(String uri) {
    return uri.equals(warmUpPath);
  }

  /** Returns all connections, ordered by the last answer, the oldest first. */
  public List<ClientHandler> connections() {
    return List.copyOf(connections);
  }

  /** Returns whether nothing is accepted any more and no connection is open. */
  @Override
  public boolean isClosed() {
    return connections.isEmpty() && (!listener.isOpen() || adopted && ready && !accepting);
  }

  @Override
  public int openConnections() {
    return connections.size();
  }

  /**
   * Registers a connection. At the limit the longest idle connection is closed at once, or a burst of clients and the
   * health checks of the platform's front would wait in the backlog; if none is idle, nothing is accepted until {@link
   * ClientLimits} has closed one.
   */
  private void connectionOpened(ClientHandler handler, Channel channel) {
    long now = clock().now();
    long waitedNanos = reactor.sockets().sinceAcceptNanos(channel);
    connections.add(handler);
    acceptControl.accepted();
    handler.accepted(
        Math.max(backlogWaitNanos(now, now - waitedNanos), lag.maxReadDelayNanos()) + waitedNanos,
        pending(channel) == Sockets.Pending.SOME);
    if (connections.size() >= acceptControl.limit()) {
      connections.stream()
          .filter(c -> c != handler && c.idle() && !c.neverRequested() && c.nothingUnread())
          .findFirst()
          .ifPresentOrElse(c -> c.close(CloseReason.GIVES_WAY), this::pauseAccepting);
    }
  }

  private long backlogWaitNanos(long now, long acceptedAt) {
    if (listener == null) {
      // Accepted before the bind returned.
      return 0;
    }
    if (acceptControl.leftBeforeEmpty(acceptedAt)) {
      return acceptControl.waitBeforeEmptyNanos(now);
    }
    Sockets.Backlog backlog = reactor.sockets().backlog(listener);
    long waited = acceptControl.maxBacklogWaitNanos(now, backlog != Sockets.Backlog.UNKNOWN);
    if (backlog == Sockets.Backlog.EMPTY) {
      acceptControl.backlogEmpty(now);
    } else if (backlog == Sockets.Backlog.WAITING) {
      // More connections arrived than one turn accepts: the backlog was empty when the loop last
      // polled.
      acceptControl.backlogSince(now - lag.sincePreviousPollNanos());
    }
    return waited;
  }

  /**
   * Handles a failed accept; returns how long nothing is accepted. If the process is out of descriptors the longest
   * idle connection is closed, so that discovery, upstreams and operators can open theirs.
   */
  private long acceptFailed(FailureScope scope) {
    boolean lowered = acceptControl.isLowered();
    long pauseNanos =
        acceptControl.acceptFailed(scope, connections.size(), clock().now());
    if (acceptControl.isLowered() && !lowered) {
      Log.line(
          name + ": takes " + acceptControl.limit() + " connections for now, out of descriptors");
    }
    if (scope == FailureScope.PROCESS) {
      connections.stream()
          .filter(c -> c.idle() && !c.neverRequested() && c.nothingUnread())
          .findFirst()
          .ifPresent(c -> c.close(CloseReason.GIVES_WAY));
    }
    return pauseNanos;
  }

  /** Resumes accepting and raises a lowered limit; called regularly, so that neither depends on other events. */
  void check(long now) {
    if (acceptControl.mayHaveBacklog()
        && listener.isOpen()
        && reactor.sockets().backlog(listener) == Sockets.Backlog.EMPTY) {
      acceptControl.backlogEmpty(now);
    }
    if (acceptControl.raiseLimit(connections.size(), now)) {
      Log.line(name + ": takes " + acceptControl.limit() + " connections again");
    }
    resumeAccepting();
  }

  public void connectionClosed(ClientHandler handler) {
    connections.remove(handler);
    resumeAccepting();
  }

  private void resumeAccepting() {
    long now = clock().now();
    if (listener != null
        && listener.isOpen()
        && (accepting || finalAccept)
        && acceptControl.mayAccept(connections.size(), now)) {
      acceptControl.accepting(now);
      listener.config().setAutoRead(true);
    }
  }

  private void pauseAccepting() {
    acceptControl.limitReached(clock().now());
    listener.config().setAutoRead(false);
  }

  /** Returns the longest time that bytes read now may have waited for the loop. */
  long maxReadDelayNanos() {
    return lag.maxReadDelayNanos();
  }

  public void becameIdle(ClientHandler handler) {
    if (connections.remove(handler)) {
      connections.add(handler);
    }
  }

  /** Begins a planned stop: health checks fail, so that the platform sends no more clients; connected ones are still served. */
  @Override
  public void drain() {
    draining = true;
  }

  @Override
  public void resume() {
    draining = false;
    closing = false;
  }

  /** Returns the address of the listener. */
  @Override
  public InetSocketAddress address() {
    return address;
  }

  @Override
  public void closeAfterAnswers() {
    closing = true;
  }

  /** Closes idle connections; each later answer is its connection's last. */
  @Override
  public void closeIdle() {
    closing = true;
    long now = clock().now();
    List.copyOf(connections).stream()
        .filter(c -> c.idle() && c.idleNanos(now) > RECENT_ANSWER_NANOS && c.nothingUnread())
        .forEach(c -> c.close(CloseReason.STOPPING));
  }

  /**
   * Stops accepting. Java treats a closed descriptor 0 as the end of the log as well, so an adopted socket stays open.
   */
  @Override
  public void stopListening() {
    accepting = false;
    if (adopted) {
      listener.config().setAutoRead(false);
    } else if (acceptControl.backlogAtLimit()) {
      // At the limit, connections in the kernel's backlog would be reset by a close, though their
      // clients consider them accepted.
      finalAccept();
    } else {
      drainBacklogAndClose();
    }
  }

  private void drainBacklogAndClose() {
    int limit = acceptControl.limit();
    reactor
        .sockets()
        .drainBacklogAndClose(
            listener, Math.max(0, limit + limit / SPARE_DIVISOR - connections.size()));
  }

  /** Accepts the backlog, into the spare capacity and that of connections that have been silent for a while. */
  private void finalAccept() {
    finalAccept = true;
    acceptControl.addSpareConnections(Math.max(1, acceptControl.limit() / SPARE_DIVISOR));
    long now = clock().now();
    List.copyOf(connections).stream()
        .filter(c -> c.neverRequested() && c.idleNanos(now) > SILENT_AT_STOP_NANOS)
        .forEach(c -> {
          if (c.idle()) {
            c.close(CloseReason.GIVES_WAY);
          } else {
            c.timeOut();
          }
        });
    listener.config().setAutoRead(true);
    loop.schedule(this::drainBacklogAndClose, FINAL_ACCEPT_NANOS, TimeUnit.NANOSECONDS);
  }

  /**
   * Ends all connections without a submitted request, even partly received ones: a slow sender must not delay the
   * process's end.
   */
  @Override
  public void closeIncomplete() {
    closing = true;
    long now = clock().now();
    List.copyOf(connections).stream()
        .filter(c -> c.nothingSubmitted()
            && (!c.idle()
                || c.idleNanos(now)
                        > (c.neverRequested() ? RECENT_ACCEPT_NANOS : RECENT_ANSWER_NANOS)
                    && c.nothingUnread()))
        .forEach(ClientHandler::endUnsubmitted);
  }
}
