package pumicekeel.mesh;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A TCP link from one process to one address: a port whose connections are forwarded to the target, with a {@link Fault} for each
 * direction. Bytes stay in order. While the forward direction is cut, the kernel still accepts new connections, which stay silent. A real
 * network would not let them connect, so this does not exercise connect time-outs.
 */
public final class TcpLink implements Closeable {

  /** Maximum number of chunks queued in one direction of a connection; beyond it the sender is not read. */
  private static final int MAX_QUEUED_CHUNKS = 64;

  private static final long CUT_CHECK_INTERVAL_MILLIS = 5;

  private final EventLoop loop;
  private final InetSocketAddress target;
  private final SplittableRandom random;
  private final Channel listener;
  private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
  private volatile Fault forward = Fault.NONE;
  private volatile Fault backward = Fault.NONE;
  private volatile boolean refuses;

  /** Listens on a free port. Blocks, so it must not be called on the loop. */
  public TcpLink(EventLoop loop, InetSocketAddress target, long seed) throws InterruptedException {
    this.loop = loop;
    this.target = target;
    random = new SplittableRandom(seed);
    listener = new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            accepted(channel);
          }
        })
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .sync()
        .channel();
  }

  /** Returns the address that the process uses for the target. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Sets the faults of the direction to the target and of the direction back. */
  public void faults(Fault newForward, Fault newBackward) {
    forward = newForward;
    backward = newBackward;
  }

  /** Sets whether new connections are reset at once. */
  public void refuse(boolean on) {
    refuses = on;
  }

  /** Resets all open connections. */
  public void reset() {
    loop.execute(() -> connections.forEach(TcpLink::reset));
  }

  private static void reset(Channel channel) {
    if (channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }

  private void accepted(Channel processSide) {
    if (refuses) {
      reset(processSide);
      return;
    }
    track(processSide);
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.AUTO_READ, false)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(target)
        .addListener(done -> {
          if (!done.isSuccess()) {
            reset(processSide);
            return;
          }
          Channel targetSide = ((io.netty.channel.ChannelFuture) done).channel();
          track(targetSide);
          processSide.pipeline().addLast(new Direction(targetSide, true));
          targetSide.pipeline().addLast(new Direction(processSide, false));
          processSide.read();
          targetSide.read();
        });
  }

  private void track(Channel channel) {
    connections.add(channel);
    channel.closeFuture().addListener(closed -> connections.remove(channel));
  }

  @Override
  public void close() {
    listener.close();
    reset();
  }

  /** One direction of one connection. */
  private final class Direction extends ChannelInboundHandlerAdapter {

    /** Bytes and when they are to be forwarded, by System.nanoTime; null bytes stand for the end of the sender's stream. */
    private record Chunk(ByteBuf bytes, long dueAtNanos) {}

    private final Channel to;
    private final boolean isForward;
    private final ArrayDeque<Chunk> queue = new ArrayDeque<>();
    private boolean scheduled;
    /** Whether the sender's side ended with an error, such as a reset. */
    private boolean failed;
    /** When the last queued chunk will have been transmitted, by System.nanoTime. */
    private long freeAtNanos;

    private Direction(Channel to, boolean isForward) {
      this.to = to;
      this.isForward = isForward;
    }

    private Fault fault() {
      return isForward ? forward : backward;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      enqueue((ByteBuf) message);
      if (queue.size() < MAX_QUEUED_CHUNKS) {
        ctx.read();
      }
      forwardDue(ctx);
    }

    private void enqueue(ByteBuf bytes) {
      Fault fault = fault();
      long now = System.nanoTime();
      long delayNanos = TimeUnit.MICROSECONDS.toNanos(fault.delayMicros()
          + (fault.jitterMicros() == 0 ? 0 : random.nextLong(fault.jitterMicros() + 1)));
      long transmissionNanos = bytes == null || fault.bytesPerSecond() == 0
          ? 0
          : bytes.readableBytes() * 1_000_000_000L / fault.bytesPerSecond();
      freeAtNanos = Math.max(now + delayNanos, freeAtNanos) + transmissionNanos;
      queue.add(new Chunk(bytes, freeAtNanos));
    }

    private void forwardDue(ChannelHandlerContext ctx) {
      boolean wrote = false;
      while (!queue.isEmpty()
          && !fault().cut()
          && queue.peek().dueAtNanos() - System.nanoTime() <= 0) {
        Chunk chunk = queue.poll();
        wrote = true;
        if (chunk.bytes() == null) {
          to.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER).addListener(done -> to.close());
        } else {
          to.write(chunk.bytes());
        }
      }
      if (wrote) {
        to.flush();
        ctx.read();
      }
      if (!queue.isEmpty() && !scheduled) {
        scheduled = true;
        long wait = fault().cut()
            ? TimeUnit.MILLISECONDS.toNanos(CUT_CHECK_INTERVAL_MILLIS)
            : queue.peek().dueAtNanos() - System.nanoTime();
        loop.schedule(
            () -> {
              scheduled = false;
              forwardDue(ctx);
            },
            Math.max(1, wait),
            TimeUnit.NANOSECONDS);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (failed) {
        reset(to);
        queue.forEach(chunk -> ReferenceCountUtil.release(chunk.bytes()));
        queue.clear();
      } else {
        enqueue(null);
        forwardDue(ctx);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      failed = true;
      ctx.close();
    }
  }
}
