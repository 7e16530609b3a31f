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

/** An upstream of a world on a socket; the server model decides when and how each request ends. For use on the world's event loop only. */
final class SocketServer {

  private static final int MAX_BODY_BYTES = 1 << 16;

  private final Server server;
  private final RealTimeDriver driver;
  private final RandomStream random;
  private final Function<String, Arrival> arrivalById;
  private final Channel listener;

  /** Binds to a free port. {@code arrivalById} finds a request by its id. Blocks, so it must not be called on the event loop. */
  SocketServer(
      Server server,
      EventLoop loop,
      RealTimeDriver driver,
      RandomStream random,
      Function<String, Arrival> arrivalById)
      throws InterruptedException {
    this.server = server;
    this.driver = driver;
    this.random = random;
    this.arrivalById = arrivalById;
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
                .addLast(
                    new HttpServerCodec(),
                    new HttpObjectAggregator(MAX_BODY_BYTES),
                    new RequestHandler());
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

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean connected;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      driver.now();
      connected = server.connect();
      driver.scheduleNext();
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
      Arrival arrival = arrivalById.apply(id);
      if (arrival == null) {
        write(ctx, HttpResponseStatus.NOT_FOUND, "", false);
        return;
      }
      driver.now();
      server.submit(
          new Server.Job(
              arrival.sessionKey(),
              "q" + arrival.number(),
              arrival.kind().requestClass().effect(),
              arrival.kind().requestClass().dedupWindowNanos(),
              arrival.work(),
              arrival.waitNanos(),
              new Server.JobListener() {
                @Override
                public void onStart() {}

                @Override
                public void onEnd(Status status, double work) {
                  respond(ctx, status, id);
                }
              }),
          random);
      driver.scheduleNext();
    }

    private void respond(ChannelHandlerContext ctx, Status status, String id) {
      switch (status) {
        case SERVED -> write(ctx, HttpResponseStatus.OK, id, false);
        case FULL -> write(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true);
        case ERROR -> write(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR, "", false);
        default -> ctx.close();
      }
    }

    private void write(
        ChannelHandlerContext ctx, HttpResponseStatus status, String body, boolean unprocessed) {
      var response = new DefaultFullHttpResponse(
          HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      if (unprocessed) {
        response.headers().set("X-Unprocessed", "1");
      }
      ctx.writeAndFlush(response);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
