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
import pumicekeel.runtime.PayloadMemory;

/** One client connection: reads messages, submits their calls, and writes each answer once. */
final class RpcClientConnection extends SimpleChannelInboundHandler<Frame> {

  /** Maximum of unread answers, beyond which the connection is closed at once; below it, after a time-out. */
  private static final int MAX_UNREAD_BYTES = 1 << 20;
  /** Bytes read ahead of calls that can't be accepted yet; a reset behind more unread input is only noticed later. */
  private static final int READ_AHEAD_BYTES = 16 << 10;
  /** Malformed messages on a connection; a client that sends more does not speak JSON-RPC. */
  private static final int MAX_MALFORMED_MESSAGES = 100;
  /** Delay between the last byte sent and the close, so that input arriving meanwhile causes no reset that drops answers. */
  private static final long LINGER_MILLIS = 500;
  /** Time after the last answer in a drain during which calls in transit still get an error that sends them elsewhere. */
  private static final long QUIET_MILLIS = 200;
  /** Idle time before eviction, longer than a call is in transit: a call that arrives at a closed connection gets no answer. */
  private static final long EVICTABLE_AFTER_NANOS = 250_000_000L;
  /** Checks JSON results of upstreams before they are inserted into a response. */
  private static final MessageReader RESULT_READER =
      new MessageReader(new Limits(Answer.MAX_BUFFERED_BYTES, 62, 1));

  /** A message is held twice for a moment whenever its buffer grows. */
  private static final int BUFFER_COPIES = 2;

  private final RpcFront front;
  private final PayloadMemory.Account buffered;
  private final CallSettings settings;
  private final MessageReader reader;
  private final FrameDecoder decoder;
  private final Map<Id, RpcCall> callsById = new HashMap<>();
  /** All calls that have not ended, including notifications. */
  private final Set<RpcCall> calls = new LinkedHashSet<>();

  private final Set<BatchAnswers<Reply>> batches = new LinkedHashSet<>();
  private ChannelHandlerContext ctx;
  private boolean inputClosed;
  private boolean readingStopped;
  private boolean finishing;
  private boolean flushDue;
  private boolean resumeScheduled;
  private int malformedMessages;
  private long busyAt;
  /** When the first byte of a partial message arrived; 0 if there is none. */
  private long partialSince;

  private long unwritableSince;

  RpcClientConnection(RpcFront front, CallSettings settings) {
    this.front = front;
    buffered = front.memory().newAccount();
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

  int openCalls() {
    return calls.size();
  }

  /** Returns whether it may be closed to free capacity; one that was busy just now is likely to send another call. */
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

  /** Reads while calls are accepted, and slightly ahead: only a read detects that a client has disconnected. */
  private void readOrPause(boolean accepting) {
    boolean mayReadAhead = !readingStopped && decoder.bufferedBytes() < READ_AHEAD_BYTES;
    ctx.channel().config().setAutoRead(accepting || finishing || mayReadAhead);
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
    if (message instanceof Message.Malformed malformed) {
      // After malformed JSON the start of the next value is unknown, unless the framing delimits
      // it.
      if (++malformedMessages >= MAX_MALFORMED_MESSAGES
          || malformed.code() == ErrorCodes.PARSE && decoder.framing() == Framing.VALUES) {
        rejectAndStopReading(malformed.code(), malformed.why());
      } else {
        rejectMessage(malformed.code(), malformed.why());
      }
    } else if (message instanceof Message.Single single) {
      handleEntry(single.entry());
    } else if (message instanceof Message.Batch batch) {
      handleBatch(batch.entries());
    }
  }

  private void rejectMessage(int code, String why) {
    write(Reply.errorWithReason(Id.NULL, code, why));
  }

  private void handleEntry(Message.Entry entry) {
    RpcCall call = begin(entry, null);
    if (call != null) {
      submit(call);
    }
  }

  private void handleBatch(List<Message.Entry> entries) {
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
    started.forEach(RpcClientConnection::submit);
    flush(answers);
  }

  /** Returns the call of an entry to submit; null if it has already ended. */
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
    if (call.id() != null && callsById.containsKey(call.id())) {
      // With its own id the answer could be mistaken for that of the first call.
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
      callsById.put(call.id(), next);
    }
    try {
      next.prepare(now());
      return next;
    } catch (RejectedException e) {
      next.reject(e);
      return null;
    }
  }

  private static void submit(RpcCall call) {
    try {
      call.submit();
    } catch (RejectedException e) {
      call.reject(e);
    }
  }

  /** Answers an entry that did not become a call; {@code id} is null for a notification. */
  private void reject(Id id, int code, BatchAnswers<Reply> answers) {
    end(
        answers,
        id == null ? null : now -> Reply.errorWithReason(id, code, null),
        code == ErrorCodes.DRAINING ? EntryOutcome.REFUSED_OR_FAILED : EntryOutcome.INVALID);
  }

  private void end(BatchAnswers<Reply> answers, Reply reply, EntryOutcome outcome) {
    if (answers != null) {
      answers.ended(reply, outcome, 0);
      // Sent with the rest once the whole batch has been processed.
    } else if (reply != null) {
      write(reply.at(now()));
    }
  }

  // Ends

  /** Called when a call has ended; {@code reply} is null for a notification. */
  void ended(RpcCall call, Reply reply, EntryOutcome outcome, long waitUntil) {
    calls.remove(call);
    busyAt = now();
    if (call.batch() == null) {
      if (reply != null) {
        forget(call.id());
        write(reply.at(busyAt));
      }
    } else {
      call.batch()
          .ended(reply == null ? null : new PendingReply(call.id(), reply), outcome, waitUntil);
      flush(call.batch());
    }
    front.markBusy(this);
    scheduleResume();
  }

  private void forget(Id id) {
    callsById.remove(id);
  }

  /** An answer waiting in a batch; its id stays in use until it is sent. */
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

  /** Returns an upstream's answer as raw JSON; null if it can't be represented. */
  byte[] resultOf(Answer answer) {
    String type = answer.contentType() == null
        ? ""
        : answer.contentType().split(";", 2)[0].strip();
    if (type.toLowerCase(Locale.ROOT).equals(Answer.JSON)) {
      return RESULT_READER.isValue(answer.body()) ? answer.body() : null;
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

  // Resuming and closing

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    boolean accepting = acceptsCalls();
    if (decoder.hasBufferedBytes() && accepting) {
      partialSince = partialSince == 0 ? now() : partialSince;
    } else {
      partialSince = 0;
    }
    if (!chargeBuffered() && accepting) {
      // Only where calls are accepted is what waits incomplete, so that none is dropped unanswered.
      rejectAndStopReading(ErrorCodes.NO_CAPACITY, "no room for the message");
    }
    readOrPause(accepting);
    if (inputClosed) {
      scheduleResume();
    }
    finishIfDone();
  }

  /** Charges what waits to be decoded to the memory of the process; returns false if there is none left. */
  private boolean chargeBuffered() {
    long more = (long) BUFFER_COPIES * decoder.bufferedBytes() - buffered.heldBytes();
    if (more <= 0) {
      buffered.release(-more);
      return true;
    }
    return buffered.tryAcquire(more);
  }

  /** Resumes in a later event loop task, as an answer may arrive while its call is being read. */
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

  /** Answers malformed input and stops reading; open calls are still answered. */
  private void rejectAndStopReading(int code, String why) {
    readingStopped = true;
    decoder.discard();
    buffered.releaseAll();
    rejectMessage(code, why);
    finishIfDone();
  }

  private void finishIfDone() {
    boolean nothingMore = readingStopped || inputClosed && !decoder.hasBufferedBytes();
    if (nothingMore && calls.isEmpty() && batches.isEmpty()) {
      finish();
    }
  }

  /** Closes an idle connection after a quiet time; others close after their last answer. */
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

  /** Shuts down output, and closes once the client has shut down its own, or after a delay. */
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
      // If the shutdown fails, the later close ends the connection; an immediate close could reset
      // it before the client has read its answers.
      duplex.shutdownOutput();
      ctx.executor().schedule(() -> ctx.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    });
  }

  /** Applies the time limits. */
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
    buffered.releaseAll();
    List.copyOf(calls).forEach(RpcCall::clientClosed);
    calls.clear();
    callsById.clear();
    batches.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    front.errors().check(cause);
    if (cause instanceof IOException || readingStopped) {
      context.close();
      return;
    }
    // A defect in handling one message must not leave the open calls unanswered.
    Log.rateLimited("client " + context.channel().remoteAddress() + ": " + cause);
    rejectAndStopReading(ErrorCodes.FAILED, "internal error");
  }
}
