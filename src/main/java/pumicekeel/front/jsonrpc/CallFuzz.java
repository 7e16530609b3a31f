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
import pumicekeel.jsonrpc.Codes;
import pumicekeel.jsonrpc.Frame;
import pumicekeel.jsonrpc.FrameDecoder;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Message;
import pumicekeel.jsonrpc.MessageReader;
import pumicekeel.jsonrpc.Pointer;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Reactor;

/**
 * Mutated input for the front, without sockets: a seed gives the same inputs, cuts and ends of calls again. Each input has
 * a connection of its own, whose client half-closes or leaves behind it. What is held against it: every call that was taken
 * ends once and gives its room back once; every request object that asks for an answer gets exactly one; nothing throws, and
 * nothing is left open.
 */
public final class CallFuzz {

  private static final pumicekeel.jsonrpc.Limits LIMITS =
      new pumicekeel.jsonrpc.Limits(4_096, 8, 6);
  /** What an input is made from. */
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
  private String failed;

  /** A run that the seed repeats. */
  public CallFuzz(long seed) {
    this.seed = seed;
  }

  /** What went wrong and how to see it again; null where nothing did. */
  public String failed() {
    return failed;
  }

  /** Plays so many inputs from the given one on, and stops at the first that fails; {@code progress} gets each number. */
  public boolean run(long first, long count, LongConsumer progress) {
    for (long i = first; i < first + count; i++) {
      progress.accept(i);
      try {
        String why = new One(new SplittableRandom(seed * 0x9E3779B97F4A7C15L + i)).play();
        failed = why == null ? null : "input " + i + " of seed " + seed + ": " + why;
      } catch (Exception | AssertionError | StackOverflowError e) {
        failed = "input " + i + " of seed " + seed + ": " + e;
      }
      if (failed != null) {
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
          Map.of(Part.TENANT, new At(Pointer.of("/account"), false)),
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
              new At(Pointer.of("/key"), true)),
          List.of()));

  /** One connection. */
  private static final class One {
    private final SplittableRandom random;
    private final List<Way> open = new ArrayList<>();
    private int entered;
    private int left;
    private int taken;
    private int ended;
    private String wrong;

    One(SplittableRandom random) {
      this.random = random;
    }

    private String play() throws Exception {
      Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
      BatchMode mode = BatchMode.values()[random.nextInt(BatchMode.values().length)];
      byte[] input = input(framing);
      RequestRouter router = head -> {
        int draw = random.nextInt(20);
        if (draw == 0) {
          throw new InvalidRequest(new int[] {400, 404, 502, 503}[random.nextInt(4)], "no", draw);
        }
        return new Way();
      };
      RpcSide side = new RpcSide(
          new Reactor(null, new Clock(), null),
          "fuzz",
          router,
          10,
          new CallSettings(framing, mode, LIMITS, 1 + random.nextInt(4), 1_000_000_000L, METHODS),
          new RequestIds("fuzz", 0));
      RpcClient client = new RpcClient(side, side.settings());
      EmbeddedChannel channel = new EmbeddedChannel(client.decoder(), client);
      boolean leaves = random.nextInt(8) == 0;
      int stop = leaves ? random.nextInt(input.length + 1) : input.length;
      for (int at = 0; at < stop && channel.isActive(); ) {
        int end = Math.min(stop, at + 1 + random.nextInt(random.nextBoolean() ? 8 : 2_000));
        channel.writeInbound(Unpooled.copiedBuffer(input, at, end - at));
        at = end;
        someEnds(channel);
      }
      if (leaves) {
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
      return leaves ? verdict(channel) : verdict(channel, framing, input);
    }

    private void someEnds(EmbeddedChannel channel) {
      channel.runPendingTasks();
      while (!open.isEmpty() && random.nextInt(3) == 0) {
        open.remove(random.nextInt(open.size())).end(random);
        channel.runPendingTasks();
      }
    }

    private byte[] input(Framing framing) {
      StringBuilder text = new StringBuilder();
      int messages = 1 + random.nextInt(5);
      boolean heads =
          framing == Framing.CONTENT_LENGTH || framing == Framing.DETECT && random.nextBoolean();
      for (int i = 0; i < messages; i++) {
        StringBuilder one = new StringBuilder(SEEDS.get(random.nextInt(SEEDS.size())));
        for (int m = random.nextInt(4); m > 0; m--) {
          mutate(one);
        }
        text.append(
                heads
                    ? "Content-Length: " + one.toString().getBytes(StandardCharsets.UTF_8).length
                        + "\r\n\r\n"
                    : "")
            .append(one)
            .append(heads || random.nextInt(10) == 0 ? "" : "\n");
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

    // What is held against it

    private String verdict(EmbeddedChannel channel) {
      channel.releaseOutbound();
      channel.releaseInbound();
      if (wrong != null) {
        return wrong;
      }
      if (channel.isActive()) {
        return "the connection does not end";
      }
      return entered != left
          ? entered + " handles made, " + left + " left"
          : taken != ended ? taken + " calls taken, " + ended + " ended" : null;
    }

    private String verdict(EmbeddedChannel channel, Framing framing, byte[] input) {
      StringBuilder said = new StringBuilder();
      for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
        said.append(b.toString(StandardCharsets.UTF_8));
        b.release();
      }
      int wanted = wanted(framing, input);
      int got = answers(said.toString().getBytes(StandardCharsets.UTF_8));
      String why = verdict(channel);
      return why != null || got == wanted
          ? why
          : got + " answers to " + wanted + " that were owed; asked \""
              + new String(input, StandardCharsets.UTF_8) + "\", answered \"" + said + "\"";
    }

    /** Answers that the input is owed, read in one piece. */
    private static int wanted(Framing framing, byte[] input) {
      FrameDecoder decoder = new FrameDecoder(framing, LIMITS, () -> true);
      EmbeddedChannel channel = new EmbeddedChannel(decoder);
      channel.writeInbound(Unpooled.copiedBuffer(input));
      MessageReader reader = new MessageReader(LIMITS);
      int wanted = 0;
      boolean over = false;
      for (Frame f = channel.readInbound(); f != null && !over; f = channel.readInbound()) {
        Message message = f instanceof Frame.Whole whole ? reader.read(whole.bytes()) : null;
        if (message instanceof Message.One one) {
          wanted += owed(one.entry());
        } else if (message instanceof Message.Batch batch) {
          wanted += batch.entries().stream().mapToInt(One::owed).sum();
        } else {
          wanted++;
          over = message == null
              || ((Message.Broken) message).code() == Codes.PARSE
                  && decoder.framing() == Framing.VALUES;
        }
      }
      wanted += !over && decoder.holdsBytes() ? 1 : 0;
      channel.finishAndReleaseAll();
      return wanted;
    }

    private static int owed(Message.Entry entry) {
      return entry instanceof Message.Call call && call.id() == null ? 0 : 1;
    }

    /** Response objects in what was said; -1 where it is no JSON-RPC. */
    private static int answers(byte[] said) {
      pumicekeel.jsonrpc.Limits wide = new pumicekeel.jsonrpc.Limits(1 << 20, 64, 1_000);
      EmbeddedChannel channel =
          new EmbeddedChannel(new FrameDecoder(Framing.DETECT, wide, () -> true));
      channel.writeInbound(Unpooled.wrappedBuffer(said));
      MessageReader reader = new MessageReader(wide);
      int count = 0;
      for (Frame f = channel.readInbound(); f != null; f = channel.readInbound()) {
        Message message = f instanceof Frame.Whole whole ? reader.read(whole.bytes()) : null;
        List<Message.Entry> entries = message instanceof Message.One one
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

    /** A handle that ends its call when the run says so. */
    private final class Way implements RequestHandle {
      private Client client;
      private boolean over;
      private boolean wasLeft;

      Way() {
        entered++;
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
        taken++;
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
        ended++;
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
          wrong = "told of a client's leaving after the end";
        }
        over = true;
        ended++;
      }

      @Override
      public void release() {
        if (wasLeft) {
          wrong = "left twice";
        }
        wasLeft = true;
        left++;
      }
    }
  }
}
