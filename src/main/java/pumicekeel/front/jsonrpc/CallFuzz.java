package pumicekeel.front.jsonrpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Limits;
import pumicekeel.Balancer.Prices;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.Tenant;
import pumicekeel.Balancer.WeightKind;
import pumicekeel.call.Answer;
import pumicekeel.call.Client;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.ClientRequest.InvalidRequest;
import pumicekeel.core.RequestHandle;
import pumicekeel.core.RequestRouter;
import pumicekeel.front.jsonrpc.MethodMapping.At;
import pumicekeel.front.jsonrpc.MethodMapping.Constant;
import pumicekeel.front.jsonrpc.MethodMapping.Part;
import pumicekeel.jsonrpc.ErrorCodes;
import pumicekeel.jsonrpc.Frame;
import pumicekeel.jsonrpc.FrameDecoder;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.JsonPointer;
import pumicekeel.jsonrpc.Message;
import pumicekeel.jsonrpc.MessageReader;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Reactor;

/**
 * Fuzzes the JSON-RPC front without sockets; the same seed repeats the same inputs, read boundaries and call outcomes. Each
 * input gets a connection of its own, whose client half-closes it or disconnects at the end. Checks that every submitted call
 * ends exactly once and releases its reservations exactly once, that every request object with an id gets exactly one answer,
 * that nothing is thrown and that nothing stays open.
 */
public final class CallFuzz {

  private static final pumicekeel.jsonrpc.Limits LIMITS =
      new pumicekeel.jsonrpc.Limits(4_096, 8, 6);
  /** Valid and invalid messages that inputs are built from. */
  private static final List<String> SEEDS = List.of(
      "{\"jsonrpc\":\"2.0\",\"method\":\"look\",\"params\":{\"account\":\"acme\",\"n\":1},\"id\":1}",
      "{\"jsonrpc\":\"2.0\",\"method\":\"issue\",\"params\":{\"key\":\"k\\u00e9y\"},\"id\":\"\\ud83d\\ude00\"}",
      "{\"jsonrpc\":\"2.0\",\"method\":\"look\",\"params\":{\"account\":\"acme\"}}",
      "{\"jsonrpc\":\"2.0\",\"method\":\"issue\",\"params\":[1,[2,{\"a\":null}],-0.5e+3],\"id\":null}",
      "[{\"jsonrpc\":\"2.0\",\"method\":\"look\",\"params\":{\"account\":\"acme\"},\"id\":7},{\"foo\":\"boo\"},1,"
          + "{\"jsonrpc\":\"2.0\",\"method\":\"issue\",\"params\":{\"key\":\"k\"},\"id\":8},"
          + "{\"jsonrpc\":\"2.0\",\"method\":\"look\",\"params\":{\"account\":\"acme\"}}]",
      "[]",
      "{}",
      "[[[[[[[[[]]]]]]]]]",
      "{\"jsonrpc\":\"2.0\",\"result\":1,\"id\":1}",
      "\"\\\\\\\"\"");

  private static final String[] SPLICES = {
    "{",
    "}",
    "[",
    "]",
    "\"",
    ",",
    ":",
    "\\",
    "\n",
    "\r\n",
    "\\ud800",
    "\u0000",
    "1e999",
    "null",
    "Content-Length: 5\r\n\r\n",
    "\u00e9",
    "\ud83d\ude00",
    "\"id\":1",
    "[[[[[[[[[[",
    "}{"
  };

  private final long seed;
  private String failure;

  /** Creates a run that the seed makes repeatable. */
  public CallFuzz(long seed) {
    this.seed = seed;
  }

  /** Returns the first failure with the input and seed that reproduce it, or null if there was none. */
  public String failure() {
    return failure;
  }

  /** Runs {@code count} inputs from number {@code first} and stops at the first failure; {@code progress} receives each number. */
  public boolean run(long first, long count, LongConsumer progress) {
    for (long i = first; i < first + count; i++) {
      progress.accept(i);
      try {
        String why =
            new FuzzedConnection(new SplittableRandom(seed * 0x9E3779B97F4A7C15L + i)).run();
        failure = why == null ? null : "input " + i + " of seed " + seed + ": " + why;
      } catch (Exception | AssertionError | StackOverflowError e) {
        failure = "input " + i + " of seed " + seed + ": " + e;
      }
      if (failure != null) {
        return false;
      }
    }
    return true;
  }

  private static final RequestClass LOOK = new RequestClass(
      "look", Effect.SAFE, DedupScope.ALL, 0, 1_000_000_000L, 0, 5_000_000_000L, 1, 0, false);
  private static final RequestClass ISSUE = new RequestClass(
      "issue",
      Effect.KEYED,
      DedupScope.CELL,
      1_000_000_000L,
      1_000_000_000L,
      0,
      5_000_000_000L,
      1,
      0,
      false);
  private static final Settings SETTINGS = new Settings(
      0,
      1,
      "a",
      List.of(LOOK, ISSUE),
      List.of(new Tenant("acme", 1, 0)),
      new Limits(
          true,
          false,
          false,
          false,
          true,
          1_000_000_000L,
          3,
          100,
          1,
          1_000_000_000L,
          1_000_000_000L),
      new Contract(0, 0, 2_000_000_000L, 0.3, 0, 3, 1),
      new Prices(0, 0, 0),
      false,
      WeightKind.NONE,
      0,
      false,
      0);
  private static final Map<String, MethodMapping> METHODS = Map.of(
      "look",
      new MethodMapping(
          "look",
          "look",
          "localhost",
          Map.of(Part.TENANT, new At(JsonPointer.of("/account"), false)),
          List.of()),
      "issue",
      new MethodMapping(
          "issue",
          "issue",
          "localhost",
          Map.of(
              Part.TENANT,
              new Constant("acme"),
              Part.IDEMPOTENCY_KEY,
              new At(JsonPointer.of("/key"), true)),
          List.of()));

  /** A connection with its input, its handles and their counts. */
  private static final class FuzzedConnection {
    private final SplittableRandom random;
    private final List<FuzzHandle> open = new ArrayList<>();
    private int handlesCreated;
    private int handlesReleased;
    private int callsSubmitted;
    private int callsEnded;
    private String violation;

    FuzzedConnection(SplittableRandom random) {
      this.random = random;
    }

    private String run() throws Exception {
      Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
      BatchMode mode = BatchMode.values()[random.nextInt(BatchMode.values().length)];
      byte[] input = input(framing);
      RequestRouter router = head -> {
        int draw = random.nextInt(20);
        if (draw == 0) {
          throw new InvalidRequest(new int[] {400, 404, 502, 503}[random.nextInt(4)], "no", draw);
        }
        return new FuzzHandle();
      };
      RpcFront front = new RpcFront(
          new Reactor(null, new Clock(), null),
          "fuzz",
          router,
          10,
          new CallSettings(framing, mode, LIMITS, 1 + random.nextInt(4), 1_000_000_000L, METHODS),
          new RequestIds("fuzz", 0));
      RpcClientConnection client = new RpcClientConnection(front, front.settings());
      EmbeddedChannel channel = new EmbeddedChannel(client.decoder(), client);
      boolean closesEarly = random.nextInt(8) == 0;
      int stop = closesEarly ? random.nextInt(input.length + 1) : input.length;
      for (int at = 0; at < stop && channel.isActive(); ) {
        int end = Math.min(stop, at + 1 + random.nextInt(random.nextBoolean() ? 8 : 2_000));
        channel.writeInbound(Unpooled.copiedBuffer(input, at, end - at));
        at = end;
        endSomeCalls(channel);
      }
      if (closesEarly) {
        channel.close();
      } else {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      }
      for (int i = 0; i < 10_000 && (channel.isActive() || !open.isEmpty()); i++) {
        channel.runPendingTasks();
        if (!open.isEmpty()) {
          open.remove(random.nextInt(open.size())).end(random);
        }
        channel.runPendingTasks();
      }
      return closesEarly ? check(channel) : check(channel, framing, input);
    }

    private void endSomeCalls(EmbeddedChannel channel) {
      channel.runPendingTasks();
      while (!open.isEmpty() && random.nextInt(3) == 0) {
        open.remove(random.nextInt(open.size())).end(random);
        channel.runPendingTasks();
      }
    }

    private byte[] input(Framing framing) {
      StringBuilder text = new StringBuilder();
      int messages = 1 + random.nextInt(5);
      boolean withHeaders =
          framing == Framing.CONTENT_LENGTH || framing == Framing.DETECT && random.nextBoolean();
      for (int i = 0; i < messages; i++) {
        StringBuilder one = new StringBuilder(SEEDS.get(random.nextInt(SEEDS.size())));
        for (int m = random.nextInt(4); m > 0; m--) {
          mutate(one);
        }
        text.append(
                withHeaders
                    ? "Content-Length: " + one.toString().getBytes(StandardCharsets.UTF_8).length
                        + "\r\n\r\n"
                    : "")
            .append(one)
            .append(withHeaders || random.nextInt(10) == 0 ? "" : "\n");
      }
      byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
      for (int i = random.nextInt(3) == 0 ? 1 + random.nextInt(3) : 0;
          i > 0 && bytes.length > 0;
          i--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      return bytes;
    }

    private void mutate(StringBuilder text) {
      int at = random.nextInt(text.length() + 1);
      switch (random.nextInt(4)) {
        case 0 -> text.insert(at, SPLICES[random.nextInt(SPLICES.length)]);
        case 1 -> text.delete(at, Math.min(text.length(), at + 1 + random.nextInt(6)));
        case 2 ->
          text.insert(at, text.substring(at, Math.min(text.length(), at + random.nextInt(30))));
        default -> text.insert(at, SEEDS.get(random.nextInt(SEEDS.size())));
      }
    }

    // Checks

    private String check(EmbeddedChannel channel) {
      channel.releaseOutbound();
      channel.releaseInbound();
      if (violation != null) {
        return violation;
      }
      if (channel.isActive()) {
        return "the connection was not closed";
      }
      return handlesCreated != handlesReleased
          ? handlesCreated + " handles created, " + handlesReleased + " released"
          : callsSubmitted != callsEnded
              ? callsSubmitted + " calls submitted, " + callsEnded + " ended"
              : null;
    }

    private String check(EmbeddedChannel channel, Framing framing, byte[] input) {
      StringBuilder output = new StringBuilder();
      for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
        output.append(b.toString(StandardCharsets.UTF_8));
        b.release();
      }
      int expected = expected(framing, input);
      int got = answers(output.toString().getBytes(StandardCharsets.UTF_8));
      String why = check(channel);
      return why != null || got == expected
          ? why
          : got + " answers where " + expected + " were expected; input \""
              + new String(input, StandardCharsets.UTF_8) + "\", output \"" + output + "\"";
    }

    /** Returns how many answers the input requires, found by reading it in one piece. */
    private static int expected(Framing framing, byte[] input) {
      FrameDecoder decoder = new FrameDecoder(framing, LIMITS, () -> true);
      EmbeddedChannel channel = new EmbeddedChannel(decoder);
      channel.writeInbound(Unpooled.copiedBuffer(input));
      MessageReader reader = new MessageReader(LIMITS);
      int expected = 0;
      boolean over = false;
      for (Frame f = channel.readInbound(); f != null && !over; f = channel.readInbound()) {
        Message message = f instanceof Frame.Complete whole ? reader.read(whole.bytes()) : null;
        if (message instanceof Message.Single one) {
          expected += expectedAnswers(one.entry());
        } else if (message instanceof Message.Batch batch) {
          expected += batch.entries().stream()
              .mapToInt(FuzzedConnection::expectedAnswers)
              .sum();
        } else {
          expected++;
          over = message == null
              || ((Message.Malformed) message).code() == ErrorCodes.PARSE
                  && decoder.framing() == Framing.VALUES;
        }
      }
      expected += !over && decoder.hasBufferedBytes() ? 1 : 0;
      channel.finishAndReleaseAll();
      return expected;
    }

    private static int expectedAnswers(Message.Entry entry) {
      return entry instanceof Message.Call call && call.id() == null ? 0 : 1;
    }

    /** Counts the response objects in the output; -1 if it is not valid JSON-RPC. */
    private static int answers(byte[] output) {
      pumicekeel.jsonrpc.Limits wideLimits = new pumicekeel.jsonrpc.Limits(1 << 20, 64, 1_000);
      EmbeddedChannel channel =
          new EmbeddedChannel(new FrameDecoder(Framing.DETECT, wideLimits, () -> true));
      channel.writeInbound(Unpooled.wrappedBuffer(output));
      MessageReader reader = new MessageReader(wideLimits);
      int count = 0;
      for (Frame f = channel.readInbound(); f != null; f = channel.readInbound()) {
        Message message = f instanceof Frame.Complete whole ? reader.read(whole.bytes()) : null;
        List<Message.Entry> entries = message instanceof Message.Single one
            ? List.of(one.entry())
            : message instanceof Message.Batch batch ? batch.entries() : List.of();
        if (entries.isEmpty() || !entries.stream().allMatch(Message.Reply.class::isInstance)) {
          return -1;
        }
        count += entries.size();
      }
      channel.finishAndReleaseAll();
      return count;
    }

    /** A request handle whose call ends when the fuzzer decides. */
    private final class FuzzHandle implements RequestHandle {
      private Client client;
      private boolean over;
      private boolean released;

      FuzzHandle() {
        handlesCreated++;
      }

      @Override
      public Settings settings() {
        return SETTINGS;
      }

      @Override
      public boolean reserveBody(int bytes) {
        return random.nextInt(50) != 0;
      }

      @Override
      public boolean submit(ClientRequest request, Client to) throws InvalidRequest {
        int draw = random.nextInt(50);
        if (draw == 0) {
          throw new InvalidRequest(400, "not for this pool");
        }
        if (draw == 1) {
          return false;
        }
        callsSubmitted++;
        client = to;
        if (random.nextInt(4) == 0) {
          end(random);
        } else {
          open.add(this);
        }
        return true;
      }

      void end(SplittableRandom how) {
        over = true;
        callsEnded++;
        switch (how.nextInt(5)) {
          case 0 -> client.refused(how.nextInt(2) * 1_000_000L);
          case 1 -> client.failed();
          case 2 ->
            client.served(new Answer(
                "{\"code\":5,\"message\":\"m\"}".getBytes(StandardCharsets.US_ASCII),
                Answer.JSON,
                true));
          case 3 ->
            client.served(new Answer("text\u0001\"".getBytes(StandardCharsets.UTF_8), null));
          default ->
            client.served(
                new Answer("{\"a\":[1]}".getBytes(StandardCharsets.US_ASCII), Answer.JSON));
        }
      }

      @Override
      public void clientDisconnected(String id) {
        if (over || !open.remove(this)) {
          violation = "client disconnect reported after the call ended";
        }
        over = true;
        callsEnded++;
      }

      @Override
      public void release() {
        if (released) {
          violation = "handle released twice";
        }
        released = true;
        handlesReleased++;
      }
    }
  }
}
