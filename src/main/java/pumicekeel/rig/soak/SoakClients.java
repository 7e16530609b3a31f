package pumicekeel.rig.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import pumicekeel.rig.soak.RequestLog.EventType;
import pumicekeel.rig.soak.SoakSettings.Effect;
import pumicekeel.rig.soak.SoakSettings.RequestClass;

/**
 * Clients of one balancer, which send requests at a steady average rate. They reuse kept connections, and open new ones at random or when
 * all are busy. State is confined to their event loop; methods that other classes call may run on any thread.
 */
final class SoakClients implements Closeable {

  /**
   * Request rate, and the shares of requests that use a new connection, are abandoned, have half the usual time left, are written or read
   * slowly, or are large.
   */
  record Profile(
      double perSecond,
      double newConnectionShare,
      double abandonShare,
      double halvedTimeLeftShare,
      double slowShare,
      double largeShare) {

    /** Creates a profile of clients that write and read at once. */
    Profile(
        double perSecond,
        double newConnectionShare,
        double abandonShare,
        double halvedTimeLeftShare) {
      this(perSecond, newConnectionShare, abandonShare, halvedTimeLeftShare, 0, 0);
    }
  }

  /** How a request is written and its answer read. */
  private enum Pace {
    AT_ONCE,
    /** The request is written in pieces. */
    WRITES_SLOWLY,
    /** The answer is read in small pieces. */
    READS_SLOWLY
  }

  /** The pieces of a request that is written slowly, and the pause between them: in all less than a balancer allows for a head. */
  private static final int WRITE_PIECES = 8;

  private static final int MAX_WRITE_PAUSE_MILLIS = 120;
  private static final int READ_PIECE_BYTES = 8 << 10;
  private static final int READ_PAUSE_MILLIS = 15;
  private static final int SMALL_BODY_BYTES = 4;
  private static final int MIN_LARGE_BODY_BYTES = 100_000;
  private static final int MAX_LARGE_BODY_BYTES = 4_000_000;

  /** If a kept connection closes within this time after a request was sent, the request and the close may have crossed on the network. */
  static final long CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Time after which the samples of the machine's lateness up to a given moment have arrived. */
  private static final long LATENESS_DELAY_MILLIS = 50;

  /** Maximum number of idle connections that are kept for further requests. */
  private static final int MAX_KEPT_CONNECTIONS = 24;

  private static final int MAX_ANSWER_BYTES = 1 << 20;

  private static final int CONNECT_TIMEOUT_MILLIS = 3_000;

  /** How long a client still waits for the rest of an answer once its time is up. */
  static final long MAX_OVERTIME_MILLIS = 4_000;

  private final String name;
  private final EventLoop loop;
  private final RequestLog log;
  private final List<RequestClass> classes;
  private final Random random;
  /** Apart from the other draws, so that the requests of a seed stay the same without slow clients. */
  private final Random slowRandom;

  private final SoakJudge.Lateness lateness;
  private final Bootstrap bootstrap;
  private final ArrayDeque<Connection> kept = new ArrayDeque<>();
  private final Set<Channel> idleConnections = new HashSet<>();
  private volatile InetSocketAddress address;
  private volatile boolean opensNewConnections = true;
  private Profile profile;
  private ScheduledFuture<?> next;
  private int requestCount;

  SoakClients(
      String name,
      EventLoop loop,
      RequestLog log,
      SoakSettings settings,
      Profile profile,
      SoakJudge.Lateness lateness,
      long seed) {
    this.lateness = lateness;
    this.name = name;
    this.loop = loop;
    this.log = log;
    this.profile = profile;
    classes = settings.classes();
    random = new Random(seed);
    slowRandom = new Random(~seed);
    bootstrap = new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            profile.slowShare() > 0
                ? new FixedRecvByteBufAllocator(READ_PIECE_BYTES).maxMessagesPerRead(1)
                : new AdaptiveRecvByteBufAllocator());
  }

  /** Starts sending requests to the balancer at this address. */
  void start(InetSocketAddress at) {
    address = at;
    loop.execute(this::scheduleNext);
  }

  /** Sets whether new connections may be opened; otherwise only open ones are used. */
  void setOpenNewConnections(boolean on) {
    opensNewConnections = on;
  }

  /** Opens connections that send nothing. */
  void openIdleConnections(int count) {
    for (int i = 0; i < count; i++) {
      bootstrap
          .clone()
          .handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
              idleConnections.add(channel);
              channel.pipeline().addLast(new IgnoringHandler());
              channel.closeFuture().addListener(closed -> idleConnections.remove(channel));
            }
          })
          .connect(address);
    }
  }

  private void scheduleNext() {
    double wait = -Math.log(1 - random.nextDouble()) / profile.perSecond();
    next = loop.schedule(
        () -> {
          send();
          scheduleNext();
        },
        (long) (wait * 1e9),
        TimeUnit.NANOSECONDS);
  }

  private void send() {
    boolean newConnection = random.nextDouble() < profile.newConnectionShare();
    boolean abandons = random.nextDouble() < profile.abandonShare();
    RequestClass requestClass = classes.get(random.nextInt(classes.size()));
    long timeLeftMillis = random.nextDouble() < profile.halvedTimeLeftShare()
        ? requestClass.deadlineMillis() / 2
        : requestClass.deadlineMillis();
    Request request = new Request(
        name + "-" + requestCount++,
        requestClass,
        timeLeftMillis,
        abandons,
        drawPace(),
        drawBodyBytes());
    Connection reused = newConnection ? null : kept.pollLast();
    if (reused != null) {
      reused.send(request, EventType.SENT);
    } else if (opensNewConnections) {
      connect(request, EventType.SENT);
    }
  }

  private Pace drawPace() {
    if (profile.slowShare() == 0 || slowRandom.nextDouble() >= profile.slowShare()) {
      return Pace.AT_ONCE;
    }
    return slowRandom.nextBoolean() ? Pace.WRITES_SLOWLY : Pace.READS_SLOWLY;
  }

  private int drawBodyBytes() {
    boolean large = profile.largeShare() > 0 && slowRandom.nextDouble() < profile.largeShare();
    return large
        ? MIN_LARGE_BODY_BYTES + slowRandom.nextInt(MAX_LARGE_BODY_BYTES - MIN_LARGE_BODY_BYTES)
        : SMALL_BODY_BYTES;
  }

  private void connect(Request request, EventType type) {
    Connection connection = new Connection();
    bootstrap
        .clone()
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(
                    new PacedReads(bytes -> connection.readPauseMillis()),
                    new HttpClientCodec(),
                    connection.new HeadObserver(),
                    new HttpObjectAggregator(MAX_ANSWER_BYTES),
                    connection);
          }
        })
        .connect(address)
        .addListener(done -> {
          if (done.isSuccess()) {
            connection.send(request, type);
          } else if (type == EventType.SENT_AGAIN) {
            log.add(request.id(), name, EventType.UNREACHABLE, 0, "");
          }
        });
  }

  @Override
  public void close() {
    loop.submit(() -> {
          if (next != null) {
            next.cancel(false);
          }
          kept.forEach(c -> c.ctx.close());
          Set.copyOf(idleConnections).forEach(Channel::close);
        })
        .syncUninterruptibly();
  }

  /** Stops sending new requests; those in flight continue. */
  void stopSending() {
    loop.submit(() -> {
          if (next != null) {
            next.cancel(false);
          }
        })
        .syncUninterruptibly();
  }

  /** Sends nothing and ignores all input. */
  private static final class IgnoringHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private record Request(
      String id,
      RequestClass requestClass,
      long timeLeftMillis,
      boolean abandons,
      Pace pace,
      int bodyBytes) {

    private boolean isLarge() {
      return requestClass.effect() != Effect.SAFE && bodyBytes > SMALL_BODY_BYTES;
    }

    private String text() {
      boolean get = requestClass.effect() == Effect.SAFE;
      boolean keyed = requestClass.effect() == Effect.KEYED_BY_ALL
          || requestClass.effect() == Effect.KEYED_BY_CELL;
      return (get ? "GET /" : "POST /") + requestClass.name() + "/x HTTP/1.1\r\nHost: soak\r\n"
          + "X-Correlation-Id: " + id + "\r\nX-Service-Class: " + requestClass.name()
          + "\r\nX-Account: demo\r\nX-Session-Key: k" + Math.floorMod(id.hashCode(), 64)
          + "\r\nX-Time-Left-Ms: " + timeLeftMillis + "\r\n"
          + (keyed ? "Idempotency-Key: key-" + id + "\r\n" : "")
          + (get ? "\r\n" : "Content-Length: " + bodyBytes + "\r\n\r\n" + "b".repeat(bodyBytes));
    }
  }

  /** A connection that carries one request at a time. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private ChannelHandlerContext ctx;
    private Request open;
    private long sentAt;
    private int requestsSent;
    /** Whether the last byte of the request is still to be written. */
    private boolean unwritten;

    private String closeReason = "end of stream";

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      ctx = context;
    }

    private void send(Request request, EventType type) {
      open = request;
      requestsSent++;
      ByteBuf text = Unpooled.copiedBuffer(request.text(), StandardCharsets.US_ASCII);
      unwritten = true;
      sentAt = System.nanoTime();
      if (request.pace() == Pace.READS_SLOWLY) {
        log.add(request.id(), name, EventType.READS_SLOWLY, 0, "");
      }
      if (request.pace() == Pace.WRITES_SLOWLY && !request.isLarge()) {
        writePieces(request, type, text);
      } else if (request.isLarge()) {
        write(text).addListener(done -> {
          if (done.isSuccess()) {
            written(request, type);
          }
        });
      } else {
        written(request, type);
        write(text);
      }
      if (request.abandons()) {
        loop.schedule(() -> abandon(request), random.nextInt(60), TimeUnit.MILLISECONDS);
      }
    }

    /** Records when the head of an answer arrives. */
    private final class HeadObserver extends ChannelInboundHandlerAdapter {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse head && open != null) {
          log.add(open.id(), name, EventType.BEGUN, head.status().code(), "");
        }
        context.fireChannelRead(message);
      }
    }

    private ChannelFuture write(ByteBuf bytes) {
      return ctx.channel().pipeline().firstContext().writeAndFlush(bytes);
    }

    /** Records that the last byte is written: the time of a request counts from then. */
    private void written(Request request, EventType type) {
      unwritten = false;
      sentAt = System.nanoTime();
      log.add(
          request.id(),
          name,
          type,
          request.timeLeftMillis(),
          request.requestClass().name()
              + (requestsSent == 1 ? " new connection" : " kept connection"));
      loop.schedule(
          () -> stopWaiting(request),
          request.timeLeftMillis() + MAX_OVERTIME_MILLIS,
          TimeUnit.MILLISECONDS);
    }

    private void stopWaiting(Request request) {
      if (open == request) {
        open = null;
        log.add(request.id(), name, EventType.STOPPED_WAITING, MAX_OVERTIME_MILLIS, "");
        ctx.close();
      }
    }

    private void writePieces(Request request, EventType type, ByteBuf text) {
      int piece = Math.max(1, text.readableBytes() / WRITE_PIECES);
      if (!ctx.channel().isActive() || open != request) {
        text.release();
      } else if (text.readableBytes() <= piece) {
        written(request, type);
        write(text);
      } else {
        write(text.readRetainedSlice(piece));
        loop.schedule(
            () -> writePieces(request, type, text),
            slowRandom.nextInt(MAX_WRITE_PAUSE_MILLIS),
            TimeUnit.MILLISECONDS);
      }
    }

    /** Returns the pause before the next read. */
    private int readPauseMillis() {
      return open != null && open.pace() == Pace.READS_SLOWLY ? READ_PAUSE_MILLIS : 0;
    }

    private void abandon(Request request) {
      if (open == request) {
        open = null;
        log.add(request.id(), name, EventType.LEFT, 0, "");
        ctx.close();
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
      if (open == null) {
        return;
      }
      Request ended = open;
      open = null;
      log.add(
          ended.id(),
          name,
          EventType.ANSWERED,
          answer.status().code(),
          AnswerBody.identify(ended.id(), answer.content()));
      if (HttpUtil.isKeepAlive(answer) && !unwritten && kept.size() < MAX_KEPT_CONNECTIONS) {
        kept.addLast(this);
      } else {
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      kept.remove(this);
      if (open == null) {
        return;
      }
      Request interrupted = open;
      open = null;
      long endedAt = System.nanoTime();
      if (closeCrossedRequest(endedAt)) {
        connect(interrupted, EventType.SENT_AGAIN);
        return;
      }
      // The machine may just have delayed this thread, or the balancer's between its check for
      // input and its close; the samples
      // that show it arrive a little later.
      loop.schedule(
          () -> recordClose(interrupted, endedAt), LATENESS_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean closeCrossedRequest(long endedAt) {
      return requestsSent > 1
          && endedAt - sentAt < CROSSING_NANOS + lateness.nanos(name, sentAt, endedAt);
    }

    private void recordClose(Request interrupted, long endedAt) {
      if (closeCrossedRequest(endedAt)) {
        connect(interrupted, EventType.SENT_AGAIN);
        return;
      }
      log.add(
          interrupted.id(),
          name,
          EventType.CLOSED,
          0,
          (requestsSent == 1 ? "new connection, " : "kept connection, ") + closeReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      closeReason = String.valueOf(cause.getMessage());
      context.close();
    }
  }
}
