package pumicekeel.load;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import pumicekeel.jsonrpc.ErrorCodes;
import pumicekeel.jsonrpc.Frame;
import pumicekeel.jsonrpc.FrameDecoder;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Id;
import pumicekeel.jsonrpc.Limits;
import pumicekeel.jsonrpc.Message;
import pumicekeel.jsonrpc.MessageReader;
import pumicekeel.jsonrpc.MessageWriter;
import pumicekeel.load.LoadResults.Outcome;

/**
 * Template of JSON-RPC calls of one method. The params of each call contain its unique name, which a server echoes, so that an answer to
 * another call is detected.
 *
 * @param deadlineMillis how long the client waits; sent to the balancer as the time left
 */
public record RpcRequestTemplate(String method, String tenant, long deadlineMillis)
    implements RequestTemplate {

  private static final Limits LIMITS = new Limits(4 << 20, Limits.MAX_DEPTH, 1_000);
  /** Number of different session keys. */
  private static final int SESSIONS = 500;

  @Override
  public ClientSession openSession(SplittableRandom random) {
    return new Connection(random);
  }

  /** Sends concurrent calls, which are answered in any order, singly or in batches. */
  private final class Connection implements ClientSession {
    private final SplittableRandom random;
    private final MessageReader reader = new MessageReader(LIMITS);
    private final Map<Id, Long> numbers = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();

    private Connection(SplittableRandom random) {
      this.random = random;
    }

    @Override
    public ChannelHandler codec() {
      return new FrameDecoder(Framing.VALUES, LIMITS, () -> true);
    }

    @Override
    public ByteBuf encode(long firstNumber, List<String> callNames) {
      List<byte[]> calls = new ArrayList<>();
      for (String name : callNames) {
        long number = firstNumber + calls.size();
        Id id = Id.of(number);
        numbers.put(id, number);
        names.put(number, name);
        String params = "{\"n\":\"" + name + "\",\"account\":\"" + tenant + "\",\"session\":\"k"
            + random.nextInt(SESSIONS) + "\",\"left\":" + deadlineMillis + "}";
        calls.add(MessageWriter.call(id, method, params.getBytes(StandardCharsets.US_ASCII)));
      }
      return MessageWriter.frame(
          Framing.VALUES, calls.size() == 1 ? calls.get(0) : MessageWriter.array(calls));
    }

    @Override
    public List<Reply> decode(Object message) {
      Message read = message instanceof Frame.Complete frame ? reader.read(frame.bytes()) : null;
      if (read instanceof Message.Single single) {
        return List.of(reply(single.entry()));
      }
      return read instanceof Message.Batch batch
          ? batch.entries().stream().map(this::reply).toList()
          : List.of(new Reply(-1, Outcome.WRONG, "not a JSON-RPC message"));
    }

    private Reply reply(Message.Entry entry) {
      Long number = entry instanceof Message.Reply reply ? numbers.remove(reply.id()) : null;
      if (number == null) {
        return new Reply(-1, Outcome.WRONG, entry.toString());
      }
      String name = names.remove(number);
      Message.Reply reply = (Message.Reply) entry;
      if (reply.result() != null) {
        boolean matches =
            new String(reply.result(), StandardCharsets.UTF_8).contains("\"" + name + "\"");
        return new Reply(
            number, matches ? Outcome.SERVED : Outcome.WRONG, "result of another call");
      }
      int code = reply.code();
      return new Reply(
          number,
          code == ErrorCodes.FAILED
              ? Outcome.FAILED
              : code <= ErrorCodes.REFUSED && code >= ErrorCodes.NO_CAPACITY
                  ? Outcome.REFUSED
                  : Outcome.WRONG,
          new String(reply.error(), StandardCharsets.UTF_8));
    }

    @Override
    public boolean repliesInOrder() {
      return false;
    }
  }
}
