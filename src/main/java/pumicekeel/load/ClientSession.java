package pumicekeel.load;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import java.util.List;
import pumicekeel.load.LoadResults.Outcome;

/** The client side of a protocol on one connection: encodes requests and decodes replies. Confined to the connection's event loop. */
interface ClientSession {

  /** The reply to the request with this number, or -1 if it belongs to no request. {@code description} is for error reports. */
  record Reply(long number, Outcome outcome, String description) {}

  /** Returns the handler that decodes bytes into the messages for {@link #decode}. */
  ChannelHandler codec();

  /** Encodes one request per name into one buffer. They are numbered upwards from {@code firstNumber}; names are unique within the load. */
  ByteBuf encode(long firstNumber, List<String> names);

  /** Returns the replies in a message. */
  List<Reply> decode(Object message);

  /** Returns whether replies arrive in the order of requests, so that a missing one makes the connection unusable. */
  boolean repliesInOrder();
}
