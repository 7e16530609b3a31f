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
import pumicekeel.load.Account.End;

/**
 * Load on real sockets, in any of the protocols, by rate or as fast as answers come. What is asked has a time at which it is due, and its
 * latency counts from then: a balancer that keeps a client waiting is charged for what that client could not ask meanwhile (no coordinated
 * omission; Tene 2013).
 */
public final class Load {

  /** On top of a client's own patience, for a machine that is busy. */
  private static final long GRACE_MILLIS = 250;

  private static final long AGAIN_MILLIS = 20;
  /** Behind by so much at most: a client that was kept longer does not ask all that it missed at once. */
  private static final long MOST_BEHIND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final InetSocketAddress balancer;
  private final EventLoopGroup group;
  private final Ask ask;
  private final Shape shape;
  private final String prefix;
  private final Account account;
  private final AtomicLong names = new AtomicLong();
  private final List<One> all = new ArrayList<>();
  private volatile boolean stopped;

  /** {@code prefix} makes names theirs; names of what was served and refused are kept where that is wanted. */
  public Load(
      InetSocketAddress balancer,
      EventLoopGroup group,
      Ask ask,
      Shape shape,
      String prefix,
      long seed,
      boolean keepsNames) {
    this.balancer = balancer;
    this.group = group;
    this.ask = ask;
    this.shape = shape;
    this.prefix = prefix;
    account = new Account(keepsNames);
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < shape.connections(); i++) {
      all.add(new One(random.split()));
    }
  }

  /** One whose names nobody wants. */
  public Load(
      InetSocketAddress balancer,
      EventLoopGroup group,
      Ask ask,
      Shape shape,
      String prefix,
      long seed) {
    this(balancer, group, ask, shape, prefix, seed, false);
  }

  public Account account() {
    return account;
  }

  /** As the account has them by now. */
  public long count(End end) {
    return account.count(end);
  }

  /** As the account has them by now. */
  public long asked() {
    return account.asked();
  }

  public Load start() {
    all.forEach(One::connect);
    return this;
  }

  /** Asks nothing more; waits until what is open has ended, for the longest patience at most. */
  public Account stop() throws InterruptedException {
    stopped = true;
    long end =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ask.deadlineMillis() + 3 * GRACE_MILLIS);
    while (account.unended() > 0 && System.nanoTime() - end < 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    all.forEach(One::close);
    return account;
  }

  private record Sent(String name, long dueAt, long atNanos) {}

  /** One connection, and those that come after it. Only on its loop. */
  private final class One extends SimpleChannelInboundHandler<Object> {
    private final SplittableRandom own;
    private final Map<Long, Sent> open = new LinkedHashMap<>();
    private volatile Channel channel;
    private Speech speech;
    private Future<?> next;
    private long dueAt;
    private long lastNumber;
    private boolean leaving;

    private One(SplittableRandom own) {
      this.own = own;
      dueAt = System.nanoTime() + own.nextLong(Math.max(1, shape.gapNanos()));
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
              speech = ask.on(own);
              c.pipeline().addLast(speech.codec(), One.this);
            }
          })
          .connect(balancer)
          .addListener(done -> {
            if (!done.isSuccess() && !stopped) {
              group.next().schedule(this::connect, AGAIN_MILLIS, TimeUnit.MILLISECONDS);
            }
          });
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      lastNumber = 0;
      leaving = false;
      go(ctx);
      ctx.executor().schedule(() -> lookForLost(ctx), GRACE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Asks what is due, as far as there is room, and comes back for the next. */
    private void go(ChannelHandlerContext ctx) {
      if (next != null) {
        next.cancel(false);
        next = null;
      }
      long now = System.nanoTime();
      while (mayAsk(ctx) && dueAt - now <= 0) {
        if (shape.leaves() > 0 && !open.isEmpty() && own.nextInt(1_000) < shape.leaves()) {
          leave(ctx);
          return;
        }
        ask(ctx, shape.gapNanos() == 0 ? now : dueAt);
        dueAt = shape.gapNanos() == 0
            ? now
            : Math.max(dueAt + shape.gapNanos(), now - MOST_BEHIND_NANOS);
      }
      ctx.flush();
      if (mayAsk(ctx)) {
        next = ctx.executor()
            .schedule(() -> go(ctx), Math.max(0, dueAt - System.nanoTime()), TimeUnit.NANOSECONDS);
      }
    }

    private boolean mayAsk(ChannelHandlerContext ctx) {
      return !stopped
          && ctx.channel().isActive()
          && ctx.channel() == channel
          && open.size() + shape.batch() <= shape.depth();
    }

    private void leave(ChannelHandlerContext ctx) {
      ctx.channel().config().setOption(ChannelOption.SO_LINGER, own.nextBoolean() ? 0 : -1);
      leaving = true;
      ctx.close();
    }

    private void ask(ChannelHandlerContext ctx, long due) {
      List<String> asked = new ArrayList<>();
      long now = System.nanoTime();
      long first = lastNumber + 1;
      for (int i = 0; i < shape.batch(); i++) {
        String name = prefix + "-" + names.incrementAndGet();
        asked.add(name);
        open.put(++lastNumber, new Sent(name, due, now));
      }
      account.asked(shape.batch());
      ctx.write(speech.ask(first, asked));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
      speech.read(message).forEach(this::told);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (ctx.channel() == channel) {
        go(ctx);
      }
    }

    private void told(Speech.Told told) {
      Sent sent = open.remove(told.number());
      if (sent == null) {
        account.unasked(told.what());
        return;
      }
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent.atNanos());
      boolean late = millis > ask.deadlineMillis() + GRACE_MILLIS;
      account.ended(
          late ? End.LATE : told.how(),
          sent.name(),
          sent.dueAt(),
          late ? "after " + millis + " ms" : told.what());
    }

    private void lookForLost(ChannelHandlerContext ctx) {
      long latest =
          System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ask.deadlineMillis() + GRACE_MILLIS);
      List<Long> lost = open.entrySet().stream()
          .filter(e -> e.getValue().atNanos() - latest < 0)
          .map(Map.Entry::getKey)
          .toList();
      lost.forEach(number -> lost(open.remove(number), "no answer in time"));
      if (!lost.isEmpty() && speech.inOrder()) {
        ctx.close();
      } else if (ctx.channel().isActive()) {
        go(ctx);
        ctx.executor().schedule(() -> lookForLost(ctx), GRACE_MILLIS, TimeUnit.MILLISECONDS);
      }
    }

    private void lost(Sent sent, String how) {
      account.ended(End.LOST, sent.name(), sent.dueAt(), how);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (leaving) {
        account.left(open.size());
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
