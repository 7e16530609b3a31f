package pumicekeel.lab.real;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import pumicekeel.Balancer.Effect;
import pumicekeel.lab.world.Traffic;
import pumicekeel.lab.world.Traffic.Arrival;

/**
 * Clients of one balancer on sockets, an open loop: each request has its time, taken from the moment at which it was due, whether a
 * connection was at hand or not, so a balancer that is late can't thin out the load that measures it (no coordinated omission). One
 * request at a time on a connection, connections are kept, more are opened when all are busy. Only on the world's loop.
 */
final class Asker {

  private static final int MOST_BODY = 1 << 16;
  private static final long LONGEST_MICROS = 60_000_000L;

  private final EventLoop loop;
  private final InetSocketAddress balancer;
  private final ArrayDeque<Channel> idle = new ArrayDeque<>();
  private final Histogram latency = new Histogram(LONGEST_MICROS, 3);
  private long asked;
  private long served;
  private long refused;
  private long other;
  private long unanswered;
  private long wrong;
  private double worthAsked;
  private double worthEarned;

  Asker(EventLoop loop, InetSocketAddress balancer) {
    this.loop = loop;
    this.balancer = balancer;
  }

  /** What became of the requests. */
  record Account(
      long asked,
      long served,
      long refused,
      long other,
      long unanswered,
      long wrong,
      double worthAsked,
      double worthEarned,
      Histogram latency) {}

  Account account() {
    return new Account(
        asked, served, refused, other, unanswered, wrong, worthAsked, worthEarned, latency);
  }

  /** Asks now. */
  void ask(Arrival ask) {
    asked++;
    worthAsked += ask.kind().requestClass().worth() * ask.work();
    Call call = new Call(ask, System.nanoTime());
    call.late = loop.schedule(call::giveUp, ask.timeoutNanos(), TimeUnit.NANOSECONDS);
    go(call);
  }

  private void go(Call call) {
    Channel kept = idle.poll();
    while (kept != null && !kept.isActive()) {
      kept = idle.poll();
    }
    if (kept != null) {
      call.send(kept);
      return;
    }
    ChannelFuture opens = new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_BODY), new Reader());
          }
        })
        .connect(balancer);
    opens.addListener(done -> {
      if (done.isSuccess()) {
        call.send(opens.channel());
      } else {
        call.end();
        other++;
      }
    });
  }

  /** One request. */
  private final class Call {
    private final Arrival ask;
    private final long dueAt;
    private ScheduledFuture<?> late;
    private Channel on;
    private boolean over;
    private boolean again;

    private Call(Arrival ask, long dueAt) {
      this.ask = ask;
      this.dueAt = dueAt;
    }

    private void send(Channel channel) {
      if (over) {
        idle.add(channel);
        return;
      }
      on = channel;
      channel.pipeline().get(Reader.class).call = this;
      boolean keyed = ask.kind().requestClass().effect() == Effect.KEYED;
      String name = ask.kind().requestClass().name();
      byte[] body = keyed ? ("q" + ask.number()).getBytes(StandardCharsets.US_ASCII) : new byte[0];
      var request = new DefaultFullHttpRequest(
          HttpVersion.HTTP_1_1,
          keyed ? HttpMethod.POST : HttpMethod.GET,
          "/" + name + "/1",
          Unpooled.wrappedBuffer(body));
      request
          .headers()
          .set(HttpHeaderNames.HOST, "lab")
          .set("X-Correlation-Id", "q" + ask.number())
          .set("X-Service-Class", name)
          .set("X-Account", Traffic.TENANTS.get(ask.tenant()))
          .set("X-Time-Left-Ms", ask.timeoutNanos() / 1_000_000)
          .set("X-Weight-Hint", ask.hintNanos() / 1_000);
      if (ask.sessionKey() != null) {
        request.headers().set("X-Session-Key", ask.sessionKey());
      }
      if (keyed) {
        request
            .headers()
            .set("Idempotency-Key", "q" + ask.number())
            .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
      }
      channel.writeAndFlush(request);
    }

    private boolean end() {
      if (over) {
        return false;
      }
      over = true;
      late.cancel(false);
      return true;
    }

    private void giveUp() {
      if (end()) {
        unanswered++;
        if (on != null) {
          on.pipeline().get(Reader.class).call = null;
          on.close();
        }
      }
    }

    private void answered(FullHttpResponse answer) {
      if (!end()) {
        return;
      }
      int status = answer.status().code();
      if (status == 200) {
        long took = System.nanoTime() - dueAt;
        served++;
        wrong +=
            answer.content().toString(StandardCharsets.US_ASCII).equals("q" + ask.number()) ? 0 : 1;
        latency.recordValue(Math.min(LONGEST_MICROS, took / 1_000));
        worthEarned += took <= ask.kind().requestClass().aimNanos()
            ? ask.kind().requestClass().worth() * ask.work()
            : 0;
      } else if (status == 429 || status == 503) {
        refused++;
      } else {
        other++;
      }
    }

    /** Closed under it: a request that crossed a close is sent once more, on a new connection (PROTOCOL). */
    private void closed() {
      if (over) {
        return;
      }
      if (again) {
        end();
        other++;
        return;
      }
      again = true;
      on = null;
      go(this);
    }
  }

  private final class Reader extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Call call;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      Call of = call;
      call = null;
      if (of != null) {
        of.answered(answer);
      }
      if (HttpUtil.isKeepAlive(answer) && of != null) {
        idle.add(ctx.channel());
      } else {
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      idle.remove(ctx.channel());
      if (call != null) {
        Call of = call;
        call = null;
        of.closed();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
