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
import java.io.ByteArrayOutputStream;
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
import pumicekeel.core.RequestHandle;
import pumicekeel.guard.CloseReason;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Sockets;

/**
 * One client connection: reads a request at a time, hands it to the core and passes its answer on. Where it stands is its {@link Phase},
 * its limits are {@link ClientTimes}, the form of answers is {@link AnswerWriter}'s.
 */
public final class ClientHandler extends SimpleChannelInboundHandler<HttpObject> implements Client {

  /** A client that was told of its mistake is not read for so long: it may well ask the same again at full speed. */
  private static final long PENALTY_MILLIS = 500;
  /** What is read so shortly after a rest has waited for its end. */
  private static final long JUST_RESTED_NANOS = 20_000_000L;
  /** What is read so shortly after the accept, beside the loop's own lag, may have stood in the socket before it. */
  private static final long JUST_OPENED_NANOS = 60_000_000L;
  /** What is dropped at a time behind a request that waits, to see its client leave; then reading rests for so long. A flood
   * of a megabyte is through within 0.2 s, and no client's takes more than a hundredth of the loop's time. */
  private static final int MOST_DROPPED = 64 << 10;

  private static final long DROPS_EVERY_MILLIS = 10;
  /** What is dropped at once, right before an attempt, to see whether the client has left behind it: some milliseconds of the loop. */
  private static final int MOST_DROPPED_BEFORE_ATTEMPT = 1 << 20;
  /** One that has its last answer and still sends has so long to read it and go. */
  private static final long PARTING_MILLIS = 300;

  private final HttpFront side;
  private final ClientTimes times;
  private ChannelHandlerContext ctx;
  private AnswerWriter out;
  private Phase phase = Phase.IDLE;
  /** Nothing is read into requests any more, though one may still wait for its answer. */
  private boolean ends;
  /** The request that is coming in, until it is taken. */
  private HttpRequest head;

  private ByteArrayOutputStream body;
  /** The id of the request that the core has, or null. */
  private String taken;
  /** The way of the request that has begun to come or is taken; null where none is. */
  private RequestHandle handle;
  /** The body of a request that was taken before it had come whole; null where there is none that still comes. */
  private Upload upload;
  /** The same until the request is over, also once it has come whole: pieces that nobody took are given back then. */
  private Upload sent;
  /** Where the answer comes from that is being passed on; null where none is. */
  private FlowControl answer;

  private boolean keepAlive;
  private boolean lastAnswer;
  /** Why its client has to wait, once what it did wrong has been dropped. */
  private boolean penalty;
  /** The client is made to wait for what it did. */
  private boolean resting;
  /** Nothing more is read from it, ever. */
  private boolean deaf;
  /** A request was refused before it had come whole: its client still sends. */
  private boolean restDue;

  private long dropped;
  private ScheduledFuture<?> drops;
  private ScheduledFuture<?> parting;
  /** What its client may have waited unread, in the line before it was accepted or while the connection rested; counts for the next request. */
  private long waited;

  private boolean cameBeforeOpening;
  /** When the first byte of the request that comes was read. */
  private long cameAt;

  private Stood stood = Stood.ALL;
  private long restSince;
  private long restedAt;

  public ClientHandler(HttpFront side) {
    this.side = side;
    times = new ClientTimes(now());
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    ctx = context;
    out = new AnswerWriter(context);
  }

  private long now() {
    return side.clock().now();
  }

  private void become(Phase next) {
    if (!phase.mayBecome(next)) {
      Log.caused("defect of a client's connection: " + phase + " became " + next);
    }
    phase = next;
  }

  // What its side asks

  /** Nothing of a request has come that has no answer yet. */
  public boolean idle() {
    return untaken() && !times.partCame();
  }

  /** Nothing waits unread in its socket either. Asked right before a close: a request may have come while the loop was busy. */
  boolean atRest() {
    return side.pending(ctx.channel()) != Sockets.Pending.SOME;
  }

  /** No whole request has come that has no answer yet, and no last answer is on its way out. */
  public boolean untaken() {
    return taken == null && !ends;
  }

  /** A connection on which nothing was ever asked in whole. */
  public boolean neverAsked() {
    return untaken() && times.neverAnswered();
  }

  /** How long nothing has been open on it, since the last answer or the connect. */
  public long idleFor(long now) {
    return times.idleFor(now);
  }

  /** How long a request has been coming in, counted from the connect for the first one; 0 where none is. */
  public long comingFor(long now) {
    return untaken() ? times.comingFor(now) : 0;
  }

  /** How long the rest of a request has been coming in that was turned away at its head; 0 where none is. */
  public long skippingFor(long now) {
    return phase == Phase.SKIPPING ? times.skippingFor(now, uploads()) : 0;
  }

  /** How long the client has not taken anything of what was written to it. */
  public long stuckFor(long now) {
    var buffer = ctx.channel().unsafe().outboundBuffer();
    return times.stuckFor(now, buffer == null ? 0 : buffer.totalPendingWriteBytes());
  }

  /** Whether a request does not come on as fast as it has to. */
  boolean late(long now) {
    if (phase == Phase.SKIPPING) {
      return times.skipLate(now);
    }
    return head == null && upload == null
        ? comingFor(now) > ClientLimits.HEAD_NANOS
        : times.bodyLate(now);
  }

  /** Whether a body is being dropped that was said to be large. */
  boolean uploads() {
    return upload != null;
  }

  /** Accepted after so long in line; where bytes stood in its socket by then they are its first request's. */
  void opened(long waitedNanos, boolean bytesCame) {
    waited = waitedNanos;
    cameBeforeOpening = bytesCame;
  }

  /** Ends a request that does not come to its end. */
  public void expire() {
    if (phase == Phase.SKIPPING) {
      close(CloseReason.TOO_SLOW);
      return;
    }
    if (taken != null && upload != null) {
      leave();
    }
    reject(408, "the request took too long");
  }

  void abort(CloseReason reason) {
    if (side.guard().mayClose(reason, taken)) {
      ctx.close();
    }
  }

  /** Ends a connection that owes no answer. A request that has come in part is refused: its rest may be in the socket, and its client waits. */
  void endUntaken() {
    if (phase == Phase.COMING) {
      restDue = true;
      reject(503, "nothing more is taken here");
    } else {
      close(CloseReason.STOPPING);
    }
  }

  /** Closes once all that was written has gone out: an answer must not be cut short. */
  public void close(CloseReason reason) {
    if (!side.guard().mayClose(reason, taken)) {
      return;
    }
    // Chosen once: an idle connection whose close is under way makes no more room.
    end();
    ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  private void end() {
    ends = true;
    if (taken == null && phase != Phase.SKIPPING) {
      become(Phase.ENDING);
    }
  }

  // Reading

  /** Notes a request's first byte, and drops what a client sends that is not read any more. */
  public boolean accepts(ByteBuf bytes) {
    if ((taken == null || upload != null) && !ends) {
      times.bytesCame(now());
      if (phase == Phase.IDLE) {
        become(Phase.COMING);
        noteWaiting();
      }
      return true;
    }
    dropped(bytes.readableBytes());
    return false;
  }

  /** What comes first, on a new connection or after a rest, may have waited all the while before it could be read. */
  private void noteWaiting() {
    if (times.neverAnswered()) {
      long since = times.idleFor(now());
      boolean stoodBefore = cameBeforeOpening || since < JUST_OPENED_NANOS + side.behindNanos();
      waited = stoodBefore ? waited + since : 0;
    } else if (restedAt != 0 && now() - restedAt < JUST_RESTED_NANOS) {
      waited = restedAt - restSince;
    }
    restedAt = 0;
    cameAt = now();
    stood = Stood.ALL;
    waited = Math.max(waited, side.behindNanos() + side.readDelayNanos(ctx.channel()));
  }

  /** What was not read of a request that is not whole may have stood there as long as what was. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (phase == Phase.COMING && stood != Stood.NOT) {
      stood = switch (side.pending(context.channel())) {
        case NONE -> Stood.NOT;
        case SOME -> stood;
        case UNKNOWN -> Stood.UNKNOWN;
      };
    }
    context.fireChannelReadComplete();
  }

  /** How long the last byte of a request that is whole now may have waited in line and in its socket. */
  private long waitedNanos() {
    long inSocket = switch (stood) {
      case ALL -> waited + now() - cameAt;
      case UNKNOWN -> waited;
      case NOT -> 0;
    };
    return Math.max(inSocket, side.behindNanos());
  }

  /** So many bytes came behind a request that still waits: it is the last one of its connection. */
  private void dropped(int bytes) {
    ends = true;
    keepAlive = false;
    dropped += bytes;
    if (dropped > MOST_DROPPED && drops == null) {
      drops = ctx.executor()
          .schedule(
              () -> {
                drops = null;
                dropped = 0;
                read();
              },
              DROPS_EVERY_MILLIS,
              TimeUnit.MILLISECONDS);
    }
    read();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message)
      throws IOException {
    if (ends) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      reject(400, "malformed request");
      return;
    }
    if (message instanceof HttpRequest next) {
      begin(next);
    }
    if (phase == Phase.SKIPPING) {
      skip(message);
    } else if (message instanceof HttpContent part && upload != null) {
      passOn(part);
    } else if (message instanceof HttpContent part && head != null) {
      keep(part);
    }
  }

  private void begin(HttpRequest next) {
    if (taken != null) {
      // Pipelining: the first request still gets its answer, the rest is dropped with the
      // connection.
      keepAlive = false;
      ends = true;
      return;
    }
    become(Phase.COMING);
    try {
      RequestHead.check(next);
    } catch (ClientRequest.InvalidRequest e) {
      reject(e.status, e.getMessage());
      return;
    }
    head = next;
    times.headCame(now());
    body = new ByteArrayOutputStream();
    if (!isOwn(next.uri())) {
      try {
        handle = side.router().route(new HttpRequestAttributes(side.name(), next));
      } catch (ClientRequest.InvalidRequest e) {
        turnAway(e);
        return;
      }
    }
    if (HttpUtil.is100ContinueExpected(next)) {
      out.goOn();
    }
    long length = HttpUtil.getContentLength(next, -1L);
    if (length > Answer.MAX_BUFFERED_BYTES) {
      takeUpload(length);
    }
  }

  /** Keeps a piece of a body, and takes the request once that has come whole or grown too large. */
  private void keep(HttpContent part) throws IOException {
    if (handle != null && !handle.reserveBody(part.content().readableBytes())) {
      turnAway(new ClientRequest.InvalidRequest(503, "no room for the body"));
      skip(part);
      return;
    }
    part.content().readBytes(body, part.content().readableBytes());
    times.received(body.size());
    if (body.size() > Answer.MAX_BUFFERED_BYTES) {
      takeUpload(-1);
      if (phase == Phase.SKIPPING) {
        skip(part);
      } else {
        pieceOver(part);
      }
    } else if (part instanceof LastHttpContent) {
      whole();
    }
  }

  private void whole() {
    HttpRequest request = head;
    head = null;
    keepAlive = HttpUtil.isKeepAlive(request);
    if (isOwn(request.uri())) {
      write(
          side.ready() || side.warmsUpAt(request.uri()) ? 200 : 503, new byte[0], "text/plain", 0);
      return;
    }
    try {
      take(request, body.toByteArray(), Phase.TAKEN);
    } catch (ClientRequest.InvalidRequest e) {
      taken = null;
      write(e.status, reason(request, e), "text/plain", 0);
      pause();
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
        throw new ClientRequest.InvalidRequest(413, "no body is wanted here");
      }
      take(request, new byte[0], Phase.UPLOADING);
    } catch (ClientRequest.InvalidRequest e) {
      taken = null;
      head = request;
      turnAway(e);
    }
  }

  /** Hands a request to the core, which may answer at once. */
  private void take(HttpRequest request, byte[] kept, Phase as)
      throws ClientRequest.InvalidRequest {
    ClientRequest next = inTime(
        ClientRequest.of(request, kept, upload, handle.settings(), handle.previousSettings()));
    head = null;
    taken = next.id();
    become(as);
    // One that came while its connection rests may not wait unseen.
    read();
    if (upload != null) {
      // Nobody takes more of it before an upstream does.
      hold(false);
    }
    if (!handle.submit(next, this)) {
      throw new ClientRequest.InvalidRequest(409, "this id is open already");
    }
  }

  /** A request with what is left of its time, of which its client may have spent some in line or while the loop was behind. */
  private ClientRequest inTime(ClientRequest request) {
    long spent = waitedNanos();
    return spent > 0 ? request.withTimeLeft(request.leftNanos() - spent) : request;
  }

  /** Whether a path is the balancer's own. */
  private boolean isOwn(String uri) {
    return uri.equals("/up") || side.warmsUpAt(uri);
  }

  // A body that is passed on while it comes

  /** The upstream of an upload takes more of it, or does not. */
  private void hold(boolean on) {
    if (upload != null) {
      times.hold(!on, now());
      read();
    }
  }

  private void passOn(HttpContent part) {
    times.received(times.received() + part.content().readableBytes());
    if (times.received() > Answer.MAX_BODY_BYTES) {
      leave();
      reject(413, "body over 32 MiB");
      return;
    }
    if (part instanceof LastHttpContent && dropUnread(MOST_DROPPED) == Unread.END) {
      // Its last byte would have the upstream begin.
      return;
    }
    if (part.content().isReadable()) {
      upload.addChunk(part.content().retain());
    }
    pieceOver(part);
  }

  private void pieceOver(HttpContent part) {
    if (part instanceof LastHttpContent && upload != null) {
      Upload whole = upload;
      upload = null;
      times.bodyCame();
      if (phase == Phase.UPLOADING) {
        become(Phase.TAKEN);
      }
      whole.finish();
      read();
    }
  }

  /** Gives up the request that was taken: it will not come whole. */
  private void leave() {
    String id = taken;
    taken = null;
    dropBody();
    upload = null;
    handle.clientDisconnected(id);
  }

  private void dropBody() {
    if (sent != null) {
      sent.discard();
      sent = null;
    }
  }

  // A request that is not taken

  /** Answers a request at once, by its head; the connection goes on once the rest of its body was dropped. */
  private void turnAway(ClientRequest.InvalidRequest why) {
    keepAlive = HttpUtil.isKeepAlive(head);
    byte[] text = reason(head, why);
    head = null;
    become(Phase.SKIPPING);
    times.skips(now());
    write(why.status, text, "text/plain", why.retryAfterNanos);
    penalty = why.status < 500;
  }

  /** No body to an answer to HEAD: it would be taken for the next answer. */
  private static byte[] reason(HttpRequest request, ClientRequest.InvalidRequest why) {
    return request.method().equals(HttpMethod.HEAD)
        ? new byte[0]
        : why.getMessage().getBytes(StandardCharsets.UTF_8);
  }

  private void skip(HttpObject message) {
    if (message instanceof HttpContent part) {
      times.skipped(part.content().readableBytes());
    }
    if (message instanceof LastHttpContent) {
      become(Phase.IDLE);
      upload = null;
      times.skippedAll();
      if (lastAnswer) {
        close(CloseReason.LAST_ANSWER);
      } else if (penalty) {
        // Only now: what is not read could not be dropped.
        pause();
      }
    } else if (times.skipped()
        > (upload == null ? Answer.MAX_BUFFERED_BYTES : Answer.MAX_BODY_BYTES)) {
      close(CloseReason.SKIPPED_TOO_MUCH);
    }
  }

  /** Answers what breaks the protocol; a request that is taken already keeps its own, only answer. */
  private void reject(int status, String why) {
    keepAlive = false;
    head = null;
    ends = true;
    deaf = true;
    read();
    if (taken == null) {
      write(status, why.getBytes(StandardCharsets.UTF_8), "text/plain", 0);
    }
  }

  /** Slows a client that breaks the protocol; ending its connection would only bring it back at once. */
  private void pause() {
    resting = true;
    restSince = now();
    read();
    ctx.executor()
        .schedule(
            () -> {
              resting = false;
              restedAt = now();
              read();
            },
            PENALTY_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** Reads where reading is of use: one place decides, or one reason to wait would be lifted by another's end. */
  private void read() {
    ctx.channel()
        .config()
        .setAutoRead(!deaf
            && !times.held()
            && (!resting || taken != null)
            && dropped <= MOST_DROPPED
            && (parting != null || ctx.channel().isWritable()));
  }

  @Override
  public boolean isConnected() {
    // While a body comes or an answer passes, what waits unread may be part of a message.
    return phase != Phase.TAKEN || dropUnread(MOST_DROPPED_BEFORE_ATTEMPT) == Unread.NONE;
  }

  /** Whether the rest of a request may have stood in its socket while its beginning was read. */
  private enum Stood {
    /** It never was seen empty since. */
    ALL,
    /** Nobody can tell. */
    UNKNOWN,
    /** It was: what came later has not waited since. */
    NOT
  }

  /** What stands in a client's socket behind the request that is taken. */
  private enum Unread {
    NONE,
    /** More than was dropped; where it ends is not known. */
    MORE,
    /** The client has left: its request is given up. */
    END
  }

  /** Drops what a client has sent behind its request, so many bytes at most, to see whether it has left since. */
  private Unread dropUnread(int most) {
    int read = side.drop(ctx.channel(), most);
    if (read > 0) {
      dropped(read);
    }
    if (read != Sockets.CLOSED_BY_PEER) {
      return read < most ? Unread.NONE : Unread.MORE;
    }
    leave();
    abort(CloseReason.CLIENT_LEFT);
    return Unread.END;
  }

  // Answers

  /** Reads nothing from a client that does not take its answers. */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    boolean takes = context.channel().isWritable();
    times.takes(takes, now());
    read();
    if (answer != null) {
      answer.flow(takes);
    }
  }

  @Override
  public void served(Answer whole) {
    if (!side.guard().mayAnswer(taken)) {
      return;
    }
    // A definite answer of the application's own, which the platform has no status for: 4xx, as the
    // request is at fault.
    write(whole.error() ? 422 : 200, whole.body(), whole.contentType(), 0);
  }

  @Override
  public void refused(long retryAfterNanos) {
    if (!side.guard().mayAnswer(taken)) {
      return;
    }
    write(429, new byte[0], null, retryAfterNanos);
  }

  @Override
  public void failed() {
    if (!side.guard().mayAnswer(taken)) {
      return;
    }
    write(502, new byte[0], null, 0);
  }

  private void write(int status, byte[] content, String contentType, long retryAfterNanos) {
    lastAnswer = !keepAlive || side.closing();
    over(out.whole(status, content, contentType, retryAfterNanos, lastAnswer));
  }

  /** An answer that is too large to be kept begins: passes it on as it comes, and no faster than the client reads. */
  @Override
  public BodySink beginStream(AnswerStart start, FlowControl source) {
    lastAnswer = !keepAlive || side.closing();
    answer = source;
    become(Phase.PASSING);
    out.begin(start, lastAnswer);
    return new Pieces();
  }

  /** What comes of an answer that is passed on. */
  private final class Pieces implements BodySink {
    @Override
    public void onChunk(ByteBuf bytes) {
      out.piece(bytes);
    }

    @Override
    public void onComplete() {
      answer = null;
      lastAnswer |= !keepAlive;
      over(out.end());
    }

    /** Ended without its last piece, so that the client can tell. */
    @Override
    public void onTruncated() {
      answer = null;
      taken = null;
      become(Phase.ENDING);
      dropBody();
      leaveLane();
      abort(CloseReason.ANSWER_CUT);
    }
  }

  /** The last byte of an answer is on its way. */
  private void over(ChannelFuture written) {
    taken = null;
    waited = 0;
    leaveLane();
    times.answered(now());
    if (upload != null && phase != Phase.SKIPPING) {
      // What is left of the request is read, or the client would write into a closed socket and
      // never see its answer.
      become(Phase.SKIPPING);
      times.skips(now());
      penalty = false;
    } else if (lastAnswer && phase != Phase.SKIPPING) {
      become(Phase.ENDING);
      ends = true;
      deaf = true;
      read();
      written.addListener(done -> part());
    } else if (phase != Phase.SKIPPING) {
      become(Phase.IDLE);
    }
    dropBody();
    side.becameIdle(this);
  }

  /** A close with anything unread would reset the connection, and its client might not see its answer: then that is dropped first. */
  private void part() {
    boolean quiet = !restDue && dropped == 0 && side.drop(ctx.channel(), MOST_DROPPED) <= 0;
    if (quiet || !(ctx.channel() instanceof DuplexChannel both)) {
      abort(CloseReason.LAST_ANSWER);
      return;
    }
    both.shutdownOutput();
    parting = ctx.executor()
        .schedule(() -> abort(CloseReason.LAST_ANSWER), PARTING_MILLIS, TimeUnit.MILLISECONDS);
    deaf = false;
    read();
  }

  private void leaveLane() {
    RequestHandle left = handle;
    handle = null;
    if (left != null) {
      left.release();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    side.closed(this);
    if (drops != null) {
      drops.cancel(false);
    }
    if (parting != null) {
      parting.cancel(false);
    }
    dropBody();
    if (taken != null) {
      String id = taken;
      taken = null;
      handle.clientDisconnected(id);
    }
    become(Phase.ENDING);
    leaveLane();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof IOException) {
      abort(CloseReason.BROKEN);
      return;
    }
    // A defect of this connection's handling is no reason to leave what was taken unanswered.
    Log.caused("client " + context.channel().remoteAddress() + ", request " + taken + ": " + cause);
    if (taken == null && phase != Phase.COMING && phase != Phase.IDLE) {
      abort(CloseReason.DEFECT);
    } else {
      reject(500, "internal error");
    }
  }
}
