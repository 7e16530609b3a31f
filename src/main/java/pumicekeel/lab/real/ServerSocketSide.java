package pumicekeel.lab.real;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import pumicekeel.Balancer.Status;
import pumicekeel.lab.world.RandomStream;
import pumicekeel.lab.world.Server;
import pumicekeel.lab.world.Traffic.Arrival;

/** A world's upstream on a socket: the model says when each request ends and how. Only on the world's loop. */
final class ServerSocketSide {

  private static final int MOST_BODY = 1 << 16;

  private final Server server;
  private final Pump pump;
  private final RandomStream random;
  private final Function<String, Arrival> asks;
  private final Channel listener;

  /** {@code asks} knows a request by its id. Waits for the bind, so it is not for the loop. */
  ServerSocketSide(
      Server server, EventLoop loop, Pump pump, RandomStream random, Function<String, Arrival> asks)
      throws InterruptedException {
    this.server = server;
    this.pump = pump;
    this.random = random;
    this.asks = asks;
    listener = new ServerBootstrap()
        .group(loop, loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY), new Handler());
          }
        })
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .sync()
        .channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  void close() {
    listener.close();
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean connected;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      pump.now();
      connected = server.connect();
      pump.plan();
      if (!connected) {
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (connected) {
        server.disconnect();
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      String id = request.headers().get("X-Correlation-Id", "");
      Arrival ask = asks.apply(id);
      if (ask == null) {
        write(ctx, HttpResponseStatus.NOT_FOUND, "", false);
        return;
      }
      pump.now();
      server.submit(
          new Server.Job(
              ask.sessionKey(),
              "q" + ask.number(),
              ask.kind().requestClass().effect(),
              ask.kind().requestClass().dedupWindowNanos(),
              ask.work(),
              ask.waitNanos(),
              new Server.JobListener() {
                @Override
                public void onStart() {}

                @Override
                public void onEnd(Status status, double work) {
                  answer(ctx, status, id);
                }
              }),
          random);
      pump.plan();
    }

    private void answer(ChannelHandlerContext ctx, Status status, String id) {
      switch (status) {
        case SERVED -> write(ctx, HttpResponseStatus.OK, id, false);
        case FULL -> write(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true);
        case ERROR -> write(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR, "", false);
        default -> ctx.close();
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
