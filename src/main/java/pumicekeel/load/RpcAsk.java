package pumicekeel.load;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import pumicekeel.jsonrpc.Codes;
import pumicekeel.jsonrpc.Frame;
import pumicekeel.jsonrpc.FrameDecoder;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Id;
import pumicekeel.jsonrpc.Limits;
import pumicekeel.jsonrpc.Message;
import pumicekeel.jsonrpc.MessageReader;
import pumicekeel.jsonrpc.Writer;
import pumicekeel.load.Account.End;

/**
 * A JSON-RPC call. The params carry a name of the call's own, which a server's echo has to bring back: an answer that is another call's is
 * seen.
 */
public record RpcAsk(String method, String tenant, long deadlineMillis) implements Ask {

  private static final Limits LIMITS = new Limits(4 << 20, Limits.MOST_DEPTH, 1_000);
  private static final int SESSIONS = 500;

  @Override
  public Speech on(SplittableRandom random) {
    return new Connection(random);
  }

  /** Many at a time, answered in any order, singly or in batches. */
  private final class Connection implements Speech {
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
    public ByteBuf ask(long first, List<String> asked) {
      List<byte[]> calls = new ArrayList<>();
      for (String name : asked) {
        long number = first + calls.size();
        Id id = Id.of(number);
        numbers.put(id, number);
        names.put(number, name);
        String params = "{\"n\":\"" + name + "\",\"account\":\"" + tenant + "\",\"session\":\"k"
            + random.nextInt(SESSIONS) + "\",\"left\":" + deadlineMillis + "}";
        calls.add(Writer.call(id, method, params.getBytes(StandardCharsets.US_ASCII)));
      }
      return Writer.frame(Framing.VALUES, calls.size() == 1 ? calls.get(0) : Writer.array(calls));
    }

    @Override
    public List<Told> read(Object message) {
      Message read = message instanceof Frame.Whole whole ? reader.read(whole.bytes()) : null;
      if (read instanceof Message.One one) {
        return List.of(told(one.entry()));
      }
      return read instanceof Message.Batch batch
          ? batch.entries().stream().map(this::told).toList()
          : List.of(new Told(-1, End.WRONG, "no message"));
    }

    private Told told(Message.Entry entry) {
      Long number = entry instanceof Message.Reply reply ? numbers.remove(reply.id()) : null;
      if (number == null) {
        return new Told(-1, End.WRONG, entry.toString());
      }
      String name = names.remove(number);
      Message.Reply reply = (Message.Reply) entry;
      if (reply.result() != null) {
        boolean own =
            new String(reply.result(), StandardCharsets.UTF_8).contains("\"" + name + "\"");
        return new Told(number, own ? End.SERVED : End.WRONG, "another's result");
      }
      int code = reply.code();
      return new Told(
          number,
          code == Codes.FAILED
              ? End.FAILED
              : code <= Codes.REFUSED && code >= Codes.NO_ROOM ? End.REFUSED : End.WRONG,
          new String(reply.error(), StandardCharsets.UTF_8));
    }

    @Override
    public boolean inOrder() {
      return false;
    }
  }
}
