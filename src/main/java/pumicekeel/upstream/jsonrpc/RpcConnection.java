package pumicekeel.upstream.jsonrpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import pumicekeel.Balancer.Status;
import pumicekeel.call.Answer;
import pumicekeel.call.ClientRequest;
import pumicekeel.guard.AttemptEnd;
import pumicekeel.jsonrpc.Frame;
import pumicekeel.jsonrpc.FrameDecoder;
import pumicekeel.jsonrpc.Id;
import pumicekeel.jsonrpc.Limits;
import pumicekeel.jsonrpc.Message;
import pumicekeel.jsonrpc.MessageReader;
import pumicekeel.jsonrpc.MessageWriter;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;

/**
 * A connection to a JSON-RPC server. Ids increase and are never reused, so a late answer can't match another call. An answer
 * with an id that was never sent means that ids may be mixed up: the connection is closed and nothing more on it is trusted.
 */
final class RpcConnection extends SimpleChannelInboundHandler<Frame> {

  /** The largest answer of the protocol plus its envelope. */
  private static final int MAX_FRAME_BYTES = Answer.MAX_BUFFERED_BYTES + 1024;

  private static final Limits LIMITS = new Limits(MAX_FRAME_BYTES, Limits.MAX_DEPTH, 1);
  private static final MessageReader READER = new MessageReader(LIMITS);
  /** Silence within an answer after which its connection takes no new calls and its open calls may be sent elsewhere. */
  private static final long SUSPICION_MILLIS = 300;
  /** Silence within an answer that ends its connection: the longest deadline, so that calls within it end by their own time-outs. */
  private static final long MAX_SILENCE_MILLIS = 3_000;
  /**
   * If a call is not written within this time, the server does not read. No call may be sent after the drain grace, and the core sends
   * until 200 ms before its end.
   */
  private static final long WRITE_TIMEOUT_MILLIS = 150;

  private record Waiting(RpcAttempt attempt, ClientRequest request, BooleanSupplier maySend) {}

  private final RpcLink link;
  private final Reactor reactor;
  private final ServerSettings settings;
  private final FrameDecoder decoder;
  private final Map<Long, RpcAttempt> open = new HashMap<>();
  /** Ids of abandoned calls that may still be answered. */
  private final Set<Long> abandoned = new HashSet<>();

  private final List<Waiting> waiting = new ArrayList<>(1);
  /** Ids of calls whose last byte is not written yet, oldest first. */
  private final ArrayDeque<Long> unwritten = new ArrayDeque<>();

  private ChannelFuture connecting;
  private Channel channel;
  private long lastId;
  private long frames;
  private long idleSince;
  private long lastArrivalAt;
  private boolean suspected;
  private ScheduledFuture<?> answerTimer;
  private ScheduledFuture<?> writeTimer;
  private boolean flushScheduled;
  private int openCallsAtFailure;
  private boolean retired;
  private boolean closed;

  RpcConnection(RpcLink link, ServerSettings settings, Reactor reactor) {
    this.link = link;
    this.reactor = reactor;
    idleSince = reactor.clock().now();
    this.settings = settings;
    decoder = new FrameDecoder(settings.framing(), LIMITS, () -> true);
  }

  ChannelHandler pipeline() {
    return new ChannelInitializer<Channel>() {
      @Override
      protected void initChannel(Channel c) {
        c.pipeline().addLast(decoder, RpcConnection.this);
      }
    };
  }

  void connecting(ChannelFuture future) {
    connecting = future;
    future.addListener(done -> {
      if (done.isSuccess()) {
        opened(future.channel());
      } else {
        fail(AttemptEnd.NOT_CONNECTED, "not connected");
      }
    });
  }

  private void opened(Channel connected) {
    if (closed) {
      connected.close();
      return;
    }
    channel = connected;
    List<Waiting> first = List.copyOf(waiting);
    waiting.clear();
    first.forEach(w -> write(w.attempt(), w.request(), w.maySend()));
    closeIfRetired();
  }

  // Capacity

  int callCount() {
    return open.size() + waiting.size();
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns whether another call may be sent; abandoned calls count, as the server may still be working on them. */
  boolean acceptsCalls() {
    if (closed || retired || callCount() + abandoned.size() >= settings.callsPerConnection()) {
      return false;
    }
    if (channel == null) {
      return true;
    }
    if (open.isEmpty() && abandoned.isEmpty() && !reactor.sockets().isQuiet(channel)) {
      // Closed by the server, or unsolicited input that the event loop has not processed yet.
      close();
      return false;
    }
    return channel.isWritable();
  }

  boolean idle() {
    return !closed && channel != null && open.isEmpty() && waiting.isEmpty();
  }

  long idleSince() {
    return idleSince;
  }

  long frames() {
    return frames;
  }

  /** Returns whether it had served earlier calls, had only this one open when it failed, and received nothing since its send. */
  boolean wasReusedAndSilent(long id, long framesAtSend) {
    return id > 1 && openCallsAtFailure == 1 && frames == framesAtSend;
  }

  // Sending

  void send(RpcAttempt attempt, ClientRequest request, BooleanSupplier maySend) {
    if (closed) {
      attempt.end(AttemptEnd.NOT_CONNECTED, Status.CONNECT_FAILED, null);
    } else if (channel == null) {
      waiting.add(new Waiting(attempt, request, maySend));
    } else {
      write(attempt, request, maySend);
    }
  }

  private void write(RpcAttempt attempt, ClientRequest request, BooleanSupplier maySend) {
    if (!attempt.inFlight()) {
      return;
    }
    if (closed || !channel.isActive()) {
      attempt.end(AttemptEnd.NOT_CONNECTED, Status.CONNECT_FAILED, null);
      return;
    }
    if (!maySend.getAsBoolean()) {
      attempt.end(AttemptEnd.DENIED, Status.NOT_SENT, null);
      return;
    }
    long id = ++lastId;
    byte[] message;
    try {
      Message.Call call = HttpCallTranslator.toCall(request, settings);
      message = MessageWriter.call(Id.of(id), call.method(), call.params());
    } catch (HttpCallTranslator.UntranslatableException e) {
      attempt.end(AttemptEnd.UNTRANSLATABLE, Status.NOT_SENT, null);
      return;
    }
    open.put(id, attempt);
    unwritten.add(id);
    attempt.sendStarted(id);
    writeOut(message).addListener(done -> writeCompleted(id, attempt, done.isSuccess()));
    if (writeTimer == null && !closed) {
      writeTimer = channel
          .eventLoop()
          .schedule(this::closeIfStuck, WRITE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Returns the future of the message's own last byte: from then on the call may run, even if the suffix is missing. */
  private ChannelFuture writeOut(byte[] message) {
    ByteBuf prefix = MessageWriter.prefix(settings.framing(), message.length);
    if (prefix != null) {
      channel.write(prefix);
    }
    ChannelFuture body = channel.write(Unpooled.wrappedBuffer(message));
    ByteBuf suffix = MessageWriter.suffix(settings.framing());
    if (suffix != null) {
      channel.write(suffix);
    }
    if (!flushScheduled) {
      flushScheduled = true;
      channel.eventLoop().execute(this::flush);
    }
    return body;
  }

  /**
   * Flushes once for all calls of one event loop iteration. Netty's FlushConsolidationHandler is not used: it also flushes on close, which
   * would send calls that were just reported as never sent.
   */
  private void flush() {
    flushScheduled = false;
    if (!closed) {
      channel.flush();
    }
  }

  private void writeCompleted(long id, RpcAttempt attempt, boolean complete) {
    if (!complete) {
      return;
    }
    // Writes complete in their order.
    unwritten.removeFirstOccurrence(id);
    if (open.get(id) == attempt) {
      attempt.sendCompleted();
    }
  }

  private void closeIfStuck() {
    writeTimer = null;
    if (closed || unwritten.isEmpty()) {
      return;
    }
    RpcAttempt oldest = open.get(unwritten.peekFirst());
    if (oldest == null
        || oldest.nanosSinceSend() >= TimeUnit.MILLISECONDS.toNanos(WRITE_TIMEOUT_MILLIS)) {
      fail(AttemptEnd.NOT_WRITTEN, "upstream does not read its calls");
    } else {
      writeTimer = channel
          .eventLoop()
          .schedule(this::closeIfStuck, WRITE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Stops waiting for a call; if nothing was received during its time ({@code silent}), the connection takes no new calls. */
  void abandon(RpcAttempt attempt, boolean silent) {
    if (closed) {
      return;
    }
    if (waiting.removeIf(w -> w.attempt() == attempt)) {
      if (channel == null && waiting.isEmpty()) {
        close();
      }
      return;
    }
    long id = attempt.id();
    if (!open.remove(id, attempt)) {
      return;
    }
    if (unwritten.contains(id)) {
      // It must not be sent after its end.
      fail(AttemptEnd.CANCELLED, "call abandoned before it was fully written");
      return;
    }
    abandoned.add(id);
    becameIdle();
    if (silent) {
      retire();
    }
    closeIfRetired();
  }

  private void becameIdle() {
    if (open.isEmpty()) {
      idleSince = reactor.clock().now();
    }
  }

  // Answers

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
    if (closed) {
      return;
    }
    frames++;
    if (!(frame instanceof Frame.Complete complete)) {
      fail(AttemptEnd.MALFORMED, "malformed frame: " + ((Frame.Fault) frame).why());
      return;
    }
    Message message = READER.read(complete.bytes());
    if (message instanceof Message.Single one && one.entry() instanceof Message.Reply reply) {
      reply(reply);
    } else if (!(message instanceof Message.Single one
        && one.entry() instanceof Message.Call call
        && call.id() == null)) {
      // Notifications need no answer and are ignored; anything else is unexpected here.
      fail(AttemptEnd.MALFORMED, "received a message that is not a response");
    }
  }

  private void reply(Message.Reply reply) {
    long id = reply.id().asNumber();
    RpcAttempt attempt = open.remove(id);
    if (attempt == null) {
      if (!abandoned.remove(id)) {
        fail(AttemptEnd.MALFORMED, "response to an unknown id, or a second response to a call");
      }
      closeIfRetired();
      return;
    }
    becameIdle();
    if (unwritten.contains(id)) {
      open.put(id, attempt);
      fail(AttemptEnd.MALFORMED, "response to a call that is not fully written yet");
      return;
    }
    byte[] body = reply.result() == null ? reply.error() : reply.result();
    if (body.length > Answer.MAX_BUFFERED_BYTES) {
      attempt.end(AttemptEnd.TOO_LARGE, Status.RESET, null);
    } else if (reply.result() != null) {
      attempt.end(AttemptEnd.ANSWERED, Status.SERVED, new Answer(body, Answer.JSON));
    } else {
      Status status = settings.statusOf(reply.code());
      attempt.end(AttemptEnd.ANSWERED, status, new Answer(body, Answer.JSON, true));
    }
    closeIfRetired();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    lastArrivalAt = reactor.clock().now();
    suspected = false;
    if (!closed && answerTimer == null && decoder.hasBufferedBytes()) {
      scheduleAnswerCheck(SUSPICION_MILLIS);
    }
    if (!closed && decoder.hasBufferedBytes()) {
      reportArriving();
    }
    ctx.fireChannelReadComplete();
  }

  /** Gives the call of an answer that has begun its client's whole time; with several open calls, it is not known whose it is. */
  private void reportArriving() {
    boolean only = open.size() == 1 && abandoned.isEmpty();
    List.copyOf(open.values()).stream()
        .filter(attempt -> only || attempt.answerBegun())
        .forEach(attempt -> attempt.answerArrived(false, 0));
  }

  private void scheduleAnswerCheck(long millis) {
    answerTimer =
        channel.eventLoop().schedule(this::checkPartialAnswer, millis, TimeUnit.MILLISECONDS);
  }

  /** Checks an answer of which a part has arrived: an answer may be slow, but it must not be silent. */
  private void checkPartialAnswer() {
    answerTimer = null;
    if (closed || !decoder.hasBufferedBytes()) {
      return;
    }
    long silentMillis = TimeUnit.NANOSECONDS.toMillis(reactor.clock().now() - lastArrivalAt);
    if (silentMillis >= MAX_SILENCE_MILLIS) {
      fail(AttemptEnd.SILENT, "incomplete response, no further bytes in time");
    } else if (silentMillis >= SUSPICION_MILLIS) {
      suspect();
      scheduleAnswerCheck(MAX_SILENCE_MILLIS - silentMillis);
    } else {
      scheduleAnswerCheck(SUSPICION_MILLIS - silentMillis);
    }
  }

  private void suspect() {
    if (suspected) {
      return;
    }
    suspected = true;
    retire();
    List.copyOf(open.values()).forEach(RpcAttempt::reportStalled);
  }

  // Closing

  /** Stops accepting calls and closes after the last open one. */
  void retire() {
    retired = true;
    closeIfRetired();
  }

  private void closeIfRetired() {
    if (retired && callCount() == 0) {
      close();
    }
  }

  void close() {
    fail(AttemptEnd.CANCELLED, null);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(AttemptEnd.CONNECTION_LOST, null);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    reactor.errors().check(cause);
    if (!(cause instanceof IOException)) {
      Log.rateLimited("upstream " + link.address() + ": " + cause);
    }
    fail(AttemptEnd.CONNECTION_LOST, null);
  }

  /** Closes the connection and ends its calls: one whose last byte was written may have run, any other did not. */
  private void fail(AttemptEnd reason, String why) {
    if (closed) {
      return;
    }
    closed = true;
    if (why != null && channel != null) {
      Log.rateLimited("upstream " + link.address() + ": " + why);
    }
    link.ended(this);
    Set<Long> notWritten = Set.copyOf(unwritten);
    List<Map.Entry<Long, RpcAttempt>> ended = new ArrayList<>(open.entrySet());
    openCallsAtFailure = ended.size();
    List<Waiting> neverSent = List.copyOf(waiting);
    open.clear();
    waiting.clear();
    if (answerTimer != null) {
      answerTimer.cancel(false);
    }
    if (writeTimer != null) {
      writeTimer.cancel(false);
    }
    (channel != null ? channel : connecting.channel()).close();
    neverSent.forEach(w -> w.attempt().end(reason, Status.CONNECT_FAILED, null));
    ended.stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(e -> e.getValue()
            .end(
                reason,
                notWritten.contains(e.getKey()) ? Status.CONNECT_FAILED : Status.RESET,
                null));
  }
}
