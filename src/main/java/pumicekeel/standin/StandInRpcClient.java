package pumicekeel.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import pumicekeel.jsonrpc.Frame;
import pumicekeel.jsonrpc.FrameDecoder;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Limits;
import pumicekeel.jsonrpc.MessageWriter;

/** A connection of a JSON-RPC client: sends the given messages or raw bytes, and keeps the messages that it receives. */
public final class StandInRpcClient implements Closeable {

  private static final Limits LIMITS = new Limits(64 << 20, Limits.MAX_DEPTH, 1_000_000);
  /** Maximum number of received messages that are kept; later ones are dropped. */
  private static final int MAX_KEPT_MESSAGES = 1_000_000;

  private final Framing framing;
  private final Channel channel;
  private final BlockingQueue<String> messages = new LinkedBlockingQueue<>(MAX_KEPT_MESSAGES);
  private final CountDownLatch ended = new CountDownLatch(1);

  /** Connects; fails with an exception if that is not possible. */
  public StandInRpcClient(InetSocketAddress address, EventLoopGroup group, Framing framing)
      throws Exception {
    this.framing = framing;
    channel = new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel c) {
            c.pipeline().addLast(new FrameDecoder(framing, LIMITS, () -> true), new Reader());
          }
        })
        .connect(address)
        .sync()
        .channel();
  }

  private final class Reader extends SimpleChannelInboundHandler<Frame> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
      messages.offer(
          frame instanceof Frame.Complete whole
              ? new String(whole.bytes(), StandardCharsets.UTF_8)
              : "unreadable: " + ((Frame.Fault) frame).why());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        ended.countDown();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      ended.countDown();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  /** Sends a message in this connection's framing. */
  public StandInRpcClient send(String message) {
    channel.writeAndFlush(MessageWriter.frame(framing, message.getBytes(StandardCharsets.UTF_8)));
    return this;
  }

  /** Sends raw bytes. */
  public StandInRpcClient raw(byte[] bytes) {
    channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    return this;
  }

  /** Returns the next message, or null if none arrived in time. */
  public String next(long millis) throws InterruptedException {
    return messages.poll(millis, TimeUnit.MILLISECONDS);
  }

  /** Returns the number of received messages that {@link #next} has not yet returned. */
  public int waiting() {
    return messages.size();
  }

  /** Returns whether the other side has closed its direction of the connection within the time. */
  public boolean awaitEnd(long millis) throws InterruptedException {
    return ended.await(millis, TimeUnit.MILLISECONDS);
  }

  /** Sets whether the client reads from the connection. */
  public void reads(boolean on) {
    channel.config().setAutoRead(on);
  }

  /** Closes the sending direction; answers can still be received. */
  public void halfClose() {
    ((DuplexChannel) channel).shutdownOutput().syncUninterruptibly();
  }

  /** Resets the connection: data on the way to the client is lost. */
  public void reset() {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close().syncUninterruptibly();
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
  }
}
