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
import pumicekeel.front.AcceptFaults;
import pumicekeel.front.Front;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.NioSockets;
import pumicekeel.runtime.Reactor;
import pumicekeel.runtime.Sockets;

/** The listening side: client connections, readiness, and the end of both at a planned stop. */
public final class ClientSide implements Front {

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
  /** Once it accepts again, the line that stood is through after so long. */
  private static final long LINE_NANOS = 5_000_000L;
  /** Beyond its limit by that part, at the end only: less than what the process keeps for itself. */
  private static final int SPARE_PART = 4;

  private static final long LAST_CALL_NANOS = 20_000_000L;
  /** Descriptors that clients leave to others once one could not be accepted: as many as a round of accepts takes. */
  private static final int KEPT_ASIDE = 16;
  /** Usual clients ask at once; at the end, one that has not for so long gives way to those in line. */
  private static final long SAID_NOTHING_NANOS = 100_000_000L;

  private final Reactor on;
  private final EventLoop loop;
  private final String name;
  private final RequestRouter router;
  private int most;
  /** The connection that got its last answer longest ago comes first. */
  private final Set<ClientHandler> connections = new LinkedHashSet<>();

  private Channel listener;
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
  /** Since when connections may have stood in the kernel's line, at the limit; 0 where none has. */
  private long lineSince;

  private long acceptsSince;

  /** The listener of this name, with at most so many connections; {@code warmUpPath} is answered with 200. */
  public ClientSide(
      Reactor on, LoopLag lag, String name, RequestRouter router, int most, String warmUpPath) {
    this.on = on;
    this.lag = lag;
    loop = on.loop();
    this.name = name;
    this.router = router;
    this.most = most;
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
        .channelFactory(on.sockets()::listening)
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
        .handler(new AcceptFaults(this::makeRoom, this::acceptAgain))
        .option(ChannelOption.AUTO_READ, accepting)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(UNSENT_LOW, UNSENT_HIGH))
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(READS_IN_A_ROW))
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            ClientHandler handler = new ClientHandler(ClientSide.this);
            channel
                .pipeline()
                .addLast(new RequestDecoder(handler::accepts), new HttpResponseEncoder(), handler);
            opened(handler);
          }
        });
  }

  @Override
  public void setReady() {
    ready = true;
    if (adopted) {
      accept();
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

  Clock clock() {
    return on.clock();
  }

  /** Takes what waits unread on a client's connection and drops it; {@link Sockets#LEFT} where its client has ended it. */
  int drop(Channel channel, int most) {
    return on.sockets().drop(channel, most);
  }

  RequestRouter router() {
    return router;
  }

  int most() {
    return most;
  }

  /** Another limit on connections, for what is accepted from now on. */
  @Override
  public void resize(int connections) {
    most = connections;
  }

  /** Begins to accept, where listening began without. */
  @Override
  public void accept() {
    accepting = true;
    listener.config().setAutoRead(true);
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
  boolean over() {
    return connections.isEmpty() && (!listener.isOpen() || adopted && ready && !accepting);
  }

  @Override
  public int open() {
    return connections.size();
  }

  /**
   * At the limit the longest idle connection gives way at once, or a crowd of clients, and the front's question
   * whether this balancer is up, would wait in line; with none nothing is accepted until {@link ClientLimits} has
   * made room.
   */
  private void opened(ClientHandler handler) {
    connections.add(handler);
    handler.waited(waitedInLine());
    if (connections.size() >= most) {
      connections.stream()
          .filter(c -> c != handler && c.idle() && !c.neverAsked())
          .findFirst()
          .ifPresentOrElse(ClientHandler::close, this::pause);
    }
  }

  /**
   * The process has no descriptor left, so the limit was too high: it falls below what is open, and those that say nothing and the
   * longest idle ones give way until lists, upstreams and operators have room again.
   */
  private void makeRoom() {
    most = Math.max(1, Math.min(most, connections.size() - KEPT_ASIDE));
    Log.caused(name + " takes " + most + " connections from now on");
    pause();
    connections.stream()
        .filter(c -> c.idle() && !c.neverAsked())
        .findFirst()
        .ifPresent(ClientHandler::close);
  }

  public void closed(ClientHandler handler) {
    connections.remove(handler);
    acceptAgain();
  }

  private void acceptAgain() {
    if (connections.size() < most
        && listener != null
        && listener.isOpen()
        && (accepting || lastCall)) {
      if (!listener.config().isAutoRead()) {
        acceptsSince = clock().now();
      }
      listener.config().setAutoRead(true);
    }
  }

  private void pause() {
    long now = clock().now();
    lineSince =
        lineSince == 0 || acceptsSince != 0 && now - acceptsSince > LINE_NANOS ? now : lineSince;
    acceptsSince = 0;
    listener.config().setAutoRead(false);
  }

  /** How long what is read now may have waited for the loop, at most. */
  long behindNanos() {
    return lag.behindNanos();
  }

  /** How long one that is accepted now may have stood in line unseen, at most; its client's time ran meanwhile. */
  private long waitedInLine() {
    long now = clock().now();
    if (lineSince != 0 && acceptsSince != 0 && now - acceptsSince > LINE_NANOS) {
      lineSince = 0;
    }
    return lineSince == 0 ? 0 : Math.min(now - lineSince, ClientLimits.ROOM_NANOS);
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
  public void lastAnswers() {
    closing = true;
  }

  /** Ends what asks nothing; each answer is its connection's last from now on. */
  @Override
  public void closeIdle() {
    closing = true;
    long now = clock().now();
    List.copyOf(connections).stream()
        .filter(c -> c.idle() && c.idleFor(now) > JUST_NANOS)
        .forEach(ClientHandler::close);
  }

  /** Accepts no more. Java takes a closed descriptor 0 for the end of the log, too, so an adopted socket stays open. */
  @Override
  public void stopListening() {
    accepting = false;
    if (adopted) {
      listener.config().setAutoRead(false);
    } else if (lineSince != 0 && acceptsSince == 0) {
      // At the limit: those that stand in the kernel's line would be reset with it, and their
      // machine has them for accepted.
      lastCall();
    } else {
      on.sockets()
          .closeBehindLine(listener, Math.max(0, most + most / SPARE_PART - connections.size()));
    }
  }

  /** Lets in those that stand in line, in the room that is spare and that of those which have asked nothing for a while. */
  private void lastCall() {
    lastCall = true;
    most += Math.max(1, most / SPARE_PART);
    long now = clock().now();
    List.copyOf(connections).stream()
        .filter(c -> c.neverAsked() && c.idleFor(now) > SAID_NOTHING_NANOS)
        .forEach(c -> {
          if (c.idle()) {
            c.close();
          } else {
            c.expire();
          }
        });
    listener.config().setAutoRead(true);
    loop.schedule(() -> listener.close(), LAST_CALL_NANOS, TimeUnit.NANOSECONDS);
  }

  /** Takes no more, also of what has come in part: a slow sender must not keep the process from its end. */
  @Override
  public void closeUntaken() {
    closing = true;
    long now = clock().now();
    List.copyOf(connections).stream()
        .filter(c -> c.untaken()
            && (!c.idle() || c.idleFor(now) > (c.neverAsked() ? NEW_NANOS : JUST_NANOS)))
        .forEach(ClientHandler::endUntaken);
  }
}
