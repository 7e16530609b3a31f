package pumicekeel.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import pumicekeel.Balancer.Status;
import pumicekeel.call.Answer;
import pumicekeel.call.AnswerStart;
import pumicekeel.call.BodySink;
import pumicekeel.call.Upload;
import pumicekeel.guard.AttemptEnd;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.PayloadBuffer;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.PassOnReason;
import pumicekeel.upstream.UpstreamAttempt;

/**
 * A connection to an upstream: sends one attempt at a time and determines its outcome. The connection is reused only once a read has
 * completed with nothing left over: any other data on it belongs to no request.
 */
public final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final byte[] STATUS_LINE_START = "HTTP/1.1 ".getBytes(StandardCharsets.US_ASCII);
  /** From the first byte of a complete request to its last: well below the slack of the time limit announced to the upstream. */
  private static final long WRITE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  /**
   * A duplicate of an answer may arrive some milliseconds after it, and would be treated as the answer to the next request: the
   * connection is not reused before this time. Short compared with any aim.
   */
  private static final long REUSE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final UpstreamPool pool;
  private final Reactor reactor;
  private final Channel channel;
  private final AnswerDecoder decoder;
  private final PayloadBuffer body;
  private UpstreamAttempt attempt;
  private ChannelFuture writeFuture;
  private HttpResponse response;
  /** Where the pieces of this answer go, and where those of this request come from; null if they are buffered as a whole. */
  private BodySink sink;

  private Upload upload;
  private boolean requestStreamed;
  /** When the connection came up. */
  private long connectedAt;

  /** Whether this process ends it. */
  private boolean closing;

  private boolean readPaused;
  private long bodyBytesReceived;
  private long rawBytesReceived;
  private long rawBytesAtLastRead;
  private int interimCount;
  private boolean answerComplete;
  private boolean unexpectedData;
  /** Why an answer with unexpected data fails. */
  private AttemptEnd rejection = AttemptEnd.MALFORMED;

  public long idleSince;
  /** When its last answer was complete; 0 if no request was sent on it. */
  private long answeredAt;

  public UpstreamConnection(
      UpstreamPool pool, Reactor reactor, Channel channel, AnswerDecoder decoder) {
    this.pool = pool;
    this.reactor = reactor;
    this.channel = channel;
    this.decoder = decoder;
    body = new PayloadBuffer(reactor.memory());
  }

  /** Returns false if the peer has closed the connection, or has sent data without a request. */
  public boolean usable() {
    return reactor.sockets().isQuiet(channel);
  }

  /** Returns how long to wait before the next request on it; 0 or less if it can be reused now. */
  long reuseDelayLeft() {
    return answeredAt == 0
        ? 0
        : answeredAt + REUSE_DELAY_NANOS - reactor.clock().now();
  }

  /** Returns whether nothing has arrived since the last request was written. */
  public boolean nothingReceived() {
    return rawBytesReceived == 0;
  }

  public void returnToPool() {
    pool.returnIdle(this);
  }

  public void send(UpstreamAttempt next, FullHttpRequest request) {
    begin(next);
    writeFuture = channel.writeAndFlush(request);
    if (!writeFuture.isDone()) {
      ChannelFuture pending = writeFuture;
      channel
          .eventLoop()
          .schedule(() -> failUnwritten(pending), WRITE_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Fails a request that cannot be written in time. It has not begun to run, while the time limit that it announces to its upstream keeps
   * running, so it has to be sent elsewhere.
   */
  private void failUnwritten(ChannelFuture pending) {
    if (writeFuture == pending && !pending.isDone()) {
      Log.rateLimited("upstream " + pool.address() + ": a request could not be written in time");
      fail(AttemptEnd.NOT_WRITTEN);
    }
  }

  /** Sends a request whose body is still arriving. */
  void send(UpstreamAttempt next, HttpRequest head, Upload from) {
    begin(next);
    ChannelPromise all = channel.newPromise();
    writeFuture = all;
    upload = from;
    requestStreamed = true;
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
        fail(AttemptEnd.UPLOAD_TRUNCATED);
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
    rawBytesReceived = 0;
    rawBytesAtLastRead = 0;
    interimCount = 0;
    rejection = AttemptEnd.MALFORMED;
    answerComplete = false;
    bodyBytesReceived = 0;
    sink = null;
    upload = null;
    requestStreamed = false;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (upload != null) {
      upload.flow(channel.isWritable());
    }
  }

  /** Resumes or pauses reading, as the client of a streamed answer accepts more or does not. */
  private void flow(boolean on) {
    readPaused = !on;
    if (attempt != null) {
      attempt.answerPaused(readPaused);
    }
    channel.config().setAutoRead(on);
  }

  /** Runs a callback once the last byte of the request has been sent. */
  void onWritten(Runnable then) {
    writeFuture.addListener(done -> {
      if (done.isSuccess()) {
        then.run();
      }
    });
  }

  /** Closes the connection and abandons what is in flight on it, without an outcome. */
  public void close() {
    closing = true;
    if (attempt != null && requestStreamed && channel.isActive()) {
      resetOnClose();
    }
    attempt = null;
    releaseStreams();
    body.clear();
    channel.close();
    pool.remove(this);
  }

  /** Has the close drop what waits in the socket: a last byte that arrives later would let the upstream start. */
  private void resetOnClose() {
    try {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    } catch (ChannelException e) {
      Log.rateLimited("upstream " + pool.address() + ": cannot be reset: " + e.getCause());
    }
  }

  /**
   * Releases the streams of this connection: an answer that was being streamed is cut off, and the rest of a request body goes elsewhere.
   */
  private void releaseStreams() {
    BodySink open = sink;
    Upload unsent = upload;
    sink = null;
    upload = null;
    if (unsent != null) {
      unsent.detach();
    }
    if (open != null) {
      open.onTruncated();
    }
  }

  /** Filters raw bytes before decoding; an answer whose first bytes are not those of a status line fails at once. */
  boolean accepts(ByteBuf bytes) {
    pool.dataReceived();
    if (attempt == null || answerComplete || unexpectedData) {
      unexpectedData = true;
      return false;
    }
    boolean invalidStart = false;
    for (int i = 0;
        rawBytesReceived + i < STATUS_LINE_START.length && i < bytes.readableBytes();
        i++) {
      invalidStart |=
          bytes.getByte(bytes.readerIndex() + i) != STATUS_LINE_START[(int) rawBytesReceived + i];
    }
    rawBytesReceived += bytes.readableBytes();
    unexpectedData = invalidStart;
    return !invalidStart;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
    if (attempt == null || answerComplete || message.decoderResult().isFailure()) {
      unexpectedData = true;
      return;
    }
    if (message instanceof HttpResponse head) {
      response = head;
      unexpectedData |= !AnswerHead.hasValidFraming(head)
          || isInterim() && ++interimCount > AnswerHead.MAX_INTERIM;
    }
    if (message instanceof HttpContent part
        && response != null
        && !isInterim()
        && !unexpectedData) {
      bodyBytesReceived += part.content().readableBytes();
      unexpectedData = bodyBytesReceived > Answer.MAX_BODY_BYTES || !consume(part.content());
      answerComplete = !unexpectedData && message instanceof LastHttpContent;
    }
  }

  /** Buffers a piece or streams it; returns false if neither is possible. */
  private boolean consume(ByteBuf piece) throws IOException {
    if (sink == null
        && bodyBytesReceived > Answer.MAX_BUFFERED_BYTES
        && AnswerHead.statusOf(response) != Status.SERVED) {
      // The body of a failed attempt's answer is not used.
      return true;
    }
    if (sink == null
        && (bodyBytesReceived > Answer.MAX_BUFFERED_BYTES
            || HttpUtil.getContentLength(response, -1L) > Answer.MAX_BUFFERED_BYTES)
        && !startStreaming(PassOnReason.SIZE)) {
      return false;
    }
    if (sink == null) {
      return buffer(piece);
    }
    if (piece.isReadable()) {
      sink.onChunk(piece.retain());
    }
    return true;
  }

  /** Buffers a piece; without memory for it the answer is streamed instead, and false is returned if it cannot be. */
  private boolean buffer(ByteBuf piece) {
    if (body.append(piece)) {
      return true;
    }
    if (AnswerHead.statusOf(response) != Status.SERVED) {
      return true;
    }
    if (!startStreaming(PassOnReason.NO_MEMORY)) {
      Log.rateLimited("upstream " + pool.address() + ": no memory for an answer");
      rejection = AttemptEnd.NO_MEMORY;
      return false;
    }
    sink.onChunk(piece.retain());
    return true;
  }

  /** Starts to stream the answer, beginning with what has been buffered of it; returns false if its client cannot accept that. */
  private boolean startStreaming(PassOnReason reason) {
    if (AnswerHead.statusOf(response) != Status.SERVED) {
      return true;
    }
    long length = HttpUtil.getContentLength(response, -1L);
    sink = attempt.begin(
        new AnswerStart(response.headers().get(HttpHeaderNames.CONTENT_TYPE), length),
        this::flow,
        reason);
    // With an empty one the client gets the head.
    if (sink != null && (body.size() > 0 || reason == PassOnReason.TIME_ALMOST_UP)) {
      sink.onChunk(Unpooled.wrappedBuffer(body.toBytes()));
      body.clear();
    }
    return sink != null;
  }

  private boolean isInterim() {
    return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  /** Handles the end of a read. A complete answer is used whatever data followed it; invalid data before its end fails the attempt. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (answerComplete && attempt != null) {
      finishAnswer();
    } else if (unexpectedData) {
      fail(rejection);
    } else if (answerStarted()) {
      // A read that only finds the connection broken ends here as well.
      if (rawBytesReceived > rawBytesAtLastRead) {
        rawBytesAtLastRead = rawBytesReceived;
        attempt.answerArrived(response != null && !isInterim(), bodyBytesReceived);
      }
    }
  }

  /** Returns for how long its upstream has sent nothing more of a passed-on answer whose client's time is up; 0 for any other. */
  long overtimeSilenceNanos() {
    return attempt == null ? 0 : attempt.overtimeSilenceNanos();
  }

  InetSocketAddress address() {
    return pool.address();
  }

  /** Ends its attempt and closes, in favour of another request. */
  void giveWay() {
    fail(AttemptEnd.GIVES_WAY);
  }

  /** Returns whether the connection carries this attempt. */
  boolean carries(UpstreamAttempt other) {
    return attempt == other;
  }

  /** Returns the outcome that the head of the answer proves by itself; null if it has not arrived or if the body is needed. */
  Status statusOfHead() {
    Status status = response == null || isInterim() ? null : AnswerHead.statusOf(response);
    return status == Status.SERVED ? null : status;
  }

  /** Starts to pass on the answer before it is whole; returns false if its client accepts only a complete one. */
  boolean passOn(PassOnReason reason) {
    return sink != null || startStreaming(reason) && sink != null;
  }

  /** Returns whether part of the answer itself has arrived, not only of interim ones before it. */
  private boolean answerStarted() {
    return attempt != null && (decoder.hasUnreadBytes() || response != null && !isInterim());
  }

  private void finishAnswer() {
    UpstreamAttempt ended = attempt;
    attempt = null;
    // Taken first: a connection that is returned may be closed at once.
    byte[] whole = body.toBytes();
    body.clear();
    BodySink streamed = sink;
    sink = null;
    releaseStreams();
    if (readPaused) {
      flow(true);
    }
    if (!unexpectedData
        && !decoder.hasUnreadBytes()
        && HttpUtil.isKeepAlive(response)
        && writeFuture.isSuccess()
        && channel.isActive()) {
      answeredAt = reactor.clock().now();
      pool.returnIdle(this);
    } else {
      closing = true;
      channel.close();
    }
    if (streamed != null) {
      streamed.onComplete();
    }
    ended.end(
        AttemptEnd.ANSWERED,
        AnswerHead.statusOf(response),
        streamed != null
            ? null
            : new Answer(whole, response.headers().get(HttpHeaderNames.CONTENT_TYPE)));
  }

  /** Records that the connection has come up. */
  void connected() {
    connectedAt = reactor.clock().now();
  }

  /** Returns whether it may lead to another process than the listed upstream. */
  boolean mayBeReplaced() {
    return pool.mayBeReplaced(connectedAt);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (!closing) {
      pool.connectionLost(attempt == null);
    }
    fail(AttemptEnd.CONNECTION_LOST);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    reactor.errors().check(cause);
    if (!(cause instanceof IOException)) {
      Log.rateLimited("upstream " + pool.address() + ": " + cause);
    } else if (!closing) {
      pool.connectionLost(attempt == null);
    }
    fail(AttemptEnd.CONNECTION_LOST);
  }

  /** Closes an unusable connection: its attempt may have run if the request's last byte was sent or any part of an answer arrived. */
  private void fail(AttemptEnd reason) {
    UpstreamAttempt ended = attempt;
    close();
    // The client's stream is cut before the attempt's observer is notified: it stays cut, whatever
    // the module does next.
    if (ended != null) {
      ended.end(
          reason,
          writeFuture.isSuccess() || rawBytesReceived > 0 ? Status.RESET : Status.CONNECT_FAILED,
          null);
    }
  }
}
