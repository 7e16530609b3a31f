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
 * A load generator on real sockets for any of the protocols, with an open or a closed loop. Each request has a time at which it is due,
 * and its latency counts from then: a balancer that keeps a client waiting is charged for the requests that the client could not send
 * meanwhile (no coordinated omission; Tene 2013). Methods may be called from any thread; each connection belongs to its event loop.
 */
public final class Load {

  /** Added to a client's own deadline before its request counts as late or lost, for a machine that is busy. */
  private static final long GRACE_MILLIS = 250;

  private static final long RECONNECT_DELAY_MILLIS = 20;
  /** A connection's schedule lags by this at most: a client that waited longer does not send all that it missed at once. */
  private static final long MAX_LAG_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final InetSocketAddress balancer;
  private final EventLoopGroup group;
  private final RequestTemplate template;
  private final LoadProfile profile;
  private final String prefix;
  private final LoadResults results;
  private final AtomicLong names = new AtomicLong();
  private final List<Connection> all = new ArrayList<>();
  private volatile boolean stopped;

  /**
   * A load that is not started yet.
   *
   * @param prefix begins the names of its requests, which makes them unique among several loads
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
      all.add(new Connection(random.split()));
    }
  }

  /** A load that keeps no names. */
  public Load(
      InetSocketAddress balancer,
      EventLoopGroup group,
      RequestTemplate template,
      LoadProfile profile,
      String prefix,
      long seed) {
    this(balancer, group, template, profile, prefix, seed, false);
  }

  /** The results so far, which go on changing until the load has stopped. */
  public LoadResults results() {
    return results;
  }

  /** Requests that ended in this way so far. */
  public long count(Outcome outcome) {
    return results.count(outcome);
  }

  /** Requests sent so far. */
  public long sent() {
    return results.sent();
  }

  /** Opens all connections; each sends as soon as it is up, and reconnects when it breaks. */
  public Load start() {
    all.forEach(Connection::connect);
    return this;
  }

  /** Sends nothing more and waits until all open requests have ended, for a deadline and its grace at most. */
  public LoadResults stop() throws InterruptedException {
    stopped = true;
    long end = System.nanoTime()
        + TimeUnit.MILLISECONDS.toNanos(template.deadlineMillis() + 3 * GRACE_MILLIS);
    while (results.pending() > 0 && System.nanoTime() - end < 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    all.forEach(Connection::close);
    return results;
  }

  /** A request that is open; times are readings of {@link System#nanoTime}. */
  private record Sent(String name, long dueAt, long atNanos) {}

  /** One client: its connection, and those that replace it when it breaks. Only on its event loop. */
  private final class Connection extends SimpleChannelInboundHandler<Object> {
    private final SplittableRandom own;
    private final Map<Long, Sent> open = new LinkedHashMap<>();
    private volatile Channel channel;
    private ClientSession session;
    private Future<?> next;
    private long dueAt;
    private long lastNumber;
    private boolean abandoning;

    private Connection(SplittableRandom own) {
      this.own = own;
      dueAt = System.nanoTime() + own.nextLong(Math.max(1, profile.gapNanos()));
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
              session = template.openSession(own);
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
      ctx.executor().schedule(() -> lookForLost(ctx), GRACE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends the requests that are due, as far as there is room, and schedules the next. */
    private void sendDue(ChannelHandlerContext ctx) {
      if (next != null) {
        next.cancel(false);
        next = null;
      }
      long now = System.nanoTime();
      while (mayAsk(ctx) && dueAt - now <= 0) {
        if (profile.abandonsPerThousand() > 0
            && !open.isEmpty()
            && own.nextInt(1_000) < profile.abandonsPerThousand()) {
          abandon(ctx);
          return;
        }
        ask(ctx, profile.gapNanos() == 0 ? now : dueAt);
        dueAt = profile.gapNanos() == 0
            ? now
            : Math.max(dueAt + profile.gapNanos(), now - MAX_LAG_NANOS);
      }
      ctx.flush();
      if (mayAsk(ctx)) {
        next = ctx.executor()
            .schedule(
                () -> sendDue(ctx), Math.max(0, dueAt - System.nanoTime()), TimeUnit.NANOSECONDS);
      }
    }

    private boolean mayAsk(ChannelHandlerContext ctx) {
      return !stopped
          && ctx.channel().isActive()
          && ctx.channel() == channel
          && open.size() + profile.batch() <= profile.depth();
    }

    private void abandon(ChannelHandlerContext ctx) {
      ctx.channel().config().setOption(ChannelOption.SO_LINGER, own.nextBoolean() ? 0 : -1);
      abandoning = true;
      ctx.close();
    }

    private void ask(ChannelHandlerContext ctx, long due) {
      List<String> asked = new ArrayList<>();
      long now = System.nanoTime();
      long first = lastNumber + 1;
      for (int i = 0; i < profile.batch(); i++) {
        String name = prefix + "-" + names.incrementAndGet();
        asked.add(name);
        open.put(++lastNumber, new Sent(name, due, now));
      }
      results.sent(profile.batch());
      ctx.write(session.encode(first, asked));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
      session.decode(message).forEach(this::replied);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (ctx.channel() == channel) {
        sendDue(ctx);
      }
    }

    private void replied(ClientSession.Reply reply) {
      Sent sent = open.remove(reply.number());
      if (sent == null) {
        results.unsolicited(reply.what());
        return;
      }
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent.atNanos());
      boolean late = millis > template.deadlineMillis() + GRACE_MILLIS;
      results.ended(
          late ? Outcome.LATE : reply.how(),
          sent.name(),
          sent.dueAt(),
          late ? "after " + millis + " ms" : reply.what());
    }

    private void lookForLost(ChannelHandlerContext ctx) {
      long latest = System.nanoTime()
          - TimeUnit.MILLISECONDS.toNanos(template.deadlineMillis() + GRACE_MILLIS);
      List<Long> lost = open.entrySet().stream()
          .filter(e -> e.getValue().atNanos() - latest < 0)
          .map(Map.Entry::getKey)
          .toList();
      lost.forEach(number -> lost(open.remove(number), "no answer in time"));
      if (!lost.isEmpty() && session.inOrder()) {
        ctx.close();
      } else if (ctx.channel().isActive()) {
        sendDue(ctx);
        ctx.executor().schedule(() -> lookForLost(ctx), GRACE_MILLIS, TimeUnit.MILLISECONDS);
      }
    }

    private void lost(Sent sent, String how) {
      results.ended(Outcome.LOST, sent.name(), sent.dueAt(), how);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (abandoning) {
        results.abandoned(open.size());
      } else {
        open.values().forEach(s -> lost(s, "the connection ended"));
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
