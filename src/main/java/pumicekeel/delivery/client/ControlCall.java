package pumicekeel.delivery.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pumicekeel.delivery.Reply;
import pumicekeel.delivery.wire.ReplyFormat;
import pumicekeel.runtime.Addresses;
import pumicekeel.runtime.Reactor;

/** One call to a control machine on a connection of its own; ends in exactly one reply. Only on the loop. */
final class ControlCall {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  /** Over the largest delta and the largest part. */
  private static final int MAX_RESPONSE_BYTES = 4 << 20;

  private final InetSocketAddress address;
  private final Consumer<Reply> done;
  private final ScheduledFuture<?> timeout;
  /** Null until the connection has been begun. */
  private Channel channel;

  private boolean ended;

  private ControlCall(
      Reactor reactor,
      InetSocketAddress address,
      String target,
      long timeoutMillis,
      Consumer<Reply> done) {
    this.address = address;
    this.done = done;
    timeout = reactor
        .loop()
        .schedule(
            () -> end(new Reply.Failed("no answer within " + timeoutMillis + " ms")),
            timeoutMillis,
            TimeUnit.MILLISECONDS);
    channel = new Bootstrap()
        .group(reactor.loop())
        .channelFactory(reactor.sockets()::newConnectingChannel)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel connecting) {
            connecting
                .pipeline()
                .addLast(
                    new HttpClientCodec(),
                    new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                    new ResponseHandler(target));
          }
        })
        .connect(address)
        .addListener(connected -> {
          if (!connected.isSuccess()) {
            end(new Reply.Failed("cannot connect"));
          }
        })
        .channel();
  }

  /** Begins a call; its reply comes later, on the loop. */
  static void start(
      Reactor reactor,
      InetSocketAddress address,
      String target,
      long timeoutMillis,
      Consumer<Reply> done) {
    new ControlCall(reactor, address, target, timeoutMillis, done);
  }

  private void end(Reply reply) {
    if (!ended) {
      ended = true;
      timeout.cancel(false);
      if (channel != null) {
        channel.close();
      }
      done.accept(
          reply instanceof Reply.Failed failed
              ? new Reply.Failed(Addresses.text(address) + ": " + failed.reason())
              : reply);
    }
  }

  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final String target;

    private ResponseHandler(String target) {
      this.target = target;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target);
      request
          .headers()
          .set(HttpHeaderNames.HOST, Addresses.text(address))
          .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      ctx.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      end(
          response.decoderResult().isFailure()
              ? new Reply.Failed("a malformed answer")
              : ReplyFormat.reply(response));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      end(new Reply.Failed("the connection ended"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      end(new Reply.Failed(cause.toString()));
    }
  }
}
