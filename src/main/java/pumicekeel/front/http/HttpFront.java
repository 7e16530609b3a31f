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
import pumicekeel.runtime.Log;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.NioSockets;
import pumicekeel.runtime.Reactor;
import pumicekeel.runtime.Sockets;

/** The listening side: client connections, readiness, and the end of both at a planned stop. */
public final class HttpFront implements Front {

  private static final int BACKLOG = 1024;
  /** Read a piece at a time and few pieces in a row, or one client that floods would keep all others waiting. */
  private static final int READ_BYTES = 4096;

  private static final int READS_IN_A_ROW = 2;
  /** Large answers pass in pieces, to hundreds of clients at once: what each may hold has to be little. */
  private static final int UNSENT_LOW = 8 << 10;

  private static final int UNSENT_HIGH = 16 << 10;
  /** One that was answered so lately asks again this moment: it is told with its next answer that this is the last, where
   * a close would meet its request on the way. Costs a stop no more than this. */
  private static final long JUST_NANOS = 60_000_000L;
  /** One that came so lately has its first request on the way: the front's question whether this balancer is up, too. */
  private static final long NEW_NANOS = 300_000_000L;
  /** Beyond its limit by that part, at the end only: less than what the process keeps for itself. */
  private static final int SPARE_PART = 4;

  private static final long LAST_CALL_NANOS = 20_000_000L;
  /** Usual clients ask at once; at the end, one that has not for so long gives way to those in line. */
  private static final long SAID_NOTHING_NANOS = 100_000_000L;

  private final Reactor on;
  private final EventLoop loop;
  private final String name;
  private final RequestRouter router;
  private final AcceptControl accepts;
  /** The connection that got its last answer longest ago comes first. */
  private final Set<ClientHandler> connections = new LinkedHashSet<>();

  private volatile Channel listener;
  /** The listening socket is the platform's: others may hold it too, and it is never closed here. */
  private boolean adopted;

  private boolean accepting;
  /** It accepts once more, those that stand in line, and then closes. */
  private boolean lastCall;

  private InetSocketAddress address;
  private boolean ready;
  private boolean draining;
  private boolean closing;
  private final String warmUpPath;
  private final LoopLag lag;
  /** The listener of this name, with at most so many connections; {@code warmUpPath} is answered with 200. */
  public HttpFront(
      Reactor on, LoopLag lag, String name, RequestRouter router, int most, String warmUpPath) {
    this.on = on;
    this.lag = lag;
    loop = on.loop();
    this.name = name;
    this.router = router;
    accepts = new AcceptControl(most, ClientLimits.ROOM_NANOS);
    this.warmUpPath = warmUpPath;
  }

  /** Listens; waits for the bind, so it is not to be called on the loop. */
  public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
    return listen(address, true);
  }

  @Override
  public InetSocketAddress listen(InetSocketAddress at, boolean accepting)
      throws InterruptedException {
    this.accepting = accepting;
    return listens(bootstrap()
        .channelFactory(on.sockets()::newListeningChannel)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .bind(at)
        .sync()
        .channel());
  }

  /**
   * Takes clients from a socket that listens already and that other processes may hold too. None is accepted before
   * {@link #setReady}: until then another process may serve them better. Waits, so it is not to be called on the loop.
   */
  public InetSocketAddress adopt(ServerSocketChannel socket) throws InterruptedException {
    adopted = true;
    return listens(bootstrap()
        .channelFactory(() -> NioSockets.adopted(socket))
        .register()
        .sync()
        .channel());
  }

  private InetSocketAddress listens(Channel channel) {
    listener = channel;
    address = (InetSocketAddress) listener.localAddress();
    loop.execute(new ClientLimits(loop, this)::start);
    return address;
  }

  private ServerBootstrap bootstrap() {
    return new ServerBootstrap()
        .group(loop, loop)
        .handler(new AcceptErrorHandler(name, this::acceptFailed, this::acceptAgain))
        .option(ChannelOption.AUTO_READ, accepting)
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(UNSENT_LOW, UNSENT_HIGH))
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(READS_IN_A_ROW))
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            ClientHandler handler = new ClientHandler(HttpFront.this);
            channel
                .pipeline()
                .addLast(new RequestDecoder(handler::accepts), new HttpResponseEncoder(), handler);
            opened(handler, channel);
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

  /** Whether each answer is its connection's last. */
  public boolean closing() {
    return closing;
  }

  public String name() {
    return name;
  }

  ServingGuard guard() {
    return on.guard();
  }

  Clock clock() {
    return on.clock();
  }

  /** Takes what waits unread on a client's connection and drops it; {@link Sockets#LEFT} where its client has ended it. */
  int drop(Channel channel, int most) {
    return on.sockets().discardUnread(channel, most);
  }

  /** Whether something of a client waits unread: its next request may cross its connection's end. */
  Sockets.Pending pending(Channel channel) {
    return on.sockets().pending(channel);
  }

  /** How long reading what came last had failed before. */
  long readDelayNanos(Channel channel) {
    return on.sockets().readDelayNanos(channel);
  }

  RequestRouter router() {
    return router;
  }

  int most() {
    return accepts.limit();
  }

  /** Another limit on connections, for what is accepted from now on. */
  @Override
  public void setMaxConnections(int connections) {
    accepts.configure(connections);
  }

  /** Begins to accept, where listening began without. */
  @Override
  public void startAccepting() {
    accepting = true;
    acceptAgain();
  }

  /** Whether this is where the balancer's own warm-up asks: nobody else knows the path.
   * Its last requests may come after it has ended, and are no client's without a route. */
  public boolean warmsUpAt(String uri) {
    return uri.equals(warmUpPath);
  }

  /** All connections, the one that got its last answer longest ago first. */
  public List<ClientHandler> connections() {
    return List.copyOf(connections);
  }

  /** Accepts no more and has nothing open. */
  @Override
  public boolean isClosed() {
    return connections.isEmpty() && (!listener.isOpen() || adopted && ready && !accepting);
  }

  @Override
  public int openConnections() {
    return connections.size();
  }

  /**
   * At the limit the longest idle connection gives way at once, or a crowd of clients, and the front's question
   * whether this balancer is up, would wait in line; with none nothing is accepted until {@link ClientLimits} has
   * made room.
   */
  private void opened(ClientHandler handler, Channel channel) {
    long now = clock().now();
    long waitedNanos = on.sockets().sinceAcceptNanos(channel);
    connections.add(handler);
    accepts.accepted();
    handler.opened(
        Math.max(waitedInLine(now), lag.maxReadDelayNanos()) + waitedNanos,
        pending(channel) == Sockets.Pending.SOME);
    if (connections.size() >= accepts.limit()) {
      connections.stream()
          .filter(c -> c != handler && c.idle() && !c.neverAsked() && c.atRest())
          .findFirst()
          .ifPresentOrElse(c -> c.close(CloseReason.GIVES_WAY), this::pause);
    }
  }

  private long waitedInLine(long now) {
    if (listener == null) {
      // Accepted before the bind has returned.
      return 0;
    }
    Sockets.Backlog line = on.sockets().backlog(listener);
    long waited = accepts.maxBacklogWaitNanos(now, line != Sockets.Backlog.UNKNOWN);
    if (line == Sockets.Backlog.EMPTY) {
      accepts.backlogEmpty(now);
    } else if (line == Sockets.Backlog.WAITING) {
      // More have come than one turn takes: the line was empty when the loop last asked.
      accepts.backlogSince(now - lag.sincePreviousPollNanos());
    }
    return waited;
  }

  /**
   * An accept failed; for how long nothing is accepted. Where the process has no descriptor left the longest idle connection gives way,
   * so that lists, upstreams and operators have room again.
   */
  private long acceptFailed(FailureScope scope) {
    boolean lowered = accepts.isLowered();
    long rest = accepts.acceptFailed(scope, connections.size(), clock().now());
    if (accepts.isLowered() && !lowered) {
      Log.line(name + ": takes " + accepts.limit() + " connections for now, out of descriptors");
    }
    if (scope == FailureScope.PROCESS) {
      connections.stream()
          .filter(c -> c.idle() && !c.neverAsked() && c.atRest())
          .findFirst()
          .ifPresent(c -> c.close(CloseReason.GIVES_WAY));
    }
    return rest;
  }

  /** The regular look: what rests or was lowered comes back by this, whatever else happens or does not. */
  void look(long now) {
    if (accepts.mayHaveBacklog()
        && listener.isOpen()
        && on.sockets().backlog(listener) == Sockets.Backlog.EMPTY) {
      accepts.backlogEmpty(now);
    }
    if (accepts.raiseLimit(connections.size(), now)) {
      Log.line(name + ": takes " + accepts.limit() + " connections again");
    }
    acceptAgain();
  }

  public void closed(ClientHandler handler) {
    connections.remove(handler);
    acceptAgain();
  }

  private void acceptAgain() {
    long now = clock().now();
    if (listener != null
        && listener.isOpen()
        && (accepting || lastCall)
        && accepts.mayAccept(connections.size(), now)) {
      accepts.accepting(now);
      listener.config().setAutoRead(true);
    }
  }

  private void pause() {
    accepts.limitReached(clock().now());
    listener.config().setAutoRead(false);
  }

  /** How long what is read now may have waited for the loop, at most. */
  long behindNanos() {
    return lag.maxReadDelayNanos();
  }

  public void becameIdle(ClientHandler handler) {
    if (connections.remove(handler)) {
      connections.add(handler);
    }
  }

  /** Begins a planned stop: the front is told to send no more clients; those that are here are served on. */
  @Override
  public void drain() {
    draining = true;
  }

  @Override
  public void resume() {
    draining = false;
    closing = false;
  }

  /** Where it listens. */
  @Override
  public InetSocketAddress address() {
    return address;
  }

  @Override
  public void closeAfterAnswers() {
    closing = true;
  }

  /** Ends what asks nothing; each answer is its connection's last from now on. */
  @Override
  public void closeIdle() {
    closing = true;
    long now = clock().now();
    List.copyOf(connections).stream()
        .filter(c -> c.idle() && c.idleFor(now) > JUST_NANOS && c.atRest())
        .forEach(c -> c.close(CloseReason.STOPPING));
  }

  /** Accepts no more. Java takes a closed descriptor 0 for the end of the log, too, so an adopted socket stays open. */
  @Override
  public void stopListening() {
    accepting = false;
    if (adopted) {
      listener.config().setAutoRead(false);
    } else if (accepts.backlogAtLimit()) {
      // At the limit: those that stand in the kernel's line would be reset with it, and their
      // machine has them for accepted.
      lastCall();
    } else {
      closeBehindLine();
    }
  }

  private void closeBehindLine() {
    int most = accepts.limit();
    on.sockets()
        .drainBacklogAndClose(listener, Math.max(0, most + most / SPARE_PART - connections.size()));
  }

  /** Lets in those that stand in line, in the room that is spare and that of those which have asked nothing for a while. */
  private void lastCall() {
    lastCall = true;
    accepts.addSpareConnections(Math.max(1, accepts.limit() / SPARE_PART));
    long now = clock().now();
    List.copyOf(connections).stream()
        .filter(c -> c.neverAsked() && c.idleFor(now) > SAID_NOTHING_NANOS)
        .forEach(c -> {
          if (c.idle()) {
            c.close(CloseReason.GIVES_WAY);
          } else {
            c.expire();
          }
        });
    listener.config().setAutoRead(true);
    loop.schedule(this::closeBehindLine, LAST_CALL_NANOS, TimeUnit.NANOSECONDS);
  }

  /** Takes no more, also of what has come in part: a slow sender must not keep the process from its end. */
  @Override
  public void closeIncomplete() {
    closing = true;
    long now = clock().now();
    List.copyOf(connections).stream()
        .filter(c -> c.untaken()
            && (!c.idle()
                || c.idleFor(now) > (c.neverAsked() ? NEW_NANOS : JUST_NANOS) && c.atRest()))
        .forEach(ClientHandler::endUntaken);
  }
}
