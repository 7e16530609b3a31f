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
import pumicekeel.runtime.FatalErrors;

/** Runs a {@link Membership} on a datagram socket. Datagrams from unlisted addresses are dropped unread. To be used on the loop only. */
public final class PeerLink implements Closeable {

  /** The kernel truncates larger datagrams to this size, which makes them invalid. */
  private static final int READ_BYTES = Datagram.MAX_BYTES + 1;

  private static final int MAX_READS_PER_WAKEUP = 16;
  private static final long MIN_TIMER_NANOS = 1_000_000L;

  private final EventLoop loop;
  private final List<InetSocketAddress> peers;
  private final Map<InetSocketAddress, Integer> memberByAddress = new HashMap<>();
  private final Membership membership;
  private final Consumer<String> log;
  private Channel channel;
  private ScheduledFuture<?> timer;
  private int loggedLive;
  private long strangers;
  private long sentDatagrams;
  private long sentBytes;
  private boolean closed;
  private PeerService service;

  /** Creates the link of member {@code self}; {@code epochMillis} is the wall-clock time at start-up. */
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
      memberByAddress.put(peers.get(i), i);
    }
    membership = new Membership(
        MembershipSettings.DEFAULTS, self, peers.size(), epochMillis, seed, System.nanoTime());
    loggedLive = membership.live();
  }

  /** Binds to this member's own address. Blocks, so it must not be called on the loop. */
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
    loop.execute(this::scheduleNextTick);
  }

  private final class Reader extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      Integer from = memberByAddress.get(packet.sender());
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
      scheduleNextTick();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Else raised for an unreachable peer, which is detected by its silence; the socket stays
      // usable.
      FatalErrors.rethrowOn(ctx.executor(), cause);
    }
  }

  private void send(List<Membership.OutgoingDatagram> datagrams) {
    for (Membership.OutgoingDatagram datagram : datagrams) {
      sentDatagrams++;
      sentBytes += datagram.bytes().length;
      channel.write(
          new DatagramPacket(Unpooled.wrappedBuffer(datagram.bytes()), peers.get(datagram.to())),
          channel.voidPromise());
    }
    if (!datagrams.isEmpty()) {
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
    scheduleNextTick();
  }

  /** Logs a change of the number of live members and schedules the only timer for the next deadline. */
  private void scheduleNextTick() {
    if (closed) {
      return;
    }
    int live = membership.live();
    if (live != loggedLive) {
      loggedLive = live;
      log.accept("peers: " + live + " of " + peers.size() + " live, " + membership.unknown()
          + " never seen");
    }
    if (timer != null) {
      timer.cancel(false);
    }
    long due =
        service == null ? membership.nextAt() : Math.min(membership.nextAt(), service.nextAt());
    timer = loop.schedule(
        this::tick, Math.max(MIN_TIMER_NANOS, due - System.nanoTime()), TimeUnit.NANOSECONDS);
  }

  /** Carries another protocol on this socket too, or none if null. */
  public void attach(PeerService newService) {
    service = newService;
    scheduleNextTick();
  }

  /** Returns this member's view of the others as a line of JSON. */
  public String view() {
    return new PeerView(membership, peers.size(), strangers).json();
  }

  public Membership membership() {
    return membership;
  }

  /** Returns the number of datagrams sent so far. */
  public long sentDatagrams() {
    return sentDatagrams;
  }

  /** Returns the bytes of all datagrams sent so far, without network headers. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Returns the number of datagrams received from addresses that are not in the list. */
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
