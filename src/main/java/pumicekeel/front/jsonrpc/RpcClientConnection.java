package pumicekeel.front.jsonrpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import pumicekeel.call.Answer;
import pumicekeel.front.jsonrpc.BatchAnswers.EntryOutcome;
import pumicekeel.front.jsonrpc.RpcCall.RejectedException;
import pumicekeel.guard.CloseReason;
import pumicekeel.jsonrpc.ErrorCodes;
import pumicekeel.jsonrpc.Frame;
import pumicekeel.jsonrpc.FrameDecoder;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Id;
import pumicekeel.jsonrpc.Limits;
import pumicekeel.jsonrpc.Message;
import pumicekeel.jsonrpc.MessageReader;
import pumicekeel.jsonrpc.MessageWriter;
import pumicekeel.runtime.Log;

/** One client connection: reads messages, hands their calls over, and writes each answer once. */
final class RpcClientConnection extends SimpleChannelInboundHandler<Frame> {

  /** Answers that a client does not read; more is given up at once, the rest after a time. */
  private static final int MAX_UNREAD_BYTES = 1 << 20;
  /** What is read of calls that can't be taken yet. Behind more than that a client's reset is not seen before it is read. */
  private static final int READ_AHEAD_BYTES = 16 << 10;
  /** Messages that could not be read; a client that sends more does not speak JSON-RPC. */
  private static final int MAX_MALFORMED_MESSAGES = 100;
  /** Between our last byte and the close: what the client sends meanwhile must not turn its answers into a reset. */
  private static final long LINGER_MILLIS = 500;
  /** At a drain, after the last answer: a call that was under way is still told to go elsewhere. */
  private static final long QUIET_MILLIS = 200;
  /** Longer than a call takes on its way here: what meets a close on the way has no answer. */
  private static final long EVICTABLE_AFTER_NANOS = 250_000_000L;
  /** What an HTTP server's text becomes a string of. */
  private static final MessageReader RESULTS =
      new MessageReader(new Limits(Answer.MAX_BUFFERED_BYTES, 62, 1));

  private final RpcFront front;
  private final CallSettings settings;
  private final MessageReader reader;
  private final FrameDecoder decoder;
  private final Map<Id, RpcCall> open = new HashMap<>();
  /** All calls that have not ended, notifications too. */
  private final Set<RpcCall> calls = new LinkedHashSet<>();

  private final Set<BatchAnswers<Reply>> batches = new LinkedHashSet<>();
  private ChannelHandlerContext ctx;
  private boolean inputClosed;
  private boolean readingStopped;
  private boolean finishing;
  private boolean flushDue;
  private boolean resumeScheduled;
  private int broken;
  private long busyAt;
  /** When the first byte came of the message that has come in part; 0 where none has. */
  private long partialSince;

  private long unwritableSince;

  RpcClientConnection(RpcFront front, CallSettings settings) {
    this.front = front;
    busyAt = now();
    this.settings = settings;
    reader = new MessageReader(settings.limits());
    decoder = new FrameDecoder(settings.framing(), settings.limits(), this::acceptsCalls);
  }

  FrameDecoder decoder() {
    return decoder;
  }

  private long now() {
    return front.clock().now();
  }

  RpcFront front() {
    return front;
  }

  int open() {
    return calls.size();
  }

  /** Whether it may be closed to make room: one that was busy just now is likely to ask again this moment. */
  boolean isEvictable(long now) {
    return idle() && now - busyAt > EVICTABLE_AFTER_NANOS;
  }

  boolean idle() {
    return calls.isEmpty() && batches.isEmpty() && !decoder.hasBufferedBytes() && !finishing;
  }

  private boolean acceptsCalls() {
    return calls.size() < settings.maxOpen()
        && !readingStopped
        && !finishing
        && ctx.channel().isActive()
        && ctx.channel().isWritable();
  }

  /** Reads while calls are taken, and a little further: a client that has gone is seen to have gone by a read alone. */
  private void readOrPause(boolean takes) {
    boolean ahead = !readingStopped && decoder.bufferedBytes() < READ_AHEAD_BYTES;
    ctx.channel().config().setAutoRead(takes || finishing || ahead);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    ctx = context;
  }

  // Reading

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    partialSince = 0;
    busyAt = now();
    if (frame instanceof Frame.Fault fault) {
      rejectAndStopReading(fault.code(), fault.why());
      return;
    }
    Message message = reader.read(((Frame.Complete) frame).bytes());
    if (message instanceof Message.Malformed b) {
      // Behind JSON that is none, the next value's beginning is a guess, unless something else
      // tells it.
      if (++broken >= MAX_MALFORMED_MESSAGES
          || b.code() == ErrorCodes.PARSE && decoder.framing() == Framing.VALUES) {
        rejectAndStopReading(b.code(), b.why());
      } else {
        refuseMessage(b.code(), b.why());
      }
    } else if (message instanceof Message.Single one) {
      one(one.entry());
    } else if (message instanceof Message.Batch batch) {
      batch(batch.entries());
    }
  }

  private void refuseMessage(int code, String why) {
    write(Reply.errorWithReason(Id.NULL, code, why));
  }

  private void one(Message.Entry entry) {
    RpcCall call = begin(entry, null);
    if (call != null) {
      take(call);
    }
  }

  private void batch(List<Message.Entry> entries) {
    BatchAnswers<Reply> answers = new BatchAnswers<>(settings.batch(), entries.size());
    batches.add(answers);
    List<RpcCall> started = new ArrayList<>();
    for (Message.Entry entry : entries) {
      RpcCall call = begin(entry, answers);
      if (call != null) {
        started.add(call);
      }
    }
    if (settings.batch() == BatchMode.TOGETHER) {
      long shortest = started.stream().mapToLong(RpcCall::leftNanos).min().orElse(0);
      started.forEach(c -> c.limitTime(shortest));
    }
    started.forEach(RpcClientConnection::take);
    flush(answers);
  }

  /** What is to be taken of an entry; null where it has ended already. */
  private RpcCall begin(Message.Entry entry, BatchAnswers<Reply> answers) {
    if (!(entry instanceof Message.Call call)) {
      Id id = entry instanceof Message.Invalid invalid ? invalid.id() : Id.NULL;
      reject(id, ErrorCodes.INVALID_REQUEST, answers);
      return null;
    }
    MethodMapping mapping = front.settings().methods().get(call.method());
    if (front.draining() || mapping == null) {
      reject(
          call.id(), front.draining() ? ErrorCodes.DRAINING : ErrorCodes.UNKNOWN_METHOD, answers);
      return null;
    }
    if (call.id() != null && open.containsKey(call.id())) {
      // Under its own id the answer could be taken for that of the first.
      end(
          answers,
          now -> MessageWriter.error(
              Id.NULL,
              MessageWriter.errorObject(
                  ErrorCodes.INVALID_REQUEST,
                  "this id is open already",
                  "{\"id\":" + call.id() + "}")),
          EntryOutcome.INVALID);
      return null;
    }
    RpcCall next = new RpcCall(this, call, mapping, answers);
    calls.add(next);
    if (call.id() != null) {
      open.put(call.id(), next);
    }
    try {
      next.prepare(now());
      return next;
    } catch (RejectedException e) {
      next.reject(e);
      return null;
    }
  }

  private static void take(RpcCall call) {
    try {
      call.take();
    } catch (RejectedException e) {
      call.reject(e);
    }
  }

  /** Answers an entry that never became a call; {@code id} is null for a notification. */
  private void reject(Id id, int code, BatchAnswers<Reply> answers) {
    end(
        answers,
        id == null ? null : now -> Reply.errorWithReason(id, code, null),
        code == ErrorCodes.DRAINING ? EntryOutcome.REFUSED_OR_FAILED : EntryOutcome.INVALID);
  }

  private void end(BatchAnswers<Reply> answers, Reply reply, EntryOutcome how) {
    if (answers != null) {
      answers.ended(reply, how, 0);
      // Sent with the rest once the whole batch has been looked at.
    } else if (reply != null) {
      write(reply.at(now()));
    }
  }

  // Ends

  /** A call has ended; {@code reply} is null for a notification. */
  void ended(RpcCall call, Reply reply, EntryOutcome how, long waitUntil) {
    calls.remove(call);
    busyAt = now();
    if (call.batch() == null) {
      if (reply != null) {
        forget(call.id());
        write(reply.at(busyAt));
      }
    } else {
      call.batch().ended(reply == null ? null : new PendingReply(call.id(), reply), how, waitUntil);
      flush(call.batch());
    }
    front.markBusy(this);
    scheduleResume();
  }

  private void forget(Id id) {
    open.remove(id);
  }

  /** An answer that waits in a batch: its id is open until it goes out. */
  private record PendingReply(Id id, Reply reply) implements Reply {
    @Override
    public byte[] at(long now) {
      return reply.at(now);
    }
  }

  private void flush(BatchAnswers<Reply> batch) {
    long now = now();
    List<Reply> out = batch.takeReady(now);
    if (!out.isEmpty()) {
      List<byte[]> messages = new ArrayList<>(out.size());
      for (Reply reply : out) {
        if (reply instanceof PendingReply pending) {
          forget(pending.id());
        }
        messages.add(reply.at(now));
      }
      if (settings.batch() == BatchMode.APART) {
        messages.forEach(m -> write(MessageWriter.array(List.of(m))));
      } else {
        write(MessageWriter.array(messages));
      }
    }
    if (batch.isComplete()) {
      batches.remove(batch);
      scheduleResume();
    } else if (batch.flushAt() != BatchAnswers.NEVER) {
      ctx.executor()
          .schedule(() -> flush(batch), Math.max(1, batch.flushAt() - now), TimeUnit.NANOSECONDS);
    }
  }

  /** An upstream's answer as raw JSON; null where there is no way to say it. */
  byte[] resultOf(Answer answer) {
    String type = answer.contentType() == null
        ? ""
        : answer.contentType().split(";", 2)[0].strip();
    if (type.toLowerCase(Locale.ROOT).equals(Answer.JSON)) {
      return RESULTS.isValue(answer.body()) ? answer.body() : null;
    }
    try {
      return MessageWriter.quoted(StandardCharsets.UTF_8
              .newDecoder()
              .decode(ByteBuffer.wrap(answer.body()))
              .toString())
          .getBytes(StandardCharsets.US_ASCII);
    } catch (CharacterCodingException e) {
      return null;
    }
  }

  // Writing

  private void write(byte[] message) {
    if (!ctx.channel().isActive()) {
      return;
    }
    Framing framing = decoder.framing() == Framing.DETECT ? Framing.VALUES : decoder.framing();
    ByteBuf frame = MessageWriter.frame(framing, message);
    ctx.write(frame);
    if (!flushDue) {
      flushDue = true;
      ctx.executor().execute(this::flush);
    }
    var outbound = ctx.channel().unsafe().outboundBuffer();
    if (outbound != null && outbound.totalPendingWriteBytes() > MAX_UNREAD_BYTES) {
      ctx.close();
    }
  }

  private void flush() {
    flushDue = false;
    ctx.flush();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    unwritableSince = context.channel().isWritable() ? 0 : now();
    scheduleResume();
  }

  // Going on, and the end

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    boolean takes = acceptsCalls();
    if (decoder.hasBufferedBytes() && takes) {
      partialSince = partialSince == 0 ? now() : partialSince;
    } else {
      partialSince = 0;
    }
    readOrPause(takes);
    if (inputClosed) {
      scheduleResume();
    }
    finishIfDone();
  }

  /** Not at once: an answer may come from within the reading of the call. */
  private void scheduleResume() {
    if (!resumeScheduled) {
      resumeScheduled = true;
      ctx.executor().execute(this::resumeReading);
    }
  }

  private void resumeReading() {
    resumeScheduled = false;
    if (!ctx.channel().isActive() || ctx.isRemoved()) {
      return;
    }
    try {
      if (acceptsCalls()) {
        if (!decoder.resume()) {
          return;
        }
        readOrPause(acceptsCalls());
      }
      if (inputClosed && decoder.hasBufferedBytes() && acceptsCalls()) {
        rejectAndStopReading(ErrorCodes.PARSE, "cut short");
      }
    } catch (Exception e) {
      exceptionCaught(ctx, e);
    }
    finishIfDone();
  }

  /** Answers what can't be read, and reads no more; what is open is still answered. */
  private void rejectAndStopReading(int code, String why) {
    readingStopped = true;
    decoder.discard();
    refuseMessage(code, why);
    finishIfDone();
  }

  private void finishIfDone() {
    boolean nothingMore = readingStopped || inputClosed && !decoder.hasBufferedBytes();
    if (nothingMore && calls.isEmpty() && batches.isEmpty()) {
      finish();
    }
  }

  /** Takes no more; what is open is answered, then the connection is closed. */
  void drain() {
    if (idle()) {
      closeIfQuiet();
    }
  }

  private void closeIfQuiet() {
    long quiet = now() - busyAt;
    long wait = TimeUnit.MILLISECONDS.toNanos(QUIET_MILLIS) - quiet;
    if (wait <= 0) {
      finish();
    }
  }

  /** Ends our side, and the connection once the other has ended its own, or a little later. */
  void finish() {
    if (finishing
        || !front.guard().mayClose(CloseReason.LAST_ANSWER, calls.isEmpty() ? null : "a call")) {
      return;
    }
    finishing = true;
    decoder.discard();
    ctx.channel().config().setAutoRead(true);
    ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> {
      if (inputClosed || !(ctx.channel() instanceof DuplexChannel duplex)) {
        ctx.close();
        return;
      }
      // Where that fails the close that follows does it; one at once could reset what is still to
      // be read.
      duplex.shutdownOutput();
      ctx.executor().schedule(() -> ctx.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    });
  }

  /** Time limits. */
  void checkTimeLimits(long now) {
    if (unwritableSince != 0 && now - unwritableSince > RpcFront.UNWRITABLE_TIMEOUT_NANOS) {
      ctx.close();
    } else if (partialSince != 0
        && now - partialSince > RpcFront.MESSAGE_TIMEOUT_NANOS
        && !readingStopped
        && !finishing) {
      partialSince = 0;
      rejectAndStopReading(ErrorCodes.INVALID_REQUEST, "the message took too long");
    } else if (idle()
        && (now - busyAt > settings.idleNanos()
            || front.draining() && now - busyAt > TimeUnit.MILLISECONDS.toNanos(QUIET_MILLIS))) {
      finish();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      inputClosed = true;
      if (finishing) {
        ctx.close();
      } else {
        scheduleResume();
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    front.closed(this);
    readingStopped = true;
    List.copyOf(calls).forEach(RpcCall::clientClosed);
    calls.clear();
    open.clear();
    batches.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof IOException || readingStopped) {
      context.close();
      return;
    }
    // A defect of one message's handling is no reason to leave the calls that are open unanswered.
    Log.caused("client " + context.channel().remoteAddress() + ": " + cause);
    rejectAndStopReading(ErrorCodes.FAILED, "internal error");
  }
}
