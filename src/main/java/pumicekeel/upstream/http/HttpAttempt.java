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
import java.util.function.BooleanSupplier;
import pumicekeel.Balancer.Status;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.Payload;
import pumicekeel.upstream.UpstreamAttempt;

/** An attempt that has an HTTP connection for itself; one that ends otherwise than by an answer takes it along. */
final class HttpAttempt extends UpstreamAttempt {

  /** A kept connection that breaks within so long of the request was broken before: no upstream answers as fast. */
  private static final long STALE_NANOS = 50_000_000L;

  private final UpstreamPool pool;
  private UpstreamConnection connection;
  private ChannelFuture connecting;
  private boolean stale;
  /** The kept connection that is waited for, and the end of that. */
  private UpstreamConnection resting;

  private ScheduledFuture<?> rested;

  HttpAttempt(int number, long upstream, long decidedAt, UpstreamPool pool, Observer ending) {
    super(number, upstream, decidedAt, ending);
    this.pool = pool;
  }

  @Override
  protected void begin(ClientRequest request, BooleanSupplier maySend) {
    UpstreamConnection idle = pool.takeIdle();
    if (idle != null) {
      onceRested(idle, request, maySend);
      return;
    }
    connecting = pool.connect();
    if (connecting == null) {
      end(Status.CONNECT_FAILED, null);
      return;
    }
    connecting.addListener(done -> {
      if (!inFlight()) {
        connecting.channel().close();
      } else if (!done.isSuccess() || !connecting.channel().isActive()) {
        end(Status.CONNECT_FAILED, null);
      } else {
        write(connecting.channel().pipeline().get(UpstreamConnection.class), request, maySend);
      }
    });
  }

  private void onceRested(UpstreamConnection kept, ClientRequest request, BooleanSupplier maySend) {
    long rest = kept.restLeft();
    if (rest <= 0) {
      write(kept, request, maySend);
      return;
    }
    resting = kept;
    rested = pool.later(
        () -> {
          resting = null;
          if (kept.usable()) {
            onceRested(kept, request, maySend);
          } else {
            kept.close();
            begin(request, maySend);
          }
        },
        rest);
  }

  private void write(UpstreamConnection to, ClientRequest request, BooleanSupplier maySend) {
    if (!maySend.getAsBoolean()) {
      to.returnToPool();
      end(Status.NOT_SENT, null);
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
              markSending()),
          http.upload(),
          request.leftNanos());
    }
    if (hasWriteCallback()) {
      to.whenWritten(this::notifyWritten);
    }
  }

  private static FullHttpRequest message(
      ClientRequest request, Payload.Http http, long leftMillis) {
    FullHttpRequest message = new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1, http.method(), http.uri(), Unpooled.wrappedBuffer(http.body()));
    headers(message, request, http, http.body().length, leftMillis);
    return message;
  }

  /** What goes on of a request's head; a length of -1 is told by chunks. */
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
  public boolean stale() {
    return stale;
  }

  @Override
  protected void onEnded(Status how) {
    if (resting != null) {
      rested.cancel(false);
      resting.returnToPool();
      resting = null;
    }
    stale = how == Status.RESET
        && connecting == null
        && connection.nothingReceived()
        && nanosSinceSent() < STALE_NANOS;
    if (stale) {
      // What was kept for longer has most likely gone the same way, and would cost an attempt each.
      pool.closeOlderThan(connection.idleSince);
    }
    if (how == Status.TIMEOUT || how == Status.CANCELLED) {
      if (connection != null) {
        connection.close();
      } else if (connecting != null) {
        connecting.channel().close();
      }
    }
    if (how == Status.TIMEOUT && !pool.receivedWithin(timeoutNanos())) {
      // A machine that vanished keeps its connections open and silent: none of them is used again.
      // One that still
      // answers others was only slow, and closing all would cost it a storm of new connections.
      pool.closeIdle();
    }
  }
}
