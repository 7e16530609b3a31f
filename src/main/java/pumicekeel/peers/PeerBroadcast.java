package pumicekeel.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pumicekeel.runtime.Addresses;
import pumicekeel.runtime.Log;

/**
 * A datagram socket on which balancers of a tier tell all others something. What does not come from the address of one of them is dropped
 * unread. Only on the loop.
 */
public final class PeerBroadcast implements Closeable {

  /** Told of a datagram. */
  public interface Receiver {
    /** One came from the balancer of this number. */
    void received(int from, byte[] bytes);
  }

  private static final int READ_BYTES = Datagram.MAX_BYTES + 1;
  private static final int MAX_READS_PER_WAKEUP = 16;
  private static final long OPEN_AGAIN_MILLIS = 1_000;

  private final EventLoop loop;
  private final PeerAddresses addresses;
  private final int self;
  private final Receiver receiver;
  private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
  private Channel channel;
  private boolean failed;
  private boolean closed;
  private long strangers;

  /** The balancer of this number's; not bound yet. */
  public PeerBroadcast(EventLoop loop, PeerAddresses addresses, int self, Receiver receiver) {
    this.loop = loop;
    this.addresses = addresses;
    this.self = self;
    this.receiver = receiver;
    List<InetSocketAddress> members = addresses.members();
    for (int i = 0; i < members.size(); i++) {
      numbers.put(members.get(i), i);
    }
  }

  /** Binds to this balancer's own address, as soon as that is free: a process before this one may still hold it. */
  public void open() {
    if (closed) {
      return;
    }
    new Bootstrap()
        .group(loop)
        .channel(NioDatagramChannel.class)
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(MAX_READS_PER_WAKEUP))
        .handler(new Reader())
        .bind(addresses.own())
        .addListener((ChannelFuture bound) -> bound(bound));
  }

  private void bound(ChannelFuture bound) {
    if (!bound.isSuccess()) {
      if (!failed) {
        Log.line("peers: no socket at " + Addresses.text(addresses.own()) + " for now: "
            + bound.cause().getMessage());
      }
      failed = true;
      loop.schedule(this::open, OPEN_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
    } else if (closed) {
      bound.channel().close();
    } else {
      channel = bound.channel();
    }
  }

  /** Whether datagrams can be sent. */
  public boolean isOpen() {
    return channel != null;
  }

  private final class Reader extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      Integer from = numbers.get(packet.sender());
      if (from == null) {
        strangers++;
      } else if (from != self) {
        receiver.received(from, ByteBufUtil.getBytes(packet.content()));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // An unreachable peer is told of by its silence; the socket goes on.
    }
  }

  /** Sends these to all others, once each. */
  public void send(List<byte[]> datagrams) {
    if (channel == null) {
      return;
    }
    for (byte[] bytes : datagrams) {
      if (addresses.broadcast() != null) {
        write(bytes, addresses.broadcast());
        continue;
      }
      List<InetSocketAddress> members = addresses.members();
      for (int i = 0; i < members.size(); i++) {
        if (i != self) {
          write(bytes, members.get(i));
        }
      }
    }
    if (!datagrams.isEmpty()) {
      channel.flush();
    }
  }

  private void write(byte[] bytes, InetSocketAddress to) {
    channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to), channel.voidPromise());
  }

  /** Datagrams from addresses that are nobody's. */
  public long strangers() {
    return strangers;
  }

  @Override
  public void close() {
    closed = true;
    if (channel != null) {
      channel.close();
    }
  }
}
