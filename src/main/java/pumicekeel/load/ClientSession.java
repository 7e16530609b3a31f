package pumicekeel.load;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import java.util.List;
import pumicekeel.load.LoadResults.Outcome;

/** The client's side of the protocol on one connection: encodes requests and decodes replies. Only on the connection's event loop. */
interface ClientSession {

  /** The reply to the request with this number; -1 for one that belongs to no request. {@code what} describes it for people. */
  record Reply(long number, Outcome how, String what) {}

  /** The handler that decodes bytes into the messages that {@link #decode} takes. */
  ChannelHandler codec();

  /** All these requests in one buffer. They are numbered upwards from {@code firstNumber}; names are unique within the load. */
  ByteBuf encode(long firstNumber, List<String> names);

  /** The replies that one message holds. */
  List<Reply> decode(Object message);

  /** Whether replies come in the order of requests, so that one that never comes makes the connection useless. */
  boolean inOrder();
}
