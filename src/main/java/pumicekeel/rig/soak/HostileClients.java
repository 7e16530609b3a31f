package pumicekeel.rig.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import pumicekeel.rig.soak.RequestLog.EventType;

/** Clients of one balancer that stop half way, flood one connection, or leave with much unread. Their answers do not matter. */
final class HostileClients {

  private static final int HALF_BODY_BYTES = 200_000;
  private static final int BODY_BYTES = 400_000;
  private static final int HEAD_FIELDS = 90;
  private static final long FIELD_PAUSE_MILLIS = 10;
  private static final int FLOOD_BATCH = 200;
  private static final int PIPELINED = 150;
  private static final long LEAVE_MILLIS = 20;

  private final EventLoop loop;
  private final RequestLog log;
  private final String name;
  private final InetSocketAddress balancer;
  private final AtomicInteger connections = new AtomicInteger();

  /** Creates clients whose requests are logged under this name. */
  HostileClients(String name, EventLoop loop, RequestLog log, InetSocketAddress balancer) {
    this.name = name;
    this.loop = loop;
    this.log = log;
    this.balancer = balancer;
  }

  /** What a client does once it is connected. */
  private interface Script {
    void play(ChannelHandlerContext ctx, String id);
  }

  /** Opens connections that stop half way: in a body, or in a head of ever more short fields. */
  void stopHalfWay(int count) {
    for (int i = 0; i < count; i++) {
      connect(i % 2 == 0 ? this::sendHalfABody : (ctx, id) -> sendFields(ctx, id, 0));
    }
  }

  /** Opens a connection that sends small requests at full speed, sound or not, each under a new name, for this time. */
  void flood(boolean sound, long millis) {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    connect((ctx, id) -> floodUntil(ctx, id, sound, 0, end));
  }

  /** Opens a connection that sends many requests at once and closes or resets it a moment later. */
  void pipelineAndLeave(boolean reset) {
    connect((ctx, id) -> {
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < PIPELINED; i++) {
        all.append(request(id + "-" + i));
        log.add(
            id + "-" + i,
            name,
            EventType.SENT,
            SoakSettings.DEFAULT.shortMillis(),
            "rate-lookup pipelined");
      }
      write(ctx, all.toString());
      loop.schedule(
          () -> {
            if (reset && ctx.channel().isActive()) {
              ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            }
            ctx.close();
            for (int i = 0; i < PIPELINED; i++) {
              log.add(id + "-" + i, name, EventType.LEFT, 0, "");
            }
          },
          LEAVE_MILLIS,
          TimeUnit.MILLISECONDS);
    });
  }

  private void connect(Script script) {
    String id = name + "-h" + connections.getAndIncrement();
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .handler(new ChannelInboundHandlerAdapter() {
          @Override
          public void channelActive(ChannelHandlerContext ctx) {
            script.play(ctx, id);
          }

          @Override
          public void channelRead(ChannelHandlerContext ctx, Object message) {
            ((ByteBuf) message).release();
          }

          @Override
          public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
          }
        })
        .connect(balancer);
  }

  private static void write(ChannelHandlerContext ctx, String text) {
    ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private static String head(String id) {
    return " HTTP/1.1\r\nHost: soak\r\nX-Correlation-Id: " + id
        + "\r\nX-Service-Class: rate-lookup\r\nX-Account: demo\r\nX-Session-Key: " + id
        + "\r\nX-Time-Left-Ms: 1500\r\n";
  }

  private static String request(String id) {
    return "GET /rate-lookup/x" + head(id) + "\r\n";
  }

  private void sendHalfABody(ChannelHandlerContext ctx, String id) {
    String text = "POST /quote-issue/x" + head(id).replace("rate-lookup", "quote-issue")
        + "Idempotency-Key: " + id + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
    write(ctx, text + "b".repeat(HALF_BODY_BYTES));
  }

  private void sendFields(ChannelHandlerContext ctx, String id, int sent) {
    write(ctx, sent == 0 ? "GET /rate-lookup/x" + head(id) : "X-" + sent + ": y\r\n");
    if (sent < HEAD_FIELDS && ctx.channel().isActive()) {
      loop.schedule(() -> sendFields(ctx, id, sent + 1), FIELD_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void floodUntil(ChannelHandlerContext ctx, String id, boolean sound, int sent, long end) {
    Channel channel = ctx.channel();
    if (!channel.isActive() || System.nanoTime() - end > 0) {
      channel.close();
      return;
    }
    if (channel.isWritable()) {
      StringBuilder batch = new StringBuilder();
      for (int i = 0; i < FLOOD_BATCH; i++) {
        String request = request(id + "-" + (sent + i));
        batch.append(sound ? request : request.replace("X-Correlation-Id", "X-None"));
      }
      write(ctx, batch.toString());
    }
    loop.schedule(
        () -> floodUntil(ctx, id, sound, sent + FLOOD_BATCH, end), 1, TimeUnit.MILLISECONDS);
  }
}
