package pumicekeel.measure;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Clients of pool a that send a request's head and then its body byte by byte, and reconnect when their connection is closed. */
final class SlowSenders implements AutoCloseable {

  private static final long BYTE_INTERVAL_MILLIS = 50;
  private static final long RECONNECT_DELAY_MILLIS = 100;

  private final InetSocketAddress balancer;
  private final EventLoopGroup group;
  private final Set<Channel> open = ConcurrentHashMap.newKeySet();
  private volatile boolean stopped;

  SlowSenders(InetSocketAddress balancer, EventLoopGroup group, int count) {
    this.balancer = balancer;
    this.group = group;
    for (int i = 0; i < count; i++) {
      connect();
    }
  }

  private void connect() {
    if (stopped) {
      return;
    }
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .handler(new ChannelInboundHandlerAdapter() {
          @Override
          public void channelActive(ChannelHandlerContext ctx) {
            open.add(ctx.channel());
            ctx.writeAndFlush(Unpooled.copiedBuffer(
                "GET /rate-lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n",
                StandardCharsets.US_ASCII));
            sendBytes(ctx);
          }

          private void sendBytes(ChannelHandlerContext ctx) {
            if (ctx.channel().isActive()) {
              ctx.writeAndFlush(Unpooled.copiedBuffer("x", StandardCharsets.US_ASCII));
              ctx.executor()
                  .schedule(() -> sendBytes(ctx), BYTE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
          }

          @Override
          public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
          }

          @Override
          public void channelInactive(ChannelHandlerContext ctx) {
            open.remove(ctx.channel());
            ctx.executor()
                .schedule(SlowSenders.this::connect, RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
          }

          @Override
          public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
          }
        })
        .connect(balancer);
  }

  @Override
  public void close() {
    stopped = true;
    open.forEach(Channel::close);
  }
}
