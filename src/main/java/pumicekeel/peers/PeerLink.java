package pumicekeel.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A {@link Membership} on a datagram socket. What does not come from a listed address is dropped unread. Only on the loop. */
public final class PeerLink implements Closeable {

  /** A larger datagram is cut to this by the kernel, and so is none. */
  private static final int READ_BYTES = Datagram.MAX_BYTES + 1;

  private static final int MAX_READS_PER_WAKEUP = 16;
  private static final long MIN_TIMER_NANOS = 1_000_000L;

  private final EventLoop loop;
  private final List<InetSocketAddress> peers;
  private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
  private final Membership membership;
  private final Consumer<String> log;
  private Channel channel;
  private ScheduledFuture<?> timer;
  private int told;
  private long strangers;
  private long sentDatagrams;
  private long sentBytes;
  private boolean closed;
  private PeerService service;

  /** The member of this number; {@code epochMillis} is the wall clock's reading at the start. */
  public PeerLink(
      EventLoop loop,
      List<InetSocketAddress> peers,
      int self,
      long epochMillis,
      long seed,
      Consumer<String> log) {
    this.loop = loop;
    this.peers = List.copyOf(peers);
    this.log = log;
    for (int i = 0; i < peers.size(); i++) {
      numbers.put(peers.get(i), i);
    }
    membership = new Membership(
        MembershipSettings.DEFAULTS, self, peers.size(), epochMillis, seed, System.nanoTime());
    told = membership.live();
  }

  /** Binds to this member's own address; waits, so it is not to be called on the loop. */
  public void open(InetSocketAddress own) throws InterruptedException {
    channel = new Bootstrap()
        .group(loop)
        .channel(NioDatagramChannel.class)
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(MAX_READS_PER_WAKEUP))
        .handler(new Reader())
        .bind(own)
        .sync()
        .channel();
    loop.execute(this::next);
  }

  private final class Reader extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      Integer from = numbers.get(packet.sender());
      if (from == null) {
        strangers++;
        return;
      }
      byte[] bytes = ByteBufUtil.getBytes(packet.content());
      long now = System.nanoTime();
      send(
          service != null && service.accepts(bytes)
              ? service.receive(from, bytes, now)
              : membership.receive(from, bytes, now));
      next();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // An unreachable peer is told of by its silence; the socket goes on.
    }
  }

  private void send(List<Membership.OutgoingDatagram> out) {
    for (Membership.OutgoingDatagram o : out) {
      sentDatagrams++;
      sentBytes += o.bytes().length;
      channel.write(
          new DatagramPacket(Unpooled.wrappedBuffer(o.bytes()), peers.get(o.to())),
          channel.voidPromise());
    }
    if (!out.isEmpty()) {
      channel.flush();
    }
  }

  private void tick() {
    timer = null;
    long now = System.nanoTime();
    send(membership.tick(now));
    if (service != null) {
      send(service.tick(now, membership.liveSet()));
    }
    next();
  }

  /** One timer, for whatever is due next. */
  private void next() {
    if (closed) {
      return;
    }
    int live = membership.live();
    if (live != told) {
      told = live;
      log.accept("peers: " + live + " of " + peers.size() + " are there, " + membership.unknown()
          + " never heard of");
    }
    if (timer != null) {
      timer.cancel(false);
    }
    long due =
        service == null ? membership.nextAt() : Math.min(membership.nextAt(), service.nextAt());
    timer = loop.schedule(
        this::tick, Math.max(MIN_TIMER_NANOS, due - System.nanoTime()), TimeUnit.NANOSECONDS);
  }

  /** Has another protocol spoken on this socket too; only on the loop. */
  public void attach(PeerService other) {
    service = other;
    next();
  }

  /** What this member holds of the others, a line of JSON. */
  public String view() {
    return new PeerView(membership, peers.size(), strangers).json();
  }

  public Membership membership() {
    return membership;
  }

  /** Datagrams sent so far. Only on the loop. */
  public long sentDatagrams() {
    return sentDatagrams;
  }

  /** Bytes of all datagrams sent so far, without the network's own headers. Only on the loop. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Datagrams from addresses that are nobody's. */
  public long strangers() {
    return strangers;
  }

  @Override
  public void close() {
    closed = true;
    if (timer != null) {
      timer.cancel(false);
    }
    if (channel != null) {
      channel.close();
    }
  }
}
