package pumicekeel.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import pumicekeel.Balancer.Status;
import pumicekeel.call.Answer;
import pumicekeel.call.AnswerStart;
import pumicekeel.call.BodySink;
import pumicekeel.call.Upload;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.UpstreamAttempt;

/**
 * A connection to an upstream: sends one attempt at a time and reads how it ended. Only once a read is over with
 * nothing left is the connection used again: whatever else comes on it belongs to no request.
 */
public final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final byte[] START = "HTTP/1.1 ".getBytes(StandardCharsets.US_ASCII);
  /** An answer that has begun and of which nothing more comes for so long is spoilt: nobody has had any of it yet. */
  private static final long BUFFERED_STALL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  /** One that is being passed on: its client waits for what the upstream still gives, unless it gives nothing. Once the client's time is
   * up it waits for nothing that does not come, and is owed an end that it can see. */
  private static final long STREAM_STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
  /** One that still comes after so long is passed on as it is: nothing may be held back for two seconds. */
  private static final long MAX_BUFFERING_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
  /** One that takes nothing of a body for so long has vanished, or as good as: the client that sends it can't be kept waiting. */
  private static final long UPLOAD_STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);
  /** Or for that part of the time which its client gives it: the client may have written its last byte long before. */
  private static final int UPLOAD_STALL_DIVISOR = 2;
  /** From the first byte of a whole request to its last: well under the slack of the time that it tells. */
  private static final long WRITE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  /** A second copy of an answer may come some milliseconds behind it, and would be taken for the answer to the next request: until
   * then there is none on this connection. Short against any aim. */
  private static final long REUSE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  /** A buffer that has grown beyond this is not kept for the next answer: there are hundreds of connections. */
  private static final int SMALL = 8 << 10;

  private final UpstreamPool pool;
  private final Reactor reactor;
  private final Channel channel;
  private final AnswerDecoder decoder;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private UpstreamAttempt attempt;
  private ChannelFuture written;
  private HttpResponse response;
  private ScheduledFuture<?> stalled;
  private ScheduledFuture<?> untaken;
  private long untakenBytes;
  private long untakenNanos;
  private long begunAt;
  private long heardAt;
  /** Where the pieces of this answer go, and those of this request come from; null where they are whole. */
  private BodySink sink;

  private Upload upload;
  private boolean held;
  private long received;
  private long heard;
  private int interim;
  private boolean whole;
  private boolean surplus;
  public long idleSince;
  /** When its last answer had come whole; 0 where nothing was asked on it. */
  private long answeredAt;

  public UpstreamConnection(UpstreamPool pool, Reactor on, Channel channel, AnswerDecoder decoder) {
    this.pool = pool;
    reactor = on;
    this.channel = channel;
    this.decoder = decoder;
  }

  /** False where the peer has closed, or has sent what nobody asked for. */
  public boolean usable() {
    return reactor.sockets().isQuiet(channel);
  }

  /** How long it still has to be left alone before the next request; 0 or less for not at all. */
  long restLeft() {
    return answeredAt == 0
        ? 0
        : answeredAt + REUSE_DELAY_NANOS - reactor.clock().now();
  }

  /** Nothing has come since the last request was written. */
  public boolean nothingReceived() {
    return heard == 0;
  }

  public void returnToPool() {
    pool.returnIdle(this);
  }

  public void send(UpstreamAttempt next, FullHttpRequest request) {
    begin(next);
    written = channel.writeAndFlush(request);
    if (!written.isDone()) {
      ChannelFuture mine = written;
      channel
          .eventLoop()
          .schedule(() -> endUnwritten(mine), WRITE_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    }
  }

  /** A request that can't be written has not begun, and the time that it tells its upstream runs on: it goes elsewhere. */
  private void endUnwritten(ChannelFuture mine) {
    if (written == mine && !mine.isDone()) {
      Log.caused("upstream " + pool.address() + ": a request could not be written in time");
      broken();
    }
  }

  /** Sends a request whose body still comes; its client gives it so long from its last byte on. */
  void send(UpstreamAttempt next, HttpRequest head, Upload from, long leftNanos) {
    begin(next);
    untakenNanos = Math.min(UPLOAD_STALL_TIMEOUT_NANOS, leftNanos / UPLOAD_STALL_DIVISOR);
    ChannelPromise all = channel.newPromise();
    written = all;
    upload = from;
    channel.write(head);
    from.attach(new BodySink() {
      @Override
      public void onChunk(ByteBuf bytes) {
        channel.writeAndFlush(new DefaultHttpContent(bytes));
      }

      @Override
      public void onComplete() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, all);
      }

      @Override
      public void onTruncated() {
        broken();
      }
    });
    channel.flush();
    if (channel.isWritable()) {
      from.flow(true);
    }
  }

  private void begin(UpstreamAttempt next) {
    attempt = next;
    response = null;
    heard = 0;
    interim = 0;
    whole = false;
    begunAt = 0;
    received = 0;
    sink = null;
    upload = null;
    if (body.size() > SMALL) {
      body = new ByteArrayOutputStream();
    }
    body.reset();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (upload != null) {
      upload.flow(channel.isWritable());
      if (!channel.isWritable() && untaken == null) {
        untakenBytes = unsent();
        untaken =
            ctx.executor().schedule(() -> lookAtUntaken(ctx), untakenNanos, TimeUnit.NANOSECONDS);
      }
    }
  }

  private long unsent() {
    var buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  /** Ends an attempt whose upstream takes no more of the body; nothing else would, since its time counts from its last byte. */
  private void lookAtUntaken(ChannelHandlerContext ctx) {
    untaken = null;
    if (upload == null || channel.isWritable()) {
      return;
    }
    if (unsent() == untakenBytes) {
      broken();
      return;
    }
    untakenBytes = unsent();
    untaken = ctx.executor().schedule(() -> lookAtUntaken(ctx), untakenNanos, TimeUnit.NANOSECONDS);
  }

  /** The client of an answer that is passed on takes more, or does not. */
  private void flow(boolean on) {
    held = !on;
    heardAt = reactor.clock().now();
    channel.config().setAutoRead(on);
  }

  /** Runs something once the last byte of what was sent has gone out. */
  void whenWritten(Runnable then) {
    written.addListener(done -> {
      if (done.isSuccess()) {
        then.run();
      }
    });
  }

  /** Gives up what is on this connection, with no outcome. */
  public void close() {
    attempt = null;
    stopWaiting();
    letGo();
    channel.close();
    pool.remove(this);
  }

  /** What is on this connection is over: an answer that was being passed on is cut, and a body goes elsewhere. */
  private void letGo() {
    BodySink open = sink;
    Upload coming = upload;
    sink = null;
    upload = null;
    if (coming != null) {
      coming.detach();
    }
    if (open != null) {
      open.onTruncated();
    }
  }

  /** An answer's first bytes already show noise: it is not waited for any longer. */
  boolean accepts(ByteBuf bytes) {
    pool.dataReceived();
    if (attempt == null || whole || surplus) {
      surplus = true;
      return false;
    }
    boolean noise = false;
    for (int i = 0; heard + i < START.length && i < bytes.readableBytes(); i++) {
      noise |= bytes.getByte(bytes.readerIndex() + i) != START[(int) heard + i];
    }
    heard += bytes.readableBytes();
    heardAt = reactor.clock().now();
    surplus = noise;
    return !noise;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
    if (attempt == null || whole || message.decoderResult().isFailure()) {
      surplus = true;
      return;
    }
    if (message instanceof HttpResponse head) {
      response = head;
      surplus |=
          !AnswerHead.hasValidFraming(head) || interim() && ++interim > AnswerHead.MAX_INTERIM;
    }
    if (message instanceof HttpContent part && response != null && !interim() && !surplus) {
      received += part.content().readableBytes();
      surplus = received > Answer.MAX_BODY_BYTES || !take(part.content());
      whole = !surplus && message instanceof LastHttpContent;
    }
  }

  /** Keeps a piece, or passes it on; false where it can be neither. */
  private boolean take(ByteBuf piece) throws IOException {
    if (sink == null
        && received > Answer.MAX_BUFFERED_BYTES
        && AnswerHead.statusOf(response) != Status.SERVED) {
      // Nobody reads what a failed attempt has to say.
      return true;
    }
    if (sink == null
        && (received > Answer.MAX_BUFFERED_BYTES
            || HttpUtil.getContentLength(response, -1L) > Answer.MAX_BUFFERED_BYTES)
        && !passOn()) {
      return false;
    }
    if (sink != null && received > Answer.MAX_BUFFERED_BYTES) {
      attempt.exemptFromTimeout();
    }
    if (sink == null) {
      piece.readBytes(body, piece.readableBytes());
    } else if (piece.isReadable()) {
      sink.onChunk(piece.retain());
    }
    return true;
  }

  /** Begins to pass the answer on, with what has been kept of it; false where its client can't take it so. */
  private boolean passOn() {
    if (AnswerHead.statusOf(response) != Status.SERVED) {
      return true;
    }
    long length = HttpUtil.getContentLength(response, -1L);
    sink = attempt.begin(
        new AnswerStart(response.headers().get(HttpHeaderNames.CONTENT_TYPE), length), this::flow);
    if (sink != null && length > Answer.MAX_BUFFERED_BYTES) {
      attempt.exemptFromTimeout();
    }
    if (sink != null && body.size() > 0) {
      sink.onChunk(Unpooled.wrappedBuffer(body.toByteArray()));
    }
    return sink != null;
  }

  private boolean interim() {
    return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  /** The read is over: a whole answer counts, whatever came behind it, and anything else that is too much does not. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (whole && attempt != null) {
      answered();
    } else if (surplus) {
      broken();
    } else if (begun()) {
      long now = reactor.clock().now();
      begunAt = begunAt == 0 ? now : begunAt;
      if (sink == null && now - begunAt > MAX_BUFFERING_NANOS && response != null && !interim()) {
        // Where its client takes whole answers only, it is kept on.
        passOn();
      }
      if (stalled == null) {
        stalled = ctx.executor()
            .schedule(() -> look(ctx), BUFFERED_STALL_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
      }
    }
  }

  /** Ends an answer of which nothing comes any more; one whose client takes nothing is waited for by its front. */
  private void look(ChannelHandlerContext ctx) {
    long quiet = held ? 0 : reactor.clock().now() - heardAt;
    long left = attempt.remainingNanos();
    long most =
        sink == null || left <= 0 ? BUFFERED_STALL_TIMEOUT_NANOS : STREAM_STALL_TIMEOUT_NANOS;
    if (quiet >= most) {
      broken();
    } else {
      long next = sink == null || left <= 0 ? most - quiet : Math.min(most - quiet, left);
      stalled = ctx.executor().schedule(() -> look(ctx), next, TimeUnit.NANOSECONDS);
    }
  }

  /** Part of the answer itself has come, not only of interim ones ahead of it. */
  private boolean begun() {
    return attempt != null && (decoder.hasUnreadBytes() || response != null && !interim());
  }

  private void answered() {
    UpstreamAttempt ended = attempt;
    attempt = null;
    stopWaiting();
    BodySink passed = sink;
    sink = null;
    letGo();
    if (held) {
      flow(true);
    }
    if (!surplus
        && !decoder.hasUnreadBytes()
        && HttpUtil.isKeepAlive(response)
        && written.isSuccess()
        && channel.isActive()) {
      answeredAt = reactor.clock().now();
      pool.returnIdle(this);
    } else {
      channel.close();
    }
    if (passed != null) {
      passed.onComplete();
    }
    ended.end(
        AnswerHead.statusOf(response),
        passed != null
            ? null
            : new Answer(body.toByteArray(), response.headers().get(HttpHeaderNames.CONTENT_TYPE)));
  }

  private void stopWaiting() {
    if (stalled != null) {
      stalled.cancel(false);
      stalled = null;
    }
    if (untaken != null) {
      untaken.cancel(false);
      untaken = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    broken();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Log.caused("upstream " + pool.address() + ": " + cause);
    }
    broken();
  }

  /** The connection is of no use any more: what was on it ran perhaps, if its last byte went out or an answer came. */
  private void broken() {
    UpstreamAttempt ended = attempt;
    close();
    // Told of the end after its client: what is cut is cut, whatever the module makes of it.
    if (ended != null) {
      ended.end(written.isSuccess() || heard > 0 ? Status.RESET : Status.CONNECT_FAILED, null);
    }
  }
}
