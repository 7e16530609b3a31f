package pumicekeel.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import org.HdrHistogram.ConcurrentHistogram;
import pumicekeel.jsonrpc.Codes;
import pumicekeel.jsonrpc.Frame;
import pumicekeel.jsonrpc.FrameDecoder;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Id;
import pumicekeel.jsonrpc.Limits;
import pumicekeel.jsonrpc.Message;
import pumicekeel.jsonrpc.MessageReader;
import pumicekeel.jsonrpc.Writer;

/**
 * Connections of JSON-RPC clients that each keep so many calls open, and a log of what became of each. The params carry a
 * name of the call's own, which a server's echo has to bring back: an answer that is another call's is seen.
 */
public final class StandInRpcClients {

  /** How calls ended, for the client. */
  public enum End { SERVED, REFUSED, FAILED, LATE, WRONG, LOST }

  /** One kind of call; {@code leaves}: the part of connections that leave with calls open, a thousand times. */
  public record Ask(String method, String tenant, long deadlineMillis, int depth, int batch, int leaves) {}

  private static final Limits LIMITS = new Limits(4 << 20, Limits.MOST_DEPTH, 1_000);
  private static final long GRACE_MILLIS = 250;
  private static final int MOST_FAULTS = 20;

  private final InetSocketAddress balancer;
  private final EventLoopGroup group;
  private final Ask ask;
  private final String prefix;
  private final AtomicLong names = new AtomicLong();
  private final AtomicLong asked = new AtomicLong();
  private final AtomicLong left = new AtomicLong();
  private final AtomicLongArray ends = new AtomicLongArray(End.values().length);
  private final ConcurrentHistogram latency = new ConcurrentHistogram(60_000_000L, 3);
  private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
  /** Names of calls that were served, where they are wanted. */
  private final ConcurrentLinkedQueue<String> served = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<String> refused = new ConcurrentLinkedQueue<>();
  private final boolean keeps;
  private final List<One> all = new ArrayList<>();
  private volatile boolean stopped;

  public StandInRpcClients(InetSocketAddress balancer, EventLoopGroup group, Ask ask, String prefix, int connections,
      long seed, boolean keepsNames) {
    this.balancer = balancer;
    this.group = group;
    this.ask = ask;
    this.prefix = prefix;
    keeps = keepsNames;
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < connections; i++) {
      all.add(new One(random.split()));
    }
  }

  public StandInRpcClients start() {
    all.forEach(One::connect);
    return this;
  }

  /** Asks nothing more; waits until what is open has ended. */
  public void stop() throws InterruptedException {
    stopped = true;
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ask.deadlineMillis() + 2 * GRACE_MILLIS);
    while (unended() > 0 && System.nanoTime() - end < 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    all.forEach(One::close);
  }

  public long asked() {
    return asked.get();
  }

  /** Calls whose client left before their end. */
  public long left() {
    return left.get();
  }

  public long count(End end) {
    return ends.get(end.ordinal());
  }

  /** Calls that have neither an end nor were left. */
  public long unended() {
    long sum = left.get();
    for (int i = 0; i < ends.length(); i++) {
      sum += ends.get(i);
    }
    return asked.get() - sum;
  }

  public ConcurrentHistogram latency() {
    return latency;
  }

  public List<String> faults() {
    return List.copyOf(faults);
  }

  public List<String> served() {
    return List.copyOf(served);
  }

  public List<String> refused() {
    return List.copyOf(refused);
  }

  private void ended(End how, String name, long sentAt, String what) {
    ends.incrementAndGet(how.ordinal());
    if (how == End.SERVED) {
      latency.recordValue(Math.min(60_000_000L, Math.max(1, (System.nanoTime() - sentAt) / 1_000)));
      if (keeps) {
        served.add(name);
      }
    } else if (how == End.REFUSED && keeps) {
      refused.add(name);
    } else if (how.compareTo(End.LATE) >= 0 && faults.size() < MOST_FAULTS) {
      faults.add(name + " " + how + " " + what);
    }
  }

  private record Sent(String name, long atNanos) {}

  private final class One extends SimpleChannelInboundHandler<Frame> {
    private final SplittableRandom own;
    private final MessageReader reader = new MessageReader(LIMITS);
    private final Map<Id, Sent> open = new HashMap<>();
    private volatile Channel channel;
    private long lastId;
    private boolean leaving;

    private One(SplittableRandom own) {
      this.own = own;
    }

    @Override
    public boolean isSharable() {
      return true;
    }

    private void connect() {
      new Bootstrap().group(group).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
          .handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel c) {
              c.pipeline().addLast(new FrameDecoder(Framing.VALUES, LIMITS, () -> true), One.this);
            }
          }).connect(balancer).addListener(done -> {
            if (!done.isSuccess() && !stopped) {
              group.next().schedule(this::connect, 20, TimeUnit.MILLISECONDS);
            }
          });
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      lastId = 0;
      leaving = false;
      fill(ctx);
      ctx.executor().schedule(() -> overdue(ctx), GRACE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void fill(ChannelHandlerContext ctx) {
      while (!stopped && ctx.channel().isActive() && open.size() + ask.batch() <= ask.depth()) {
        if (ask.leaves() > 0 && !open.isEmpty() && own.nextInt(1_000) < ask.leaves()) {
          ctx.channel().config().setOption(ChannelOption.SO_LINGER, own.nextBoolean() ? 0 : -1);
          leaving = true;
          ctx.close();
          return;
        }
        List<byte[]> calls = new ArrayList<>();
        for (int i = 0; i < ask.batch(); i++) {
          calls.add(next());
        }
        ctx.write(Writer.frame(Framing.VALUES, ask.batch() == 1 ? calls.get(0) : Writer.array(calls)));
      }
      ctx.flush();
    }

    private byte[] next() {
      String name = prefix + "-" + names.incrementAndGet();
      Id id = Id.of(++lastId);
      open.put(id, new Sent(name, System.nanoTime()));
      asked.incrementAndGet();
      String params = "{\"n\":\"" + name + "\",\"account\":\"" + ask.tenant() + "\",\"session\":\"k"
          + own.nextInt(500) + "\",\"left\":" + ask.deadlineMillis() + "}";
      return Writer.call(id, ask.method(), params.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
      Message message = frame instanceof Frame.Whole whole ? reader.read(whole.bytes()) : null;
      if (message instanceof Message.One one) {
        answer(one.entry());
      } else if (message instanceof Message.Batch batch) {
        batch.entries().forEach(this::answer);
      } else {
        ended(End.WRONG, "?", 0, "no message");
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (ctx.channel() == channel) {
        fill(ctx);
      }
    }

    private void answer(Message.Entry entry) {
      Sent sent = entry instanceof Message.Reply reply ? open.remove(reply.id()) : null;
      if (sent == null) {
        if (faults.size() < MOST_FAULTS) {
          faults.add("an answer that nobody asked for: " + entry);
        }
        ends.incrementAndGet(End.WRONG.ordinal());
        asked.incrementAndGet();
        return;
      }
      Message.Reply reply = (Message.Reply) entry;
      long millis = (System.nanoTime() - sent.atNanos()) / 1_000_000;
      if (millis > ask.deadlineMillis() + GRACE_MILLIS) {
        ended(End.LATE, sent.name(), sent.atNanos(), "after " + millis + " ms");
      } else if (reply.result() != null) {
        boolean own = new String(reply.result(), StandardCharsets.UTF_8).contains("\"" + sent.name() + "\"");
        ended(own ? End.SERVED : End.WRONG, sent.name(), sent.atNanos(), "another's result");
      } else {
        int code = reply.code();
        ended(code == Codes.FAILED ? End.FAILED : code <= Codes.REFUSED && code >= Codes.NO_ROOM ? End.REFUSED
            : End.WRONG, sent.name(), sent.atNanos(), new String(reply.error(), StandardCharsets.UTF_8));
      }
    }

    private void overdue(ChannelHandlerContext ctx) {
      long latest = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ask.deadlineMillis() + GRACE_MILLIS);
      List<Id> lost = open.entrySet().stream().filter(e -> e.getValue().atNanos() - latest < 0).map(Map.Entry::getKey)
          .toList();
      for (Id id : lost) {
        Sent sent = open.remove(id);
        ended(End.LOST, sent.name(), sent.atNanos(), "no answer in time");
      }
      if (ctx.channel().isActive()) {
        ctx.executor().schedule(() -> overdue(ctx), GRACE_MILLIS, TimeUnit.MILLISECONDS);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (leaving || stopped) {
        left.addAndGet(open.size());
      } else {
        open.values().forEach(s -> ended(End.LOST, s.name(), s.atNanos(), "the connection ended"));
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
