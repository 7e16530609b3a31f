package pumicekeel.measure;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/**
 * A relay of bytes, or of messages that are only cut apart, a connection to an upstream for each client's: what the sockets, and the
 * framing, cost alone on one loop.
 */
final class Relay implements Closeable {

  private final EventLoopGroup loop;
  private final Supplier<ChannelHandler> fromClients;
  private final Supplier<ChannelHandler> fromUpstreams;
  private final UnaryOperator<Object> passes;
  private final InetSocketAddress[] upstreams;
  private final Channel listener;
  private int next;

  Relay(EventLoopGroup loop, InetSocketAddress... upstreams) throws InterruptedException {
    this(loop, null, null, UnaryOperator.identity(), upstreams);
  }

  /** One that reads messages by these, and passes on what {@code passes} makes of each; null for nothing. */
  Relay(
      EventLoopGroup loop,
      Supplier<ChannelHandler> fromClients,
      Supplier<ChannelHandler> fromUpstreams,
      UnaryOperator<Object> passes,
      InetSocketAddress... upstreams)
      throws InterruptedException {
    this.loop = loop;
    this.fromClients = fromClients;
    this.fromUpstreams = fromUpstreams;
    this.passes = passes;
    this.upstreams = upstreams;
    listener = new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel client) {
            connect(client);
          }
        })
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .sync()
        .channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void connect(Channel client) {
    new Bootstrap()
        .group(client.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel upstream) {
            join(upstream, fromUpstreams, client);
          }
        })
        .connect(upstreams[next++ % upstreams.length])
        .addListener(done -> {
          join(client, fromClients, ((ChannelFuture) done).channel());
          client.config().setAutoRead(true);
        });
  }

  private void join(Channel one, Supplier<ChannelHandler> reads, Channel other) {
    if (reads != null) {
      one.pipeline().addLast(reads.get());
    }
    one.pipeline().addLast(new Pass(other, passes));
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
  }

  private static final class Pass extends ChannelInboundHandlerAdapter {
    private final Channel other;

    private final UnaryOperator<Object> passes;

    private Pass(Channel other, UnaryOperator<Object> passes) {
      this.passes = passes;
      this.other = other;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      Object passed = passes.apply(message);
      if (passed != null && other.isActive()) {
        other.writeAndFlush(passed);
      } else {
        ReferenceCountUtil.release(passed);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      other.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
