package pumicekeel.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import pumicekeel.call.Answer;
import pumicekeel.call.AnswerStart;
import pumicekeel.call.BodySink;
import pumicekeel.call.Client;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.FlowControl;
import pumicekeel.call.Upload;
import pumicekeel.call.UploadProgress;
import pumicekeel.core.BalancerCore;
import pumicekeel.core.RequestHandle;
import pumicekeel.guard.CloseReason;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Sockets;

/**
 * One client connection: reads one request at a time, submits it to the core and writes its answer. {@link Phase} is
 * its state, {@link ClientTimes} has its limits, {@link AnswerWriter} encodes its answers.
 */
public final class ClientHandler extends SimpleChannelInboundHandler<HttpObject> implements Client {

  /** A client whose request was rejected is not read for this long: it may repeat the request at full speed. */
  private static final long REJECTION_PAUSE_MILLIS = 500;
  /**
   * Bytes discarded at a time behind a pending request, to see its client disconnect; then reading pauses. A flood of
   * a megabyte is discarded within 0.2 s, and no client takes more than a hundredth of the loop's time.
   */
  private static final int MAX_DISCARDED_BYTES = 64 << 10;

  private static final long DISCARD_PAUSE_MILLIS = 10;
  /**
   * Bytes discarded right before an attempt, to see whether the client has disconnected behind them: some milliseconds
   * of the loop.
   */
  private static final int MAX_DISCARDED_BEFORE_ATTEMPT = 1 << 20;
  /** A client that still sends after its last answer has this long to read the answer and disconnect. */
  private static final long LINGER_MILLIS = 300;

  private final HttpFront front;
  private final ClientTimes times;
  private ChannelHandlerContext ctx;
  private AnswerWriter writer;
  private Phase phase = Phase.IDLE;
  /** No further request is read, though one may still wait for its answer. */
  private boolean noMoreRequests;
  /** The request that is being received, until it is submitted. */
  private HttpRequest head;

  /** What the present request makes the process keep. */
  private final RequestMemory memory;
  /** The id of the request that was submitted to the core, or null. */
  private String submittedId;
  /** The handle of the request that is being received or was submitted; null for none. */
  private RequestHandle handle;
  /** The body of a request that was submitted before it was complete; null if no body is being received. */
  private Upload upload;
  /**
   * The same until the request is finished, even once the body is complete: chunks that were not consumed are released
   * then.
   */
  private Upload uploadToRelease;
  /** Since when the client of the upload may be waiting for its answer. */
  private UploadProgress uploadProgress;
  /** Controls the source of the answer that is being streamed; null for none. */
  private FlowControl answerSource;

  private boolean keepAlive;
  private boolean lastAnswer;
  /** Whether reading pauses once the rest of a rejected request has been discarded. */
  private boolean pauseAfterDiscard;
  /** Reading is paused because of a rejected request. */
  private boolean paused;
  /** Reading has ended for good. */
  private boolean readingStopped;
  /** A request was refused before it was complete: its client still sends. */
  private boolean bodyOutstanding;

  private long discarded;
  private ScheduledFuture<?> discardTimer;
  private ScheduledFuture<?> lingerTimer;
  private final UnreadWait unreadWait = new UnreadWait();

  /** Creates the handler of a connection that was just accepted by a front. */
  public ClientHandler(HttpFront front) {
    this.front = front;
    memory = new RequestMemory(front.memory());
    times = new ClientTimes(now());
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    ctx = context;
    writer = new AnswerWriter(context);
  }

  private long now() {
    return front.clock().now();
  }

  private void transitionTo(Phase next) {
    if (!phase.canTransitionTo(next)) {
      Log.rateLimited("invalid phase transition of a client connection: " + phase + " to " + next);
    }
    phase = next;
  }

  // Called by the front

  /** Returns whether no part of an unanswered request has been received. */
  public boolean idle() {
    return nothingSubmitted() && !times.isReceiving();
  }

  /**
   * Returns whether nothing is known to wait unread in the socket. Called right before a close: a request may have
   * arrived while the loop was busy.
   */
  boolean nothingUnread() {
    return front.pending(ctx.channel()) != Sockets.Pending.SOME;
  }

  /** Returns whether no request is submitted and no last answer is being sent. */
  public boolean nothingSubmitted() {
    return submittedId == null && !noMoreRequests;
  }

  /** Returns whether no complete request was ever received on this connection. */
  public boolean neverRequested() {
    return nothingSubmitted() && times.neverAnswered();
  }

  /** Returns the time since the last answer or the connect. */
  public long idleNanos(long now) {
    return times.idleNanos(now);
  }

  /** Returns how long a request has been arriving, counted from the connect for the first one; 0 for none. */
  public long receivingNanos(long now) {
    return nothingSubmitted() ? times.receivingNanos(now) : 0;
  }

  /** Returns how long the rest of a request has been arriving that was rejected by its head; 0 for none. */
  public long discardingNanos(long now) {
    return phase == Phase.DISCARDING ? times.discardingNanos(now, hasUpload()) : 0;
  }

  /** Returns how long the client has read nothing of what was written to it. */
  public long writeStalledNanos(long now) {
    var buffer = ctx.channel().unsafe().outboundBuffer();
    return times.writeStalledNanos(now, buffer == null ? 0 : buffer.totalPendingWriteBytes());
  }

  /** Returns whether a request arrives more slowly than it must. */
  boolean tooSlow(long now) {
    if (phase == Phase.DISCARDING) {
      return times.discardTooSlow(now);
    }
    return head == null && upload == null
        ? receivingNanos(now) > ClientLimits.MAX_HEAD_NANOS
        : times.bodyTooSlow(now);
  }

  /** Returns how long nothing has arrived of a request that is kept until it is complete; 0 for none. */
  long bufferingStalledNanos(long now) {
    return nothingSubmitted() && phase == Phase.RECEIVING ? times.stalledNanos(now) : 0;
  }

  /** Returns whether a large body is being received or discarded. */
  boolean hasUpload() {
    return upload != null;
  }

  /** Returns whether the client's time may be up while its body is still being received. */
  boolean uploadOverdue(long now) {
    return phase == Phase.UPLOADING && upload != null && uploadProgress.isOverdue(now);
  }

  /** Has a request answered whose body its upstream reads too slowly for its client's time. */
  void giveUpUpload() {
    handle.timeUp(submittedId);
  }

  /**
   * Notifies of the accept after this wait in the backlog; bytes that were in the socket by then belong to the first
   * request.
   */
  void accepted(long waitedNanos, boolean bytesCame) {
    unreadWait.accepted(waitedNanos, bytesCame);
  }

  /** Ends a request that was not completed in time. */
  public void timeOut() {
    if (phase == Phase.DISCARDING) {
      close(CloseReason.TOO_SLOW);
      return;
    }
    if (submittedId != null && upload != null) {
      abandonRequest();
    }
    rejectAndClose(408, "the request took too long");
  }

  void abort(CloseReason reason) {
    if (front.guard().mayClose(reason, submittedId)) {
      ctx.close();
    }
  }

  /**
   * Ends a connection without a submitted request. A partly received request is refused: the rest may be in the
   * socket, and its client waits.
   */
  void endUnsubmitted() {
    if (phase == Phase.RECEIVING) {
      bodyOutstanding = true;
      rejectAndClose(503, "nothing more is taken here");
    } else {
      close(CloseReason.STOPPING);
    }
  }

  /** Closes after everything written has been sent: an answer must not be cut short. */
  public void close(CloseReason reason) {
    if (!front.guard().mayClose(reason, submittedId)) {
      return;
    }
    // No longer idle from now on: a connection that is already closing frees no further capacity.
    stopRequests();
    ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  private void stopRequests() {
    noMoreRequests = true;
    if (submittedId == null && phase != Phase.DISCARDING) {
      transitionTo(Phase.CLOSING);
    }
  }

  // Reading

  /** Records a request's first byte; discards bytes that are not read any more and returns false for them. */
  public boolean acceptBytes(ByteBuf bytes) {
    if ((submittedId == null || upload != null) && !noMoreRequests) {
      times.bytesReceived(now());
      if (phase == Phase.IDLE) {
        transitionTo(Phase.RECEIVING);
        recordWait();
      }
      if (phase == Phase.RECEIVING && head == null) {
        memory.headReceived(bytes.readableBytes());
      }
      return true;
    }
    discarded(bytes.readableBytes());
    return false;
  }

  /**
   * Records how long the first bytes on a new connection or after a pause may have waited before they could be read.
   */
  private void recordWait() {
    long now = now();
    if (times.neverAnswered()) {
      unreadWait.firstByteAfterAccept(times.idleNanos(now), front.maxReadDelayNanos());
    } else {
      unreadWait.firstByteAfterAnswer(now);
    }
    unreadWait.begin(front.maxReadDelayNanos() + front.readDelayNanos(ctx.channel()), now);
  }

  /**
   * While a request is incomplete, its unread part may have been in the socket as long as the part that was read, and
   * what came of it is kept.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (phase == Phase.UPLOADING
        && upload != null
        && front.pending(context.channel()) != Sockets.Pending.SOME) {
      uploadProgress.socketEmpty(now());
    }
    if (phase == Phase.RECEIVING && unreadWait.dependsOnSocket()) {
      unreadWait.readEnded(front.pending(context.channel()));
    }
    if (phase == Phase.RECEIVING && !noMoreRequests && !memory.chargeIncomplete(head)) {
      bodyOutstanding = true;
      rejectAndClose(503, "no room for the request");
    }
    context.fireChannelReadComplete();
  }

  /** Discards bytes behind a pending request, which becomes the last one of its connection. */
  private void discarded(int bytes) {
    noMoreRequests = true;
    keepAlive = false;
    discarded += bytes;
    if (discarded > MAX_DISCARDED_BYTES && discardTimer == null) {
      discardTimer = ctx.executor()
          .schedule(
              () -> {
                discardTimer = null;
                discarded = 0;
                updateAutoRead();
              },
              DISCARD_PAUSE_MILLIS,
              TimeUnit.MILLISECONDS);
    }
    updateAutoRead();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message)
      throws IOException {
    if (noMoreRequests) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      rejectAndClose(400, "malformed request");
      return;
    }
    if (message instanceof HttpRequest next) {
      begin(next);
    }
    if (phase == Phase.DISCARDING) {
      discardRest(message);
    } else if (message instanceof HttpContent part && upload != null) {
      forwardChunk(part);
    } else if (message instanceof HttpContent part && head != null) {
      bufferBody(part);
    }
  }

  private void begin(HttpRequest next) {
    if (submittedId != null) {
      // Pipelining: the first request still gets its answer; the rest is discarded with the
      // connection.
      keepAlive = false;
      noMoreRequests = true;
      return;
    }
    transitionTo(Phase.RECEIVING);
    try {
      RequestHead.check(next);
    } catch (ClientRequest.InvalidRequest e) {
      rejectAndClose(e.status, e.getMessage());
      return;
    }
    head = next;
    times.headReceived(now());
    if (!isInternalPath(next.uri())) {
      try {
        handle = front.router().route(new HttpRequestAttributes(front.name(), next));
      } catch (ClientRequest.InvalidRequest e) {
        rejectByHead(e);
        return;
      }
    }
    if (HttpUtil.is100ContinueExpected(next)) {
      writer.sendContinue();
    }
    long length = HttpUtil.getContentLength(next, -1L);
    if (length > Answer.MAX_BUFFERED_BYTES) {
      submitUpload(length);
    }
  }

  /** Buffers a chunk of a body, and submits the request once the body is complete or too large to be buffered. */
  private void bufferBody(HttpContent part) throws IOException {
    boolean admitted = handle == null || handle.reserveBody(part.content().readableBytes());
    if (!admitted || !memory.body().append(part.content())) {
      rejectByHead(new ClientRequest.InvalidRequest(
          503, "no room for the body", admitted ? memoryRetryAfterNanos() : 0));
      discardRest(part);
      return;
    }
    times.received(memory.body().size());
    if (memory.body().size() > Answer.MAX_BUFFERED_BYTES) {
      submitUpload(-1);
      if (phase == Phase.DISCARDING) {
        discardRest(part);
      } else {
        finishUploadIfLast(part);
      }
    } else if (part instanceof LastHttpContent) {
      requestComplete();
    }
  }

  /** How long until stalled bodies have been ended, so that memory is free again; 0 if clients do not heed it. */
  private long memoryRetryAfterNanos() {
    var limits = handle == null ? null : handle.settings().limits();
    return limits == null || !limits.retryAfter()
        ? 0
        : Math.min(ClientLimits.MAX_CHUNK_GAP_NANOS, limits.maxRetryAfterNanos());
  }

  private void requestComplete() {
    HttpRequest request = head;
    head = null;
    keepAlive = HttpUtil.isKeepAlive(request);
    if (isInternalPath(request.uri())) {
      writeAnswer(
          front.ready() || front.isWarmUpPath(request.uri()) ? 200 : 503,
          new byte[0],
          "text/plain",
          0);
      return;
    }
    try {
      submit(request, memory.body().detach(), Phase.SUBMITTED);
    } catch (ClientRequest.InvalidRequest e) {
      submittedId = null;
      writeAnswer(e.status, errorBody(request, e), "text/plain", 0);
      pauseReading();
    }
  }

  /** Submits a request whose body is too large to be buffered; what has arrived so far is kept. */
  private void submitUpload(long length) {
    HttpRequest request = head;
    byte[] kept = memory.body().detach();
    keepAlive = HttpUtil.isKeepAlive(request);
    upload = new Upload(length, kept, this::setUploadFlowing);
    uploadToRelease = upload;
    try {
      if (isInternalPath(request.uri())) {
        throw new ClientRequest.InvalidRequest(413, "no body is wanted here");
      }
      submit(request, new byte[0], Phase.UPLOADING);
    } catch (ClientRequest.InvalidRequest e) {
      submittedId = null;
      head = request;
      rejectByHead(e);
    }
  }

  /** Submits a request to the core, which may answer at once. */
  private void submit(HttpRequest request, byte[] kept, Phase next)
      throws ClientRequest.InvalidRequest {
    ClientRequest submitted = deductWait(
        ClientRequest.of(request, kept, upload, handle.settings(), handle.previousSettings()));
    head = null;
    submittedId = submitted.id();
    transitionTo(next);
    // A client's disconnect must be seen even if its request arrived while reading was paused.
    updateAutoRead();
    if (upload != null) {
      uploadProgress = new UploadProgress(
          upload.length(), submitted.leftNanos() - BalancerCore.ANSWER_MARGIN_NANOS, now());
      upload.setProgress(uploadProgress);
      // No more is accepted before an upstream reads it.
      setUploadFlowing(false);
    }
    if (!handle.submit(submitted, this)) {
      throw new ClientRequest.InvalidRequest(409, "this id is open already");
    }
  }

  /** Deducts from a request's time limit what its client may have waited in the backlog or for the loop. */
  private ClientRequest deductWait(ClientRequest request) {
    long spent = unreadWait.nanosUntilComplete(front.maxReadDelayNanos(), now());
    return spent > 0 ? request.withTimeLeft(request.leftNanos() - spent) : request;
  }

  /** Returns whether the balancer itself answers this path. */
  private boolean isInternalPath(String uri) {
    return uri.equals("/up") || front.isWarmUpPath(uri);
  }

  // Streamed request bodies

  /** Pauses or resumes the upload as its upstream can accept more. */
  private void setUploadFlowing(boolean flowing) {
    if (upload != null) {
      times.setHeld(!flowing, now());
      updateAutoRead();
    }
  }

  private void forwardChunk(HttpContent part) {
    times.received(times.received() + part.content().readableBytes());
    if (times.received() > Answer.MAX_BODY_BYTES) {
      abandonRequest();
      rejectAndClose(413, "body over 32 MiB");
      return;
    }
    uploadProgress.received(times.received(), now());
    if (part instanceof LastHttpContent && uploadOverdue(now())) {
      // The last byte would let the upstream start.
      giveUpUpload();
      if (phase == Phase.DISCARDING) {
        discardRest(part);
        return;
      }
    }
    if (part instanceof LastHttpContent
        && discardUnread(MAX_DISCARDED_BYTES) == Unread.DISCONNECTED) {
      // The client has disconnected; the last byte would let the upstream start.
      return;
    }
    if (part.content().isReadable()) {
      upload.addChunk(part.content().retain());
    }
    finishUploadIfLast(part);
  }

  private void finishUploadIfLast(HttpContent part) {
    if (part instanceof LastHttpContent && upload != null) {
      Upload whole = upload;
      upload = null;
      times.bodyComplete();
      if (phase == Phase.UPLOADING) {
        transitionTo(Phase.SUBMITTED);
      }
      whole.finish();
      updateAutoRead();
    }
  }

  /** Abandons the submitted request: its body will not be completed. */
  private void abandonRequest() {
    String id = submittedId;
    submittedId = null;
    discardBody();
    upload = null;
    handle.clientDisconnected(id);
  }

  private void discardBody() {
    if (uploadToRelease != null) {
      uploadToRelease.discard();
      uploadToRelease = null;
    }
  }

  // Rejected requests

  /** Rejects a request by its head; the connection continues once the rest of its body has been discarded. */
  private void rejectByHead(ClientRequest.InvalidRequest why) {
    keepAlive = HttpUtil.isKeepAlive(head);
    byte[] text = errorBody(head, why);
    head = null;
    transitionTo(Phase.DISCARDING);
    times.discardStarted(now());
    writeAnswer(why.status, text, "text/plain", why.retryAfterNanos);
    pauseAfterDiscard = why.status < 500;
  }

  /** Returns no body for HEAD: the client would read it as the next answer. */
  private static byte[] errorBody(HttpRequest request, ClientRequest.InvalidRequest why) {
    return request.method().equals(HttpMethod.HEAD)
        ? new byte[0]
        : why.getMessage().getBytes(StandardCharsets.UTF_8);
  }

  private void discardRest(HttpObject message) {
    if (message instanceof HttpContent part) {
      times.discarded(part.content().readableBytes());
    }
    if (message instanceof LastHttpContent) {
      transitionTo(Phase.IDLE);
      upload = null;
      times.discardComplete();
      if (lastAnswer) {
        close(CloseReason.LAST_ANSWER);
      } else if (pauseAfterDiscard) {
        // Only now: the rest had to be read to be discarded.
        pauseReading();
      }
    } else if (times.discarded()
        > (upload == null ? Answer.MAX_BUFFERED_BYTES : Answer.MAX_BODY_BYTES)) {
      close(CloseReason.SKIPPED_TOO_MUCH);
    }
  }

  /** Rejects a protocol violation; a request that was already submitted still gets its own, only answer. */
  private void rejectAndClose(int status, String why) {
    keepAlive = false;
    head = null;
    noMoreRequests = true;
    readingStopped = true;
    updateAutoRead();
    if (submittedId == null) {
      writeAnswer(status, why.getBytes(StandardCharsets.UTF_8), "text/plain", 0);
    }
  }

  /** Slows a client that violates the protocol; a disconnect would only make it reconnect at once. */
  private void pauseReading() {
    paused = true;
    unreadWait.paused(now());
    updateAutoRead();
    ctx.executor()
        .schedule(
            () -> {
              paused = false;
              unreadWait.resumed(now());
              updateAutoRead();
            },
            REJECTION_PAUSE_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /**
   * Sets whether the channel is read. All reasons to pause are combined here, or the end of one would lift another.
   */
  private void updateAutoRead() {
    ctx.channel()
        .config()
        .setAutoRead(!readingStopped
            && !times.held()
            && (!paused || submittedId != null)
            && discarded <= MAX_DISCARDED_BYTES
            && (lingerTimer != null || ctx.channel().isWritable()));
  }

  @Override
  public boolean isConnected() {
    // While a body is received or an answer streamed, unread bytes may be part of a message.
    return phase != Phase.SUBMITTED || discardUnread(MAX_DISCARDED_BEFORE_ATTEMPT) == Unread.NONE;
  }

  /** What waits unread in a client's socket behind the submitted request. */
  private enum Unread {
    NONE,
    /** More than was discarded; where it ends is not known. */
    MORE,
    /** The client has disconnected; its request was abandoned. */
    DISCONNECTED
  }

  /** Discards up to this many bytes behind the request, to see whether the client has disconnected. */
  private Unread discardUnread(int maxBytes) {
    int read = front.discardUnread(ctx.channel(), maxBytes);
    if (read > 0) {
      discarded(read);
    }
    if (read != Sockets.CLOSED_BY_PEER) {
      return read < maxBytes ? Unread.NONE : Unread.MORE;
    }
    abandonRequest();
    abort(CloseReason.CLIENT_LEFT);
    return Unread.DISCONNECTED;
  }

  // Answers

  /** Stops reading from a client that does not read its answers. */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    boolean writable = context.channel().isWritable();
    times.setWritable(writable, now());
    updateAutoRead();
    if (answerSource != null) {
      answerSource.flow(writable);
    }
  }

  @Override
  public void served(Answer whole) {
    if (!front.guard().mayAnswer(submittedId)) {
      return;
    }
    // An application error, for which the platform has no status: 4xx, since the request caused
    // it.
    writeAnswer(whole.error() ? 422 : 200, whole.body(), whole.contentType(), 0);
  }

  @Override
  public void refused(long retryAfterNanos) {
    if (!front.guard().mayAnswer(submittedId)) {
      return;
    }
    writeAnswer(429, new byte[0], null, retryAfterNanos);
  }

  @Override
  public void failed() {
    if (!front.guard().mayAnswer(submittedId)) {
      return;
    }
    writeAnswer(502, new byte[0], null, 0);
  }

  private void writeAnswer(int status, byte[] content, String contentType, long retryAfterNanos) {
    lastAnswer = !keepAlive || front.closing();
    answerWritten(writer.writeWhole(status, content, contentType, retryAfterNanos, lastAnswer));
  }

  /** Starts a streamed answer, which is forwarded no faster than the client reads. */
  @Override
  public BodySink beginStream(AnswerStart start, FlowControl source) {
    lastAnswer = !keepAlive || front.closing();
    answerSource = source;
    transitionTo(Phase.STREAMING);
    writer.beginStream(start, lastAnswer);
    return new AnswerSink();
  }

  /** Writes the chunks of a streamed answer. */
  private final class AnswerSink implements BodySink {
    @Override
    public void onChunk(ByteBuf bytes) {
      writer.writeChunk(bytes);
    }

    @Override
    public void onComplete() {
      answerSource = null;
      lastAnswer |= !keepAlive;
      answerWritten(writer.endStream());
    }

    /**
     * Closes without the last chunk, so that the client can detect the truncation. A client that reads gets what was passed on first: with
     * nothing of it, the request would look unanswered.
     */
    @Override
    public void onTruncated() {
      answerSource = null;
      submittedId = null;
      discardBody();
      releaseHandle();
      if (ctx.channel().isWritable()) {
        close(CloseReason.ANSWER_CUT);
      } else {
        transitionTo(Phase.CLOSING);
        abort(CloseReason.ANSWER_CUT);
      }
    }
  }

  /** Called when the last byte of an answer has been written to the channel. */
  private void answerWritten(ChannelFuture written) {
    submittedId = null;
    unreadWait.requestOver();
    memory.release();
    releaseHandle();
    times.answered(now());
    if (upload != null && phase != Phase.DISCARDING) {
      // The rest of the request is read, or the client would write into a closed socket and never
      // see its answer.
      transitionTo(Phase.DISCARDING);
      times.discardStarted(now());
      pauseAfterDiscard = false;
    } else if (lastAnswer && phase != Phase.DISCARDING) {
      transitionTo(Phase.CLOSING);
      noMoreRequests = true;
      readingStopped = true;
      updateAutoRead();
      written.addListener(done -> closeAfterLastAnswer());
    } else if (phase != Phase.DISCARDING) {
      transitionTo(Phase.IDLE);
    }
    discardBody();
    front.becameIdle(this);
  }

  /**
   * Closes after the last answer. A close with unread bytes would reset the connection, and its client might not see
   * the answer: these are discarded first.
   */
  private void closeAfterLastAnswer() {
    boolean quiet = !bodyOutstanding
        && discarded == 0
        && front.discardUnread(ctx.channel(), MAX_DISCARDED_BYTES) <= 0;
    if (quiet || !(ctx.channel() instanceof DuplexChannel duplex)) {
      abort(CloseReason.LAST_ANSWER);
      return;
    }
    duplex.shutdownOutput();
    lingerTimer = ctx.executor()
        .schedule(() -> abort(CloseReason.LAST_ANSWER), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    readingStopped = false;
    updateAutoRead();
  }

  private void releaseHandle() {
    RequestHandle left = handle;
    handle = null;
    if (left != null) {
      left.release();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    front.connectionClosed(this);
    if (discardTimer != null) {
      discardTimer.cancel(false);
    }
    if (lingerTimer != null) {
      lingerTimer.cancel(false);
    }
    discardBody();
    if (submittedId != null) {
      String id = submittedId;
      submittedId = null;
      handle.clientDisconnected(id);
    }
    transitionTo(Phase.CLOSING);
    memory.release();
    releaseHandle();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    front.errors().check(cause);
    if (cause instanceof IOException) {
      abort(CloseReason.BROKEN);
      return;
    }
    // A defect in the handling of this connection must not leave a submitted request unanswered.
    Log.rateLimited(
        "client " + context.channel().remoteAddress() + ", request " + submittedId + ": " + cause);
    if (submittedId == null && phase != Phase.RECEIVING && phase != Phase.IDLE) {
      abort(CloseReason.DEFECT);
    } else {
      rejectAndClose(500, "internal error");
    }
  }
}
