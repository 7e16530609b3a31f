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
 * A connection to a JSON-RPC server. Ids are counted up and never used again, so a late answer can't meet another call. As
 * soon as the server answers what nobody can have asked, ids may be mixed up, and nothing more on the connection is believed.
 */
final class RpcConnection extends SimpleChannelInboundHandler<Frame> {

  /** An answer of the protocol's limit and what stands around it. */
  private static final int MAX_FRAME_BYTES = Answer.MAX_BUFFERED_BYTES + 1024;

  private static final Limits LIMITS = new Limits(MAX_FRAME_BYTES, Limits.MAX_DEPTH, 1);
  private static final MessageReader READER = new MessageReader(LIMITS);
  /** From an answer's first byte to its last, as with HTTP. */
  private static final long ANSWER_TIMEOUT_MILLIS = 300;
  /** What has not left for so long is with a server that does not read. It may not leave once the drain's grace is over:
   * the core sends until 200 ms before that. */
  private static final long WRITE_TIMEOUT_MILLIS = 150;

  private record Waiting(RpcAttempt attempt, ClientRequest request, BooleanSupplier maySend) {}

  private final RpcLink link;
  private final Reactor on;
  private final ServerSettings settings;
  private final FrameDecoder decoder;
  private final Map<Long, RpcAttempt> open = new HashMap<>();
  /** Ids whose calls were given up and may still be answered. */
  private final Set<Long> abandoned = new HashSet<>();

  private final List<Waiting> waiting = new ArrayList<>(1);
  /** Calls whose last byte has not gone out, the oldest first. */
  private final ArrayDeque<Long> unwritten = new ArrayDeque<>();

  private ChannelFuture connecting;
  private Channel channel;
  private long lastId;
  private long frames;
  private long idleSince;
  private ScheduledFuture<?> answerTimer;
  private ScheduledFuture<?> writeTimer;
  private boolean flushScheduled;
  private int openCallsAtFailure;
  private boolean retired;
  private boolean closed;

  RpcConnection(RpcLink link, ServerSettings settings, Reactor on) {
    this.link = link;
    this.on = on;
    idleSince = on.clock().now();
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
        fail("not connected");
      }
    });
  }

  private void opened(Channel now) {
    if (closed) {
      now.close();
      return;
    }
    channel = now;
    List<Waiting> first = List.copyOf(waiting);
    waiting.clear();
    first.forEach(w -> write(w.attempt(), w.request(), w.maySend()));
    closeIfRetired();
  }

  // Room

  int out() {
    return open.size() + waiting.size();
  }

  boolean isClosed() {
    return closed;
  }

  /** Whether another call may go out on it: given-up ones count, for the server may still work on them. */
  boolean acceptsCalls() {
    if (closed || retired || out() + abandoned.size() >= settings.callsPerConnection()) {
      return false;
    }
    if (channel == null) {
      return true;
    }
    if (open.isEmpty() && abandoned.isEmpty() && !on.sockets().isQuiet(channel)) {
      // Closed by the server, or it says something unasked: not seen yet by the loop.
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

  /** Whether it was there before this call, broke with no other out, and had said nothing since. */
  boolean wasReusedAndSilent(long id, long framesAtSend) {
    return id > 1 && openCallsAtFailure == 1 && frames == framesAtSend;
  }

  // Calls out

  void send(RpcAttempt attempt, ClientRequest request, BooleanSupplier maySend) {
    if (closed) {
      attempt.end(Status.CONNECT_FAILED, null);
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
      attempt.end(Status.CONNECT_FAILED, null);
      return;
    }
    if (!maySend.getAsBoolean()) {
      attempt.end(Status.NOT_SENT, null);
      return;
    }
    long id = ++lastId;
    byte[] message;
    try {
      Message.Call call = HttpCallTranslator.toCall(request, settings);
      message = MessageWriter.call(Id.of(id), call.method(), call.params());
    } catch (HttpCallTranslator.UntranslatableException e) {
      attempt.end(Status.NOT_SENT, null);
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

  /** Told when the last byte of the message itself is out: with that the call may run, whatever follows. */
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

  /** Once for all calls of a turn of the loop. Netty's own handler for this flushes at a close, which would send calls
   * that have just been told to have never gone out. */
  private void flush() {
    flushScheduled = false;
    if (!closed) {
      channel.flush();
    }
  }

  private void writeCompleted(long id, RpcAttempt attempt, boolean whole) {
    if (!whole) {
      return;
    }
    // In the order of their writing.
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
      fail("it does not read");
    } else {
      writeTimer = channel
          .eventLoop()
          .schedule(this::closeIfStuck, WRITE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** A call is not waited for any more; where nothing came in all its time ({@code silent}), no new one goes out here. */
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
      // It must not leave after its end.
      fail("a call was given up before it was out");
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
      idleSince = on.clock().now();
    }
  }

  // Answers

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
    if (closed) {
      return;
    }
    frames++;
    if (!(frame instanceof Frame.Complete whole)) {
      fail("what it says is no message: " + ((Frame.Fault) frame).why());
      return;
    }
    Message message = READER.read(whole.bytes());
    if (message instanceof Message.Single one && one.entry() instanceof Message.Reply reply) {
      reply(reply);
    } else if (!(message instanceof Message.Single one
        && one.entry() instanceof Message.Call call
        && call.id() == null)) {
      // A notification asks for nothing and is passed over; nothing else is due here.
      fail("what it says is no answer");
    }
  }

  private void reply(Message.Reply reply) {
    long id = reply.id().asNumber();
    RpcAttempt attempt = open.remove(id);
    if (attempt == null) {
      if (!abandoned.remove(id)) {
        fail("an answer to a call that was never made, or a second one");
      }
      closeIfRetired();
      return;
    }
    becameIdle();
    if (unwritten.contains(id)) {
      open.put(id, attempt);
      fail("an answer to a call that is not out yet");
      return;
    }
    byte[] body = reply.result() == null ? reply.error() : reply.result();
    if (body.length > Answer.MAX_BUFFERED_BYTES) {
      attempt.end(Status.RESET, null);
    } else if (reply.result() != null) {
      attempt.end(Status.SERVED, new Answer(body, Answer.JSON));
    } else {
      Status status = settings.statusOf(reply.code());
      attempt.end(status, new Answer(body, Answer.JSON, true));
    }
    closeIfRetired();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!closed && answerTimer == null && decoder.hasBufferedBytes()) {
      long then = frames;
      answerTimer = ctx.executor()
          .schedule(() -> closeIfStalled(then), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
    ctx.fireChannelReadComplete();
  }

  private void closeIfStalled(long then) {
    answerTimer = null;
    if (!closed && decoder.hasBufferedBytes() && frames == then) {
      fail("half an answer, then silence");
    } else if (!closed && decoder.hasBufferedBytes()) {
      long now = frames;
      answerTimer = channel
          .eventLoop()
          .schedule(() -> closeIfStalled(now), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  // The end

  /** Takes no more calls, and closes with its last one. */
  void retire() {
    retired = true;
    closeIfRetired();
  }

  private void closeIfRetired() {
    if (retired && out() == 0) {
      close();
    }
  }

  void close() {
    fail(null);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(null);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Log.caused("upstream " + link.address() + ": " + cause);
    }
    fail(null);
  }

  /** Of no use any more: a call whose last byte went out may have run, any other never did. */
  private void fail(String why) {
    if (closed) {
      return;
    }
    closed = true;
    if (why != null && channel != null) {
      Log.caused("upstream " + link.address() + ": " + why);
    }
    link.ended(this);
    Set<Long> notWritten = Set.copyOf(unwritten);
    List<Map.Entry<Long, RpcAttempt>> ended = new ArrayList<>(open.entrySet());
    openCallsAtFailure = ended.size();
    List<Waiting> never = List.copyOf(waiting);
    open.clear();
    waiting.clear();
    if (answerTimer != null) {
      answerTimer.cancel(false);
    }
    if (writeTimer != null) {
      writeTimer.cancel(false);
    }
    (channel != null ? channel : connecting.channel()).close();
    never.forEach(w -> w.attempt().end(Status.CONNECT_FAILED, null));
    ended.stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(e -> e.getValue()
            .end(notWritten.contains(e.getKey()) ? Status.CONNECT_FAILED : Status.RESET, null));
  }
}
