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
import pumicekeel.runtime.FatalErrors;
import pumicekeel.runtime.Log;

/**
 * A datagram socket by which a balancer of a tier sends messages to all others. Datagrams from any other address are dropped unread. To be
 * used on the event loop only.
 */
public final class PeerBroadcast implements Closeable {

  /** Receives datagrams of the tier. */
  public interface Receiver {
    /** Handles a datagram from the balancer of this number. */
    void received(int from, byte[] bytes);
  }

  private static final int READ_BYTES = Datagram.MAX_BYTES + 1;
  private static final int MAX_READS_PER_WAKEUP = 16;
  private static final long REOPEN_DELAY_MILLIS = 1_000;

  private final EventLoop loop;
  private final PeerAddresses addresses;
  private final int self;
  private final Receiver receiver;
  private final Map<InetSocketAddress, Integer> memberByAddress = new HashMap<>();
  private Channel channel;
  private boolean failed;
  private boolean closed;
  private long strangers;

  /** Creates the unbound socket of balancer {@code self}. */
  public PeerBroadcast(EventLoop loop, PeerAddresses addresses, int self, Receiver receiver) {
    this.loop = loop;
    this.addresses = addresses;
    this.self = self;
    this.receiver = receiver;
    List<InetSocketAddress> members = addresses.members();
    for (int i = 0; i < members.size(); i++) {
      memberByAddress.put(members.get(i), i);
    }
  }

  /** Binds to this balancer's own address as soon as it is free: the previous process may still hold it. */
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
        Log.line("peers: cannot bind " + Addresses.text(addresses.own()) + ", retrying: "
            + bound.cause().getMessage());
      }
      failed = true;
      loop.schedule(this::open, REOPEN_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    } else if (closed) {
      bound.channel().close();
    } else {
      channel = bound.channel();
    }
  }

  /** Returns whether datagrams can be sent. */
  public boolean isOpen() {
    return channel != null;
  }

  private final class Reader extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      Integer from = memberByAddress.get(packet.sender());
      if (from == null) {
        strangers++;
      } else if (from != self) {
        receiver.received(from, ByteBufUtil.getBytes(packet.content()));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Else raised for an unreachable peer, which is detected by its silence; the socket stays
      // usable.
      FatalErrors.rethrowOn(ctx.executor(), cause);
    }
  }

  /** Sends each datagram once to all other balancers. */
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

  /** Returns the number of datagrams received from addresses that are not in the list. */
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
