package pumicekeel.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import pumicekeel.load.LoadResults.Outcome;

/**
 * A load generator on real sockets for each protocol, open or closed loop. Latency counts from the time at which a request is due, not
 * from when it was sent: time for which a slow answer keeps the client from sending the next requests counts as well, which avoids
 * coordinated omission (Tene 2013). Methods may be called from any thread; each connection is confined to its event loop.
 */
public final class Load {

  /** Time after a client's deadline until a request counts as late or lost, to allow for a busy machine. */
  private static final long GRACE_MILLIS = 250;

  private static final long RECONNECT_DELAY_MILLIS = 20;
  /** Maximum lag of a connection's schedule, so that a client that was blocked for longer does not send all missed requests at once. */
  private static final long MAX_LAG_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final InetSocketAddress balancer;
  private final EventLoopGroup group;
  private final RequestTemplate template;
  private final LoadProfile profile;
  private final String prefix;
  private final LoadResults results;
  private final AtomicLong names = new AtomicLong();
  private final List<Connection> connections = new ArrayList<>();
  private volatile boolean stopped;

  /**
   * Creates a load; {@link #start} starts it.
   *
   * @param prefix of the names of its requests, which makes them unique among several loads
   * @param keepsNames whether the names of served and refused requests are kept in the results
   */
  public Load(
      InetSocketAddress balancer,
      EventLoopGroup group,
      RequestTemplate template,
      LoadProfile profile,
      String prefix,
      long seed,
      boolean keepsNames) {
    this.balancer = balancer;
    this.group = group;
    this.template = template;
    this.profile = profile;
    this.prefix = prefix;
    results = new LoadResults(keepsNames);
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < profile.connections(); i++) {
      connections.add(new Connection(random.split()));
    }
  }

  /** Creates a load that keeps no names. */
  public Load(
      InetSocketAddress balancer,
      EventLoopGroup group,
      RequestTemplate template,
      LoadProfile profile,
      String prefix,
      long seed) {
    this(balancer, group, template, profile, prefix, seed, false);
  }

  /** Returns the results so far; they change until the load has stopped. */
  public LoadResults results() {
    return results;
  }

  /** Returns the number of requests with this outcome so far. */
  public long count(Outcome outcome) {
    return results.count(outcome);
  }

  /** Returns the number of requests sent so far. */
  public long sent() {
    return results.sent();
  }

  /** Opens all connections; each starts sending when connected, and reconnects when it breaks. */
  public Load start() {
    connections.forEach(Connection::connect);
    return this;
  }

  /** Stops sending and waits until all pending requests have ended, at most for the deadline plus three times the grace. */
  public LoadResults stop() throws InterruptedException {
    stopped = true;
    long end = System.nanoTime()
        + TimeUnit.MILLISECONDS.toNanos(template.deadlineMillis() + 3 * GRACE_MILLIS);
    while (results.pending() > 0 && System.nanoTime() - end < 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    connections.forEach(Connection::close);
    return results;
  }

  /** A pending request; times are from {@link System#nanoTime}. */
  private record PendingRequest(String name, long dueAt, long sentAtNanos) {}

  /** One client with its current connection, which is replaced when it breaks. Confined to the event loop. */
  private final class Connection extends SimpleChannelInboundHandler<Object> {
    private final SplittableRandom random;
    private final Map<Long, PendingRequest> open = new LinkedHashMap<>();
    private volatile Channel channel;
    private ClientSession session;
    private Future<?> nextSend;
    private long dueAt;
    private long lastNumber;
    private boolean abandoning;

    private Connection(SplittableRandom random) {
      this.random = random;
      dueAt = System.nanoTime() + random.nextLong(Math.max(1, profile.gapNanos()));
    }

    @Override
    public boolean isSharable() {
      return true;
    }

    private void connect() {
      new Bootstrap()
          .group(group)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true)
          .handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel c) {
              session = template.openSession(random);
              c.pipeline().addLast(session.codec(), Connection.this);
            }
          })
          .connect(balancer)
          .addListener(done -> {
            if (!done.isSuccess() && !stopped) {
              group.next().schedule(this::connect, RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
          });
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      lastNumber = 0;
      abandoning = false;
      sendDue(ctx);
      ctx.executor().schedule(() -> checkLost(ctx), GRACE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends the requests that are due, up to the maximum depth, and schedules the next. */
    private void sendDue(ChannelHandlerContext ctx) {
      if (nextSend != null) {
        nextSend.cancel(false);
        nextSend = null;
      }
      long now = System.nanoTime();
      while (maySend(ctx) && dueAt - now <= 0) {
        if (profile.abandonsPerThousand() > 0
            && !open.isEmpty()
            && random.nextInt(1_000) < profile.abandonsPerThousand()) {
          abandon(ctx);
          return;
        }
        send(ctx, profile.gapNanos() == 0 ? now : dueAt);
        dueAt = profile.gapNanos() == 0
            ? now
            : Math.max(dueAt + profile.gapNanos(), now - MAX_LAG_NANOS);
      }
      ctx.flush();
      if (maySend(ctx)) {
        nextSend = ctx.executor()
            .schedule(
                () -> sendDue(ctx), Math.max(0, dueAt - System.nanoTime()), TimeUnit.NANOSECONDS);
      }
    }

    private boolean maySend(ChannelHandlerContext ctx) {
      return !stopped
          && ctx.channel().isActive()
          && ctx.channel() == channel
          && open.size() + profile.batch() <= profile.depth();
    }

    private void abandon(ChannelHandlerContext ctx) {
      ctx.channel().config().setOption(ChannelOption.SO_LINGER, random.nextBoolean() ? 0 : -1);
      abandoning = true;
      ctx.close();
    }

    private void send(ChannelHandlerContext ctx, long dueAtNanos) {
      List<String> batchNames = new ArrayList<>();
      long now = System.nanoTime();
      long first = lastNumber + 1;
      for (int i = 0; i < profile.batch(); i++) {
        String name = prefix + "-" + names.incrementAndGet();
        batchNames.add(name);
        open.put(++lastNumber, new PendingRequest(name, dueAtNanos, now));
      }
      results.sent(profile.batch());
      ctx.write(session.encode(first, batchNames));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
      session.decode(message).forEach(this::onReply);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (ctx.channel() == channel) {
        sendDue(ctx);
      }
    }

    private void onReply(ClientSession.Reply reply) {
      PendingRequest request = open.remove(reply.number());
      if (request == null) {
        results.unsolicited(reply.description());
        return;
      }
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - request.sentAtNanos());
      boolean late = millis > template.deadlineMillis() + GRACE_MILLIS;
      results.ended(
          late ? Outcome.LATE : reply.outcome(),
          request.name(),
          request.dueAt(),
          late ? "after " + millis + " ms" : reply.description());
    }

    /** Ends requests whose deadline and grace have passed, at regular intervals while the connection is open. */
    private void checkLost(ChannelHandlerContext ctx) {
      long latestSent = System.nanoTime()
          - TimeUnit.MILLISECONDS.toNanos(template.deadlineMillis() + GRACE_MILLIS);
      List<Long> lostNumbers = open.entrySet().stream()
          .filter(e -> e.getValue().sentAtNanos() - latestSent < 0)
          .map(Map.Entry::getKey)
          .toList();
      lostNumbers.forEach(number -> lost(open.remove(number), "no answer within the deadline"));
      if (!lostNumbers.isEmpty() && session.repliesInOrder()) {
        ctx.close();
      } else if (ctx.channel().isActive()) {
        sendDue(ctx);
        ctx.executor().schedule(() -> checkLost(ctx), GRACE_MILLIS, TimeUnit.MILLISECONDS);
      }
    }

    private void lost(PendingRequest request, String reason) {
      results.ended(Outcome.LOST, request.name(), request.dueAt(), reason);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (abandoning) {
        results.abandoned(open.size());
      } else {
        open.values().forEach(request -> lost(request, "connection closed"));
      }
      open.clear();
      if (!stopped && ctx.channel() == channel) {
        connect();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    private void close() {
      if (channel != null) {
        channel.close();
      }
    }
  }
}
