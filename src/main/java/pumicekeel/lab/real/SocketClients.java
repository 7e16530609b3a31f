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
 * The clients of one balancer on sockets, as an open loop: the latency of a request counts from when it was due, even if no connection
 * was available then, so a slow balancer cannot reduce the load that measures it (no coordinated omission). Connections are kept and
 * carry one request at a time; another one is opened if all are busy. For use on the world's event loop only.
 */
final class SocketClients {

  private static final int MAX_BODY_BYTES = 1 << 16;
  private static final long MAX_LATENCY_MICROS = 60_000_000L;

  private final EventLoop loop;
  private final InetSocketAddress balancer;
  private final ArrayDeque<Channel> idle = new ArrayDeque<>();
  private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 3);
  private long requests;
  private long served;
  private long refused;
  private long failed;
  private long timedOut;
  private long mismatched;
  private double worthOffered;
  private double worthEarned;

  SocketClients(EventLoop loop, InetSocketAddress balancer) {
    this.loop = loop;
    this.balancer = balancer;
  }

  /**
   * The counts of requests by their result, and their worth and latency.
   *
   * @param failed requests that ended in another status or without a connection
   * @param timedOut requests without an answer within the client's timeout
   * @param mismatched answers whose body belongs to another request; they count as served too
   */
  record Totals(
      long requests,
      long served,
      long refused,
      long failed,
      long timedOut,
      long mismatched,
      double worthOffered,
      double worthEarned,
      Histogram latency) {}

  Totals totals() {
    return new Totals(
        requests,
        served,
        refused,
        failed,
        timedOut,
        mismatched,
        worthOffered,
        worthEarned,
        latency);
  }

  /** Sends a request now. */
  void submit(Arrival arrival) {
    requests++;
    worthOffered += arrival.kind().requestClass().worth() * arrival.work();
    Call call = new Call(arrival, System.nanoTime());
    call.timeout = loop.schedule(call::timeOut, arrival.timeoutNanos(), TimeUnit.NANOSECONDS);
    dispatch(call);
  }

  private void dispatch(Call call) {
    Channel idleConnection = idle.poll();
    while (idleConnection != null && !idleConnection.isActive()) {
      idleConnection = idle.poll();
    }
    if (idleConnection != null) {
      call.send(idleConnection);
      return;
    }
    ChannelFuture connecting = new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(
                    new HttpClientCodec(),
                    new HttpObjectAggregator(MAX_BODY_BYTES),
                    new ResponseHandler());
          }
        })
        .connect(balancer);
    connecting.addListener(result -> {
      if (result.isSuccess()) {
        call.send(connecting.channel());
      } else {
        call.end();
        failed++;
      }
    });
  }

  /** One request. */
  private final class Call {
    private final Arrival arrival;
    private final long dueAt;
    private ScheduledFuture<?> timeout;
    private Channel connection;
    private boolean ended;
    private boolean resent;

    private Call(Arrival arrival, long dueAt) {
      this.arrival = arrival;
      this.dueAt = dueAt;
    }

    private void send(Channel channel) {
      if (ended) {
        idle.add(channel);
        return;
      }
      connection = channel;
      channel.pipeline().get(ResponseHandler.class).call = this;
      boolean keyed = arrival.kind().requestClass().effect() == Effect.KEYED;
      String name = arrival.kind().requestClass().name();
      byte[] body =
          keyed ? ("q" + arrival.number()).getBytes(StandardCharsets.US_ASCII) : new byte[0];
      var request = new DefaultFullHttpRequest(
          HttpVersion.HTTP_1_1,
          keyed ? HttpMethod.POST : HttpMethod.GET,
          "/" + name + "/1",
          Unpooled.wrappedBuffer(body));
      request
          .headers()
          .set(HttpHeaderNames.HOST, "lab")
          .set("X-Correlation-Id", "q" + arrival.number())
          .set("X-Service-Class", name)
          .set("X-Account", Traffic.TENANTS.get(arrival.tenant()))
          .set("X-Time-Left-Ms", arrival.timeoutNanos() / 1_000_000)
          .set("X-Weight-Hint", arrival.hintNanos() / 1_000);
      if (arrival.sessionKey() != null) {
        request.headers().set("X-Session-Key", arrival.sessionKey());
      }
      if (keyed) {
        request
            .headers()
            .set("Idempotency-Key", "q" + arrival.number())
            .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
      }
      channel.writeAndFlush(request);
    }

    private boolean end() {
      if (ended) {
        return false;
      }
      ended = true;
      timeout.cancel(false);
      return true;
    }

    private void timeOut() {
      if (end()) {
        timedOut++;
        if (connection != null) {
          connection.pipeline().get(ResponseHandler.class).call = null;
          connection.close();
        }
      }
    }

    private void responseReceived(FullHttpResponse response) {
      if (!end()) {
        return;
      }
      int status = response.status().code();
      if (status == 200) {
        long latencyNanos = System.nanoTime() - dueAt;
        served++;
        mismatched +=
            response.content().toString(StandardCharsets.US_ASCII).equals("q" + arrival.number())
                ? 0
                : 1;
        latency.recordValue(Math.min(MAX_LATENCY_MICROS, latencyNanos / 1_000));
        worthEarned += latencyNanos <= arrival.kind().requestClass().aimNanos()
            ? arrival.kind().requestClass().worth() * arrival.work()
            : 0;
      } else if (status == 429 || status == 503) {
        refused++;
      } else {
        failed++;
      }
    }

    /** Handles a close of the connection before the answer. By the protocol, the request is sent once more on a new connection. */
    private void connectionClosed() {
      if (ended) {
        return;
      }
      if (resent) {
        end();
        failed++;
        return;
      }
      resent = true;
      connection = null;
      dispatch(this);
    }
  }

  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Call call;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      Call answeredCall = call;
      call = null;
      if (answeredCall != null) {
        answeredCall.responseReceived(response);
      }
      if (HttpUtil.isKeepAlive(response) && answeredCall != null) {
        idle.add(ctx.channel());
      } else {
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      idle.remove(ctx.channel());
      if (call != null) {
        Call openCall = call;
        call = null;
        openCall.connectionClosed();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
