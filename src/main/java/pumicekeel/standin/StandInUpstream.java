package pumicekeel.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream on loopback with a settable behaviour that logs which requests reached it and when; tests check against this log. */
public final class StandInUpstream implements Closeable {

  /** How requests are answered. */
  public enum Mode {
    /** Status 200 with the request's id as the body. */
    SERVE,
    /** Status 500. */
    ERROR,
    /** Status 503 with the header X-Unprocessed: the request did not run. */
    FULL,
    /** No answer; the connection stays open. */
    HANG,
    /** The connection is reset. */
    RESET,
    /** Bytes that are not an HTTP response. */
    SPOILT
  }

  /** A completely received request. */
  public record ReceivedRequest(
      String id, String key, String className, String body, long atNanos, Mode mode) {}

  /** Maximum body size that the protocol allows. */
  private static final int MAX_BODY_BYTES = 64 << 10;
  /** Maximum number of logged requests, enough for some minutes at any rate that one machine reaches; later ones are not kept. */
  private static final int MAX_RECEIVED = 2_000_000;

  private final String name;
  private final List<ReceivedRequest> received = new ArrayList<>();
  private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger maxOpen = new AtomicInteger();
  private final AtomicInteger opened = new AtomicInteger();
  private volatile Mode mode = Mode.SERVE;
  private volatile long delayMicros;
  private volatile Channel listener;
  private final ServerBootstrap bootstrap;
  private InetSocketAddress address;

  /** Listens on a free port. */
  public StandInUpstream(String name, EventLoopGroup group, long delayMicros)
      throws InterruptedException {
    this.name = name;
    this.delayMicros = delayMicros;
    bootstrap = new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            connections.add(channel);
            opened.incrementAndGet();
            maxOpen.accumulateAndGet(connections.size(), Math::max);
            channel.closeFuture().addListener(closed -> connections.remove(channel));
            channel
                .pipeline()
                .addLast(
                    new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Handler());
          }
        });
    listener = bootstrap
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .sync()
        .channel();
    address = (InetSocketAddress) listener.localAddress();
  }

  public String name() {
    return name;
  }

  public InetSocketAddress address() {
    return address;
  }

  /** Sets how requests that are received from now on are answered. */
  public void mode(Mode next) {
    mode = next;
  }

  /** Sets the time between a request and its answer. */
  public void delayMicros(long micros) {
    delayMicros = micros;
  }

  /** Stops the upstream: open connections are reset and new ones refused. */
  public void kill() {
    listener.close().syncUninterruptibly();
    connections.forEach(StandInUpstream::reset);
  }

  private static void reset(Channel connection) {
    // On the connection's own loop: from another thread it may close between the two steps.
    connection.eventLoop().execute(() -> {
      if (connection.isActive()) {
        connection.config().setOption(ChannelOption.SO_LINGER, 0);
      }
      connection.close();
    });
  }

  /** Restarts the upstream at the same address. */
  public void revive() throws InterruptedException {
    listener = bootstrap.bind(address).sync().channel();
  }

  /** Returns the requests received so far, in order. */
  public List<ReceivedRequest> received() {
    synchronized (received) {
      return List.copyOf(received);
    }
  }

  /** Removes and returns the requests received since the last call, in order. */
  public List<ReceivedRequest> takeReceived() {
    synchronized (received) {
      List<ReceivedRequest> taken = List.copyOf(received);
      received.clear();
      return taken;
    }
  }

  /** Returns the number of connections that are open now. */
  public int open() {
    return connections.size();
  }

  /** Returns the largest number of connections that were open at the same time. */
  public int maxOpen() {
    return maxOpen.get();
  }

  /** Returns the number of connections accepted so far. */
  public int opened() {
    return opened.get();
  }

  @Override
  public void close() {
    kill();
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      Mode now = mode;
      String id = request.headers().get("X-Correlation-Id", "");
      String path = request.uri().split("\\?", 2)[0];
      int end = path.indexOf('/', 1);
      ReceivedRequest one = new ReceivedRequest(
          id,
          request.headers().get("Idempotency-Key"),
          path.substring(1, end < 0 ? path.length() : end),
          request.content().toString(StandardCharsets.UTF_8),
          System.nanoTime(),
          now);
      synchronized (received) {
        if (received.size() < MAX_RECEIVED) {
          received.add(one);
        }
      }
      if (delayMicros > 0) {
        ctx.executor().schedule(() -> answer(ctx, now, id), delayMicros, TimeUnit.MICROSECONDS);
      } else {
        answer(ctx, now, id);
      }
    }

    private void answer(ChannelHandlerContext ctx, Mode how, String id) {
      switch (how) {
        case SERVE -> write(ctx, HttpResponseStatus.OK, id, false);
        case ERROR -> write(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR, "", false);
        case FULL -> write(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true);
        case RESET -> reset(ctx.channel());
        case SPOILT ->
          ctx.channel()
              .pipeline()
              .firstContext()
              .writeAndFlush(
                  Unpooled.copiedBuffer("noise, no answer\r\n\r\n", StandardCharsets.US_ASCII));
        case HANG -> {}
      }
    }

    private void write(
        ChannelHandlerContext ctx, HttpResponseStatus status, String body, boolean unprocessed) {
      var answer = new DefaultFullHttpResponse(
          HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
      if (unprocessed) {
        answer.headers().set("X-Unprocessed", "1");
      }
      ctx.writeAndFlush(answer);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
