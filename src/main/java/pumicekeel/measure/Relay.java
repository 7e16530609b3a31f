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
 * Relay of bytes or of framed messages on one event loop, with one upstream connection for each client connection. Gives the cost
 * of the sockets and of the framing alone, as a baseline for measurements.
 */
final class Relay implements Closeable {

  private final EventLoopGroup loop;
  private final Supplier<ChannelHandler> clientDecoder;
  private final Supplier<ChannelHandler> upstreamDecoder;
  private final UnaryOperator<Object> transform;
  private final InetSocketAddress[] upstreams;
  private final Channel listener;
  private int next;

  Relay(EventLoopGroup loop, InetSocketAddress... upstreams) throws InterruptedException {
    this(loop, null, null, UnaryOperator.identity(), upstreams);
  }

  /** Creates a relay that decodes messages with these handlers and forwards what {@code transform} returns, unless that is null. */
  Relay(
      EventLoopGroup loop,
      Supplier<ChannelHandler> clientDecoder,
      Supplier<ChannelHandler> upstreamDecoder,
      UnaryOperator<Object> transform,
      InetSocketAddress... upstreams)
      throws InterruptedException {
    this.loop = loop;
    this.clientDecoder = clientDecoder;
    this.upstreamDecoder = upstreamDecoder;
    this.transform = transform;
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
            addForwarder(upstream, upstreamDecoder, client);
          }
        })
        .connect(upstreams[next++ % upstreams.length])
        .addListener(done -> {
          addForwarder(client, clientDecoder, ((ChannelFuture) done).channel());
          client.config().setAutoRead(true);
        });
  }

  private void addForwarder(Channel channel, Supplier<ChannelHandler> decoder, Channel other) {
    if (decoder != null) {
      channel.pipeline().addLast(decoder.get());
    }
    channel.pipeline().addLast(new Forwarder(other, transform));
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
  }

  /** Writes what it reads to the other connection. */
  private static final class Forwarder extends ChannelInboundHandlerAdapter {
    private final Channel other;

    private final UnaryOperator<Object> transform;

    private Forwarder(Channel other, UnaryOperator<Object> transform) {
      this.transform = transform;
      this.other = other;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      Object forwarded = transform.apply(message);
      if (forwarded != null && other.isActive()) {
        other.writeAndFlush(forwarded);
      } else {
        ReferenceCountUtil.release(forwarded);
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
