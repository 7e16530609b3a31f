package pumicekeel.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import pumicekeel.call.Answer;
import pumicekeel.call.AnswerStart;
import pumicekeel.call.BodySink;
import pumicekeel.call.Client;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.Facts;
import pumicekeel.call.Flow;
import pumicekeel.call.Upload;
import pumicekeel.core.Lane;
import pumicekeel.runtime.Log;

/** One client connection: reads a request at a time, hands it to the core and writes its answer. */
public final class ClientHandler extends SimpleChannelInboundHandler<HttpObject> implements Client, Facts {

  /** A client that was told of its mistake is not read for so long: it may well ask the same again at full speed. */
  private static final long PENALTY_MILLIS = 500;
  /** What is dropped behind a request that waits, to see its client leave; then reading stops: no flood is read. */
  private static final int MOST_DROPPED = 64 << 10;

  private final ClientSide side;
  private ChannelHandlerContext ctx;
  private HttpRequest head;
  private ByteArrayOutputStream body;
  /** The id of the request that waits for its answer, or null. */
  private String waiting;
  private boolean keepAlive;
  private boolean discarding;
  /** The way of the request that has begun to come or waits; null where none is. */
  private Lane lane;
  /** A request that was turned away at its head: what is left of its body is dropped, and counted. */
  private boolean skipping;
  private long skipSince;
  private boolean penalty;
  private int skipped;
  private long dropped;
  /** The body of a request that was taken before it had come whole; null where there is none that still comes. */
  private Upload upload;
  /** The same until the request is over, also once it has come whole: pieces that nobody took are given back then. */
  private Upload sent;
  private long received;
  private long headAt;
  private long pieceAt;
  /** No more of it is wanted for now, since when. */
  private boolean held;
  private long heldSince;
  /** The client is made to wait for what it did. */
  private boolean resting;
  /** Nothing more is read from it, ever. */
  private boolean deaf;
  /** Where the answer comes from that is being passed on; null where none is. */
  private Flow answer;
  private boolean lastAnswer;
  private long stuckBytes;
  private final long openedAt;
  /** What its client may have waited before it was accepted; counts for its first request. */
  private long waited;
  /** When the last request ended, and when the first byte came of the one that has come in part; 0 for never. */
  private long answeredAt;
  private long partSince;
  /** When the socket took no more of an answer; 0 while it does. */
  private long stuckSince;

  public ClientHandler(ClientSide side) {
    this.side = side;
    openedAt = now();
  }

  void waited(long nanos) {
    waited = nanos;
  }

  /** A request with what is left of its time, of which its client may have spent some in line. */
  private ClientRequest inTime(ClientRequest request) {
    return answeredAt == 0 && waited > 0 ? request.withLeft(request.leftNanos() - waited) : request;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    ctx = context;
  }

  /** Nothing of a request has come that has no answer yet. */
  public boolean idle() {
    return untaken() && partSince == 0;
  }

  /** No whole request has come that has no answer yet, and no last answer is on its way out. */
  public boolean untaken() {
    return waiting == null && !discarding;
  }

  /** A connection on which nothing was ever asked in whole. */
  public boolean neverAsked() {
    return idleOrPart() && answeredAt == 0;
  }

  /** How long nothing has been open on it, since the last answer or the connect. */
  public long idleFor(long now) {
    return now - (answeredAt == 0 ? openedAt : answeredAt);
  }

  /** How long a request has been coming in, counted from the connect for the first one; 0 where none is. */
  public long comingFor(long now) {
    return !idleOrPart() || partSince == 0 ? 0 : now - (answeredAt == 0 ? openedAt : partSince);
  }

  /** How long the rest of a request has been coming in that was turned away at its head; 0 where none is. */
  public long skippingFor(long now) {
    return skipping ? now - Math.max(skipSince, upload == null ? skipSince : pieceAt) : 0;
  }

  /** How long the client has not taken anything of what was written to it. */
  public long stuckFor(long now) {
    if (stuckSince == 0) {
      return 0;
    }
    var buffer = ctx.channel().unsafe().outboundBuffer();
    long waits = buffer == null ? 0 : buffer.totalPendingWriteBytes();
    if (waits != stuckBytes) {
      // A slow reader is none that is stuck.
      stuckBytes = waits;
      stuckSince = now;
    }
    return now - stuckSince;
  }

  /** Whether a request does not come on as fast as it has to. */
  boolean late(long now) {
    if (skipping) {
      return slow(now - skipSince, skipped);
    }
    if (head == null && upload == null) {
      return comingFor(now) > ClientLimits.HEAD_NANOS;
    }
    return !held && (now - pieceAt > ClientLimits.PIECE_NANOS || slow(now - headAt, received));
  }

  private static boolean slow(long nanos, long bytes) {
    return nanos > ClientLimits.BODY_NANOS
        + bytes * TimeUnit.SECONDS.toNanos(1) / ClientLimits.LEAST_BYTES_PER_SECOND;
  }

  /** Whether a body is being dropped that was said to be large. */
  boolean uploads() {
    return upload != null;
  }

  private boolean idleOrPart() {
    return waiting == null && !discarding;
  }

  /** Ends a request that does not come to its end. */
  public void expire() {
    if (skipping) {
      close();
      return;
    }
    if (waiting != null && upload != null) {
      leave();
    }
    reject(408, "the request took too long");
  }

  public void abort() {
    ctx.close();
  }

  /** Notes a request's first byte, and drops what a client sends that is not read any more. */
  public boolean accepts(ByteBuf bytes) {
    if ((waiting == null || upload != null) && !discarding) {
      pieceAt = now();
      partSince = partSince == 0 ? pieceAt : partSince;
      return true;
    }
    discarding = true;
    keepAlive = false;
    dropped += bytes.readableBytes();
    read();
    return false;
  }

  /** Closes once all that was written has gone out: an answer must not be cut short. */
  public void close() {
    // Chosen once: an idle connection whose close is under way makes no more room.
    discarding = true;
    ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
    if (discarding) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      reject(400, "malformed request");
      return;
    }
    if (message instanceof HttpRequest next) {
      begin(next);
    }
    if (skipping) {
      skip(message);
    } else if (message instanceof HttpContent part && upload != null) {
      passOn(part);
    } else if (message instanceof HttpContent part && head != null) {
      if (lane != null && !lane.room(part.content().readableBytes())) {
        turnAway(new ClientRequest.Bad(503, "no room for the body"));
        skip(message);
        return;
      }
      part.content().readBytes(body, part.content().readableBytes());
      received = body.size();
      if (body.size() > Answer.MAX_BODY) {
        takeUpload(-1);
        if (skipping) {
          skip(message);
        } else {
          ended(part);
        }
      } else if (message instanceof LastHttpContent) {
        whole();
      }
    }
  }

  private void begin(HttpRequest next) {
    if (waiting != null) {
      // Pipelining: the first request still gets its answer, the rest is dropped with the connection.
      keepAlive = false;
      discarding = true;
      return;
    }
    try {
      RequestHead.check(next);
    } catch (ClientRequest.Bad e) {
      reject(e.status, e.getMessage());
      return;
    }
    head = next;
    headAt = now();
    pieceAt = headAt;
    received = 0;
    body = new ByteArrayOutputStream();
    if (!isOwn(next.uri())) {
      try {
        lane = side.door().enter(this);
      } catch (ClientRequest.Bad e) {
        turnAway(e);
        return;
      }
    }
    if (HttpUtil.is100ContinueExpected(next)) {
      ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    long length = HttpUtil.getContentLength(next, -1L);
    if (length > Answer.MAX_BODY) {
      takeUpload(length);
    }
  }

  /** Takes a request whose body is too large to be kept; what has come of it by now is. */
  private void takeUpload(long length) {
    HttpRequest request = head;
    byte[] kept = body.toByteArray();
    body = null;
    keepAlive = HttpUtil.isKeepAlive(request);
    upload = new Upload(length, kept, this::hold);
    sent = upload;
    try {
      if (isOwn(request.uri())) {
        throw new ClientRequest.Bad(413, "no body is wanted here");
      }
      ClientRequest taken = inTime(ClientRequest.of(request, new byte[0], upload, lane.settings(), lane.former()));
      head = null;
      waiting = taken.id();
      // Nobody takes more of it before an upstream does.
      hold(false);
      if (!lane.take(taken, this)) {
        throw new ClientRequest.Bad(409, "this id is open already");
      }
    } catch (ClientRequest.Bad e) {
      waiting = null;
      head = request;
      turnAway(e);
    }
  }

  /** The upstream of an upload takes more of it, or does not. */
  private void hold(boolean on) {
    if (upload == null) {
      return;
    }
    long now = now();
    if (held && on) {
      headAt += now - heldSince;
      pieceAt = now;
    } else if (!held && !on) {
      heldSince = now;
    }
    held = !on;
    read();
  }

  private void passOn(HttpContent part) {
    received += part.content().readableBytes();
    if (received > Answer.MOST_BODY) {
      leave();
      reject(413, "body over 32 MiB");
      return;
    }
    if (part.content().isReadable()) {
      upload.piece(part.content().retain());
    }
    ended(part);
  }

  private void ended(HttpContent part) {
    if (part instanceof LastHttpContent && upload != null) {
      Upload whole = upload;
      upload = null;
      held = false;
      whole.end();
      read();
    }
  }

  /** Gives up the request that was taken: it will not come whole. */
  private void leave() {
    String id = waiting;
    waiting = null;
    dropBody();
    upload = null;
    lane.gone(id);
  }

  private void dropBody() {
    if (sent != null) {
      sent.drop();
      sent = null;
    }
  }

  /** Reads where reading is of use: one place decides, or one reason to wait would be lifted by another's end. */
  private void read() {
    ctx.channel().config().setAutoRead(!deaf && !held && !resting && dropped <= MOST_DROPPED
        && ctx.channel().isWritable());
  }

  /** Whether a path is the balancer's own. */
  private boolean isOwn(String uri) {
    return uri.equals("/up") || side.warmsUpAt(uri);
  }

  /** Answers a request at once, by its head; the connection goes on once the rest of its body was dropped. */
  private void turnAway(ClientRequest.Bad why) {
    keepAlive = HttpUtil.isKeepAlive(head);
    // No body to an answer to HEAD: it would be taken for the next answer.
    String text = head.method().equals(HttpMethod.HEAD) ? "" : why.getMessage();
    head = null;
    skipping = true;
    skipSince = now();
    skipped = 0;
    write(why.status, text.getBytes(StandardCharsets.UTF_8), "text/plain", why.retryAfterNanos);
    penalty = why.status < 500;
  }

  private void skip(HttpObject message) {
    skipped += message instanceof HttpContent part ? part.content().readableBytes() : 0;
    if (message instanceof LastHttpContent) {
      skipping = false;
      upload = null;
      partSince = 0;
      if (lastAnswer) {
        close();
      } else if (penalty) {
        // Only now: what is not read could not be dropped.
        pause();
      }
    } else if (skipped > (upload == null ? Answer.MAX_BODY : Answer.MOST_BODY)) {
      close();
    }
  }

  /** Reads no more from a client that breaks the protocol: what it sends must not fill the memory. */
  private void discard() {
    discarding = true;
    deaf = true;
    read();
  }

  private void whole() {
    HttpRequest request = head;
    head = null;
    keepAlive = HttpUtil.isKeepAlive(request);
    if (isOwn(request.uri())) {
      write(side.ready() || side.warmsUpAt(request.uri()) ? 200 : 503, new byte[0], "text/plain", 0);
      return;
    }
    try {
      ClientRequest taken = inTime(ClientRequest.of(request, body.toByteArray(), null, lane.settings(), lane.former()));
      waiting = taken.id();
      if (!lane.take(taken, this)) {
        waiting = null;
        throw new ClientRequest.Bad(409, "this id is open already");
      }
    } catch (ClientRequest.Bad e) {
      // No body to an answer to HEAD: it would be taken for the next answer.
      String why = request.method().equals(HttpMethod.HEAD) ? "" : e.getMessage();
      write(e.status, why.getBytes(StandardCharsets.UTF_8), "text/plain", 0);
      pause();
    }
  }

  /** Slows a client that breaks the protocol; ending its connection would only bring it back at once. */
  private void pause() {
    resting = true;
    read();
    ctx.executor().schedule(() -> {
      resting = false;
      read();
    }, PENALTY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Reads nothing from a client that does not take its answers. */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    boolean takes = context.channel().isWritable();
    stuckSince = takes ? 0 : now();
    read();
    if (answer != null) {
      answer.flow(takes);
    }
  }

  /** Answers what breaks the protocol; a request that is taken already keeps its own, only answer. */
  private void reject(int status, String why) {
    keepAlive = false;
    head = null;
    discard();
    if (waiting == null) {
      write(status, why.getBytes(StandardCharsets.UTF_8), "text/plain", 0);
    }
  }

  @Override
  public void served(Answer answer) {
    // A definite answer of the application's own, which the platform has no status for: 4xx, as the request is at fault.
    write(answer.error() ? 422 : 200, answer.body(), answer.contentType(), 0);
  }

  /** An answer that is too large to be kept begins: passes it on as it comes, and no faster than the client reads. */
  @Override
  public BodySink begin(AnswerStart start, Flow source) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    if (start.length() < 0) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, start.length());
    }
    if (start.contentType() != null) {
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, start.contentType());
    }
    lastAnswer = !keepAlive || side.closing();
    if (lastAnswer) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    answer = source;
    ctx.write(response);
    return new Pieces();
  }

  /** What comes of an answer that is passed on. */
  private final class Pieces implements BodySink {
    @Override
    public void piece(ByteBuf bytes) {
      // The channel tells by its writability when its source has to wait.
      ctx.writeAndFlush(new DefaultHttpContent(bytes));
    }

    @Override
    public void whole() {
      answer = null;
      lastAnswer |= !keepAlive;
      over(ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /** Ended without its last piece, so that the client can tell. */
    @Override
    public void cut() {
      answer = null;
      waiting = null;
      dropBody();
      leaveLane();
      ctx.close();
    }
  }

  /** The last byte of an answer is on its way. */
  private void over(ChannelFuture written) {
    waiting = null;
    leaveLane();
    partSince = 0;
    answeredAt = now();
    if (upload != null && !skipping) {
      // What is left of the request is read, or the client would write into a closed socket and never see its answer.
      skipping = true;
      skipSince = answeredAt;
      skipped = 0;
      penalty = false;
    } else if (lastAnswer && !skipping) {
      discard();
      written.addListener(ChannelFutureListener.CLOSE);
    }
    dropBody();
    side.becameIdle(this);
  }

  @Override
  public void refused(long retryAfterNanos) {
    write(429, new byte[0], null, retryAfterNanos);
  }

  @Override
  public void failed() {
    write(502, new byte[0], null, 0);
  }

  private void write(int status, byte[] content, String contentType, long retryAfterNanos) {
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
        Unpooled.wrappedBuffer(content));
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    if (contentType != null) {
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    }
    if (retryAfterNanos > 0) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, BigDecimal.valueOf(retryAfterNanos / 1_000_000, 3).toPlainString());
    }
    lastAnswer = !keepAlive || side.closing();
    if (lastAnswer) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    over(ctx.writeAndFlush(response));
  }

  private long now() {
    return side.clock().now();
  }

  private void leaveLane() {
    Lane left = lane;
    lane = null;
    if (left != null) {
      left.leave();
    }
  }

  // ---- What a route may ask for -------------------------------------------------------------------------

  @Override
  public String listener() {
    return side.name();
  }

  @Override
  public String host() {
    return head.headers().get(HttpHeaderNames.HOST);
  }

  @Override
  public String path() {
    int query = head.uri().indexOf('?');
    return query < 0 ? head.uri() : head.uri().substring(0, query);
  }

  @Override
  public String method() {
    return head.method().name();
  }

  @Override
  public String className() {
    return head.headers().get("X-Service-Class");
  }

  @Override
  public String header(String name) {
    return head.headers().get(name);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    side.closed(this);
    dropBody();
    if (waiting != null) {
      String id = waiting;
      waiting = null;
      lane.gone(id);
    }
    leaveLane();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Log.caused("client " + context.channel().remoteAddress() + ": " + cause);
    }
    context.close();
  }
}
