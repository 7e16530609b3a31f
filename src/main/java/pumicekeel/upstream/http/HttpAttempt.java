package pumicekeel.upstream.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import pumicekeel.Balancer.Status;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.Payload;
import pumicekeel.call.Upload;
import pumicekeel.guard.AttemptEnd;
import pumicekeel.upstream.PassOnReason;
import pumicekeel.upstream.UpstreamAttempt;

/** An attempt with exclusive use of an HTTP connection; if it ends without an answer, the connection is closed too. */
final class HttpAttempt extends UpstreamAttempt {

  /** A kept connection that breaks this soon after the request was sent was broken before: no upstream answers so fast. */
  private static final long STALE_RESET_NANOS = 50_000_000L;

  private final UpstreamPool pool;
  private UpstreamConnection connection;
  private ChannelFuture connecting;
  private boolean stale;
  /** The kept connection whose reuse delay is awaited, and the timer for it. */
  private UpstreamConnection awaitedConnection;

  private ScheduledFuture<?> reuseTimer;

  HttpAttempt(int number, long upstream, long decidedAt, UpstreamPool pool, Observer observer) {
    super(number, upstream, decidedAt, observer);
    this.pool = pool;
  }

  @Override
  protected void begin(ClientRequest request, BooleanSupplier maySend) {
    UpstreamConnection idle = pool.takeIdle();
    if (idle != null) {
      writeWhenReusable(idle, request, maySend);
      return;
    }
    connecting = pool.connect();
    if (connecting == null) {
      end(AttemptEnd.NOT_CONNECTED, Status.CONNECT_FAILED, null);
      return;
    }
    connecting.addListener(done -> {
      if (!inFlight()) {
        connecting.channel().close();
      } else if (!done.isSuccess() || !connecting.channel().isActive()) {
        pool.connectionRefused();
        end(AttemptEnd.NOT_CONNECTED, Status.CONNECT_FAILED, null);
      } else {
        UpstreamConnection opened = connecting.channel().pipeline().get(UpstreamConnection.class);
        opened.connected();
        write(opened, request, maySend);
      }
    });
  }

  private void writeWhenReusable(
      UpstreamConnection kept, ClientRequest request, BooleanSupplier maySend) {
    long delayNanos = kept.reuseDelayLeft();
    if (delayNanos <= 0) {
      write(kept, request, maySend);
      return;
    }
    awaitedConnection = kept;
    reuseTimer = pool.schedule(
        () -> {
          awaitedConnection = null;
          if (kept.usable()) {
            writeWhenReusable(kept, request, maySend);
          } else {
            kept.close();
            begin(request, maySend);
          }
        },
        delayNanos);
  }

  private void write(UpstreamConnection to, ClientRequest request, BooleanSupplier maySend) {
    if (to.mayBeReplaced()) {
      placeUncertain();
    }
    if (!maySend.getAsBoolean()) {
      to.returnToPool();
      end(AttemptEnd.DENIED, Status.NOT_SENT, null);
      return;
    }
    connection = to;
    Payload.Http http = request.payload().toHttp(request.type().effect());
    if (http.upload() == null) {
      to.send(this, message(request, http, markSending()));
    } else {
      if (!http.upload().isComplete()) {
        bodyPending();
      }
      to.send(
          this,
          (HttpRequest) headers(
              new DefaultHttpRequest(HttpVersion.HTTP_1_1, http.method(), http.uri()),
              request,
              http,
              http.upload().length(),
              Math.min(markSending(), clientMillis(request, http.upload()))),
          http.upload());
    }
    if (hasWriteCallback()) {
      to.onWritten(this::notifyWritten);
    }
  }

  /** Returns what is left to the client if it has written its last byte as early as it can have. */
  private long clientMillis(ClientRequest request, Upload upload) {
    long nanos = request.leftNanos() - upload.waitedNanos(now());
    return Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos));
  }

  private static FullHttpRequest message(
      ClientRequest request, Payload.Http http, long leftMillis) {
    FullHttpRequest message = new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1, http.method(), http.uri(), Unpooled.wrappedBuffer(http.body()));
    headers(message, request, http, http.body().length, leftMillis);
    return message;
  }

  /** Sets the headers that are forwarded; a length of -1 means chunked encoding. */
  private static HttpMessage headers(
      HttpMessage message, ClientRequest request, Payload.Http http, long length, long leftMillis) {
    message
        .headers()
        .set(HttpHeaderNames.HOST, http.host())
        .set(ClientRequest.ID, request.id())
        .set(ClientRequest.TIME_LEFT, leftMillis);
    if (length < 0) {
      message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    if (request.idempotencyKey() != null) {
      message.headers().set(ClientRequest.IDEMPOTENCY_KEY, request.idempotencyKey());
    }
    if (http.contentType() != null) {
      message.headers().set(HttpHeaderNames.CONTENT_TYPE, http.contentType());
    }
    return message;
  }

  @Override
  protected InetSocketAddress address() {
    return pool.address();
  }

  @Override
  public boolean stale() {
    return stale;
  }

  @Override
  protected Status statusOfHead() {
    return connection == null ? null : connection.statusOfHead();
  }

  @Override
  protected boolean passOn(PassOnReason reason) {
    return connection.passOn(reason);
  }

  @Override
  protected void onEnded(Status status) {
    if (awaitedConnection != null) {
      reuseTimer.cancel(false);
      awaitedConnection.returnToPool();
      awaitedConnection = null;
    }
    stale = status == Status.RESET
        && connecting == null
        && connection.nothingReceived()
        && nanosSinceSent() < STALE_RESET_NANOS;
    if (stale) {
      // Connections kept for longer have most likely broken too, and would cost an attempt each.
      pool.closeOlderThan(connection.idleSince);
    }
    if (connection != null && connection.carries(this)) {
      connection.close();
    } else if (connection == null
        && connecting != null
        && (status == Status.TIMEOUT || status == Status.CANCELLED)) {
      connecting.channel().close();
    }
    if (status == Status.TIMEOUT && !pool.receivedWithin(timeoutNanos())) {
      // A machine that has crashed or become unreachable leaves its connections open and silent, so
      // none of them is used again. One that still answers other requests was only slow: closing
      // all its connections would cause a surge of new ones.
      pool.closeIdle();
    }
  }
}
