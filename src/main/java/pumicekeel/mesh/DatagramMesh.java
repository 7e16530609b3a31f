package pumicekeel.mesh;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Datagrams between members, each ordered pair by a way of its own: a member knows each other one by an address that nobody else
 * knows it by, and what it sends there comes out of the address by which the other one knows the sender. So either way of any pair
 * can be broken alone.
 */
public final class DatagramMesh implements Closeable {

  /** A socket for each ordered pair: 32 members have 992, within an ordinary limit on descriptors. */
  public static final int MOST_MEMBERS = 32;

  private final EventLoop loop;
  private final SplittableRandom random;
  private final InetSocketAddress[] own;
  private final Channel[][] seenBy;
  private final Fault[][] faults;
  private long delivered;

  /** Opens all sockets; waits, so it is not to be called on the loop. */
  public DatagramMesh(EventLoop loop, int members, long seed)
      throws IOException, InterruptedException {
    if (members < 1 || members > MOST_MEMBERS) {
      throw new IllegalArgumentException(
          "expected 1 to " + MOST_MEMBERS + " members, got " + members);
    }
    this.loop = loop;
    random = new SplittableRandom(seed);
    own = freePorts(members);
    seenBy = new Channel[members][members];
    faults = new Fault[members][members];
    for (int a = 0; a < members; a++) {
      for (int b = 0; b < members; b++) {
        faults[a][b] = Fault.NONE;
        if (a != b) {
          seenBy[a][b] = open(a, b);
        }
      }
    }
  }

  private static InetSocketAddress[] freePorts(int count) throws IOException {
    List<DatagramSocket> held = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        held.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
      }
      return held.stream()
          .map(s -> (InetSocketAddress) s.getLocalSocketAddress())
          .toArray(InetSocketAddress[]::new);
    } finally {
      held.forEach(DatagramSocket::close);
    }
  }

  private Channel open(int a, int b) throws InterruptedException {
    return new Bootstrap()
        .group(loop)
        .channel(NioDatagramChannel.class)
        .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
          @Override
          protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (packet.sender().equals(own[a])) {
              pass(a, b, packet.content());
            }
          }

          @Override
          public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Nobody listens there now: the datagram is lost, as it would be.
          }
        })
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .sync()
        .channel();
  }

  private void pass(int a, int b, ByteBuf bytes) {
    Fault f = faults[a][b];
    if (f.cut() || random.nextDouble() < f.loss()) {
      return;
    }
    for (int copies = random.nextDouble() < f.repeats() ? 2 : 1; copies > 0; copies--) {
      ByteBuf copy = bytes.copy();
      long late =
          f.delayMicros() + (f.jitterMicros() == 0 ? 0 : random.nextLong(f.jitterMicros() + 1));
      Runnable send = () -> {
        delivered++;
        seenBy[b][a].writeAndFlush(new DatagramPacket(copy, own[b]));
      };
      if (late == 0) {
        send.run();
      } else {
        loop.schedule(send, late, TimeUnit.MICROSECONDS);
      }
    }
  }

  /** The addresses by which a member knows all, its own among them. */
  public List<InetSocketAddress> addressesFor(int member) {
    List<InetSocketAddress> all = new ArrayList<>();
    for (int b = 0; b < own.length; b++) {
      all.add(b == member ? own[b] : (InetSocketAddress) seenBy[member][b].localAddress());
    }
    return all;
  }

  /** What becomes of what one member sends to another from now on. */
  public void fault(int from, int to, Fault fault) {
    loop.submit(() -> faults[from][to] = fault).syncUninterruptibly();
  }

  /** Datagrams that went through. */
  public long delivered() {
    return loop.submit(() -> delivered).syncUninterruptibly().getNow();
  }

  @Override
  public void close() {
    for (Channel[] row : seenBy) {
      for (Channel channel : row) {
        if (channel != null) {
          channel.close();
        }
      }
    }
  }
}
