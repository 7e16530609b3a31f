package pumicekeel.rig.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AttributeKey;
import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import pumicekeel.rig.soak.RequestLog.EventType;

/** An upstream that logs each complete request with its announced time left, and each connection closed before the answer. */
final class SoakUpstream implements Closeable {

  /** How the upstream handles requests. */
  enum Behaviour {
    /** Answers with status 200 and the request's id as the body. */
    SERVE,
    /** Answers with status 500. */
    ERROR,
    /** Answers with status 503 and the header X-Unprocessed: the request did not run. */
    FULL,
    /** Does not answer. */
    HANG,
    /** Resets the connection after receiving a request. */
    RESET
  }

  private static final int MAX_BODY_BYTES = 8 << 20;
  /** A slow upstream reads at most this much at a time, with a pause before the next read. */
  private static final int SLOW_READ_BYTES = 64 << 10;

  private static final int MIN_READ_PAUSE_MILLIS = 5;
  private static final int MAX_READ_PAUSE_MILLIS = 40;
  /** Marks connections that this upstream resets itself. */
  private static final AttributeKey<Boolean> RESET_HERE =
      AttributeKey.valueOf(SoakUpstream.class, "reset here");

  private static final int BACKLOG = 1024;

  private final String name;
  private final RequestLog log;
  private final Channel listener;
  private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
  private volatile Behaviour behaviour = Behaviour.SERVE;
  private volatile int delayMillis = 4;
  /** How answers are written over time; null for at once. */
  private volatile SlowAnswers slowAnswers;

  private volatile boolean readsSlowly;

  SoakUpstream(String name, EventLoopGroup group, RequestLog log) throws InterruptedException {
    this.name = name;
    this.log = log;
    listener = new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            Handler handler = new Handler();
            connections.add(channel);
            channel.closeFuture().addListener(closed -> connections.remove(channel));
            if (readsSlowly) {
              channel
                  .config()
                  .setRecvByteBufAllocator(
                      new FixedRecvByteBufAllocator(SLOW_READ_BYTES).maxMessagesPerRead(1));
              channel.pipeline().addLast(new PacedReads(SoakUpstream::pauseAfter));
            }
            channel
                .pipeline()
                .addLast(
                    new HttpServerCodec(),
                    handler.new HeadObserver(),
                    new HttpObjectAggregator(MAX_BODY_BYTES),
                    handler);
          }
        })
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .sync()
        .channel();
  }

  String name() {
    return name;
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  void setBehaviour(Behaviour next) {
    behaviour = next;
  }

  /** Sets the average time in milliseconds after which a request is answered. */
  void setDelay(int millis) {
    delayMillis = millis;
  }

  /** Sets whether connections that are accepted from now on are read slowly. */
  void setReadsSlowly(boolean on) {
    readsSlowly = on;
  }

  /** Sets how answers are written over time; null for at once. */
  void setSlowAnswers(SlowAnswers next) {
    slowAnswers = next;
  }

  /** Resets all open connections. */
  void resetConnections() {
    connections.forEach(connection -> {
      connection.attr(RESET_HERE).set(true);
      reset(connection);
    });
  }

  private static void reset(Channel connection) {
    connection.eventLoop().execute(() -> {
      if (connection.isActive()) {
        connection.config().setOption(ChannelOption.SO_LINGER, 0);
      }
      connection.close();
    });
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    connections.forEach(Channel::close);
  }

  /** Returns the pause after a read that brought this many bytes: small requests are read at once. */
  private static int pauseAfter(int bytes) {
    return bytes < SLOW_READ_BYTES / 2
        ? 0
        : ThreadLocalRandom.current().nextInt(MIN_READ_PAUSE_MILLIS, MAX_READ_PAUSE_MILLIS);
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private String pendingId;
    private long headAt;
    private SlowAnswerWriter slowAnswer;
    private boolean closedHere;
    /** The id of the last request that was answered completely. */
    private String answeredId;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      String id = request.headers().get("X-Correlation-Id", "");
      // The time that was announced runs from the head; a body may be read long after it.
      long sinceHeadMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - headAt);
      long timeLeftMillis =
          Long.parseLong(request.headers().get("X-Time-Left-Ms", "-1")) - sinceHeadMillis;
      log.add(id, name, EventType.RECEIVED, timeLeftMillis, request.uri());
      pendingId = id;
      Behaviour current = behaviour;
      SlowAnswers slow = current == Behaviour.SERVE ? slowAnswers : null;
      SlowAnswers.Answer answer = slow == null ? null : slow.answerTo(id, name, timeLeftMillis);
      if (answer != null) {
        slowAnswer = new SlowAnswerWriter(ctx.channel(), log, name, id, answer);
        slowAnswer.start(() -> {
          pendingId = null;
          slowAnswer = null;
          answeredId = id;
        });
      } else if (current == Behaviour.RESET) {
        closedHere = true;
        reset(ctx.channel());
      } else if (current != Behaviour.HANG) {
        int maxDelayMillis = 1 + 2 * delayMillis;
        ctx.executor()
            .schedule(
                () -> answer(ctx, id, current),
                ThreadLocalRandom.current().nextInt(maxDelayMillis),
                TimeUnit.MILLISECONDS);
      }
    }

    /** Records when the head of a request arrives. */
    private final class HeadObserver extends ChannelInboundHandlerAdapter {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpRequest) {
          headAt = System.nanoTime();
        }
        ctx.fireChannelRead(message);
      }
    }

    private void answer(ChannelHandlerContext ctx, String id, Behaviour mode) {
      if (!ctx.channel().isActive()) {
        return;
      }
      HttpResponseStatus status = switch (mode) {
        case SERVE -> HttpResponseStatus.OK;
        case FULL -> HttpResponseStatus.SERVICE_UNAVAILABLE;
        default -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
      };
      var answer = new DefaultFullHttpResponse(
          HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(id, StandardCharsets.UTF_8));
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
      if (mode == Behaviour.FULL) {
        answer.headers().set("X-Unprocessed", "1");
      }
      pendingId = null;
      log.add(
          id, name, EventType.REPLIED, status.code(), mode == Behaviour.FULL ? "never ran" : "");
      ctx.writeAndFlush(answer);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (slowAnswer != null) {
        slowAnswer.cut(closedHere || ctx.channel().hasAttr(RESET_HERE));
      } else if (answeredId != null && ctx.channel().hasAttr(RESET_HERE)) {
        log.add(answeredId, name, EventType.GIVEN_UP, 0, "reset after the last byte");
      } else if (pendingId != null) {
        log.add(pendingId, name, EventType.GIVEN_UP, 0, "");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
