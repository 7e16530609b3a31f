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
 * Datagram links between members, one for each ordered pair. Each member knows every other member by an address that only it uses; what it
 * sends there is forwarded from the address by which the receiver knows the sender. So faults can be injected into each direction of each
 * pair separately.
 */
public final class DatagramMesh implements Closeable {

  /** Maximum number of members: 32 need 992 sockets, one for each ordered pair, within the usual limit on descriptors. */
  public static final int MAX_MEMBERS = 32;

  private final EventLoop loop;
  private final SplittableRandom random;
  private final InetSocketAddress[] memberAddresses;
  private final Channel[][] links;
  private final Fault[][] faults;
  private long delivered;

  /** Opens all sockets. Blocks, so it must not be called on the loop. */
  public DatagramMesh(EventLoop loop, int members, long seed)
      throws IOException, InterruptedException {
    if (members < 1 || members > MAX_MEMBERS) {
      throw new IllegalArgumentException(
          "expected 1 to " + MAX_MEMBERS + " members, got " + members);
    }
    this.loop = loop;
    random = new SplittableRandom(seed);
    memberAddresses = freePorts(members);
    links = new Channel[members][members];
    faults = new Fault[members][members];
    for (int a = 0; a < members; a++) {
      for (int b = 0; b < members; b++) {
        faults[a][b] = Fault.NONE;
        if (a != b) {
          links[a][b] = open(a, b);
        }
      }
    }
  }

  private static InetSocketAddress[] freePorts(int count) throws IOException {
    List<DatagramSocket> reserved = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        reserved.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
      }
      return reserved.stream()
          .map(s -> (InetSocketAddress) s.getLocalSocketAddress())
          .toArray(InetSocketAddress[]::new);
    } finally {
      reserved.forEach(DatagramSocket::close);
    }
  }

  private Channel open(int from, int to) throws InterruptedException {
    return new Bootstrap()
        .group(loop)
        .channel(NioDatagramChannel.class)
        .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
          @Override
          protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (packet.sender().equals(memberAddresses[from])) {
              forward(from, to, packet.content());
            }
          }

          @Override
          public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Nothing listens at the target: the datagram is lost, as on a real network.
          }
        })
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .sync()
        .channel();
  }

  private void forward(int from, int to, ByteBuf bytes) {
    Fault fault = faults[from][to];
    if (fault.cut() || random.nextDouble() < fault.loss()) {
      return;
    }
    for (int copies = random.nextDouble() < fault.duplicates() ? 2 : 1; copies > 0; copies--) {
      ByteBuf copy = bytes.copy();
      long delayMicros = fault.delayMicros()
          + (fault.jitterMicros() == 0 ? 0 : random.nextLong(fault.jitterMicros() + 1));
      Runnable send = () -> {
        delivered++;
        links[to][from].writeAndFlush(new DatagramPacket(copy, memberAddresses[to]));
      };
      if (delayMicros == 0) {
        send.run();
      } else {
        loop.schedule(send, delayMicros, TimeUnit.MICROSECONDS);
      }
    }
  }

  /** Returns the addresses by which a member knows all members, its own included. */
  public List<InetSocketAddress> addressesFor(int member) {
    List<InetSocketAddress> all = new ArrayList<>();
    for (int b = 0; b < memberAddresses.length; b++) {
      all.add(
          b == member ? memberAddresses[b] : (InetSocketAddress) links[member][b].localAddress());
    }
    return all;
  }

  /** Sets the fault of the link from one member to another. */
  public void fault(int from, int to, Fault fault) {
    loop.submit(() -> faults[from][to] = fault).syncUninterruptibly();
  }

  /** Returns the number of datagrams delivered. */
  public long delivered() {
    return loop.submit(() -> delivered).syncUninterruptibly().getNow();
  }

  @Override
  public void close() {
    for (Channel[] row : links) {
      for (Channel channel : row) {
        if (channel != null) {
          channel.close();
        }
      }
    }
  }
}
