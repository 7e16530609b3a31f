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
 * The way from one process to one address: a port of its own, whose connections go on to the target, each direction under a
 * {@link Fault}. Bytes stay in order. While the way there is cut a new connection is accepted by the kernel and stays silent; a real
 * network would not let it come up, so a caller's limit on connecting is not tried by this.
 */
public final class TcpLink implements Closeable {

  /** Held back in one direction of one connection; then its sender is not read any more. */
  private static final int MOST_HELD = 64;

  private static final long CUT_LOOK_MILLIS = 5;

  private final EventLoop loop;
  private final InetSocketAddress target;
  private final SplittableRandom random;
  private final Channel listener;
  private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
  private volatile Fault there = Fault.NONE;
  private volatile Fault back = Fault.NONE;
  private volatile boolean refuses;

  /** Listens on a free port; waits, so it is not to be called on the loop. */
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

  /** Where the process is told that the target is. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** What becomes of what the process sends from now on, and of what it is answered. */
  public void faults(Fault onTheWayThere, Fault onTheWayBack) {
    there = onTheWayThere;
    back = onTheWayBack;
  }

  /** Whether new connections are reset at once. */
  public void refuse(boolean on) {
    refuses = on;
  }

  /** Resets every connection that is open now. */
  public void reset() {
    loop.execute(() -> connections.forEach(TcpLink::reset));
  }

  private static void reset(Channel channel) {
    if (channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }

  private void accepted(Channel near) {
    if (refuses) {
      reset(near);
      return;
    }
    track(near);
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.AUTO_READ, false)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(target)
        .addListener(done -> {
          if (!done.isSuccess()) {
            reset(near);
            return;
          }
          Channel far = ((io.netty.channel.ChannelFuture) done).channel();
          track(far);
          near.pipeline().addLast(new Direction(far, true));
          far.pipeline().addLast(new Direction(near, false));
          near.read();
          far.read();
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

    /** A piece and when it may go on; a null is the sender's end. */
    private record Piece(ByteBuf bytes, long at) {}

    private final Channel to;
    private final boolean isThere;
    private final ArrayDeque<Piece> held = new ArrayDeque<>();
    private boolean waits;
    private boolean broken;
    private long freeAt;

    private Direction(Channel to, boolean isThere) {
      this.to = to;
      this.isThere = isThere;
    }

    private Fault fault() {
      return isThere ? there : back;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      hold((ByteBuf) message);
      if (held.size() < MOST_HELD) {
        ctx.read();
      }
      goOn(ctx);
    }

    private void hold(ByteBuf bytes) {
      Fault f = fault();
      long now = System.nanoTime();
      long late = TimeUnit.MICROSECONDS.toNanos(
          f.delayMicros() + (f.jitterMicros() == 0 ? 0 : random.nextLong(f.jitterMicros() + 1)));
      long sending = bytes == null || f.bytesPerSecond() == 0
          ? 0
          : bytes.readableBytes() * 1_000_000_000L / f.bytesPerSecond();
      freeAt = Math.max(now + late, freeAt) + sending;
      held.add(new Piece(bytes, freeAt));
    }

    private void goOn(ChannelHandlerContext ctx) {
      boolean wrote = false;
      while (!held.isEmpty() && !fault().cut() && held.peek().at() - System.nanoTime() <= 0) {
        Piece piece = held.poll();
        wrote = true;
        if (piece.bytes() == null) {
          to.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER).addListener(done -> to.close());
        } else {
          to.write(piece.bytes());
        }
      }
      if (wrote) {
        to.flush();
        ctx.read();
      }
      if (!held.isEmpty() && !waits) {
        waits = true;
        long wait = fault().cut()
            ? TimeUnit.MILLISECONDS.toNanos(CUT_LOOK_MILLIS)
            : held.peek().at() - System.nanoTime();
        loop.schedule(
            () -> {
              waits = false;
              goOn(ctx);
            },
            Math.max(1, wait),
            TimeUnit.NANOSECONDS);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (broken) {
        reset(to);
        held.forEach(p -> ReferenceCountUtil.release(p.bytes()));
        held.clear();
      } else {
        hold(null);
        goOn(ctx);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      broken = true;
      ctx.close();
    }
  }
}
