package pumicekeel.load;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import java.util.List;
import pumicekeel.load.Account.End;

/** One connection's side of a protocol: puts what is asked into bytes, and reads what is told. */
interface Speech {

  /** The answer to the one of this number; -1 for one that answers nothing. */
  record Told(long number, End how, String what) {}

  /** What reads bytes into messages. */
  ChannelHandler codec();

  /** One write, which asks for all of these; numbers count up on the connection, names are those of the load. */
  ByteBuf ask(long firstNumber, List<String> names);

  /** What a message tells. */
  List<Told> read(Object message);

  /** Whether a connection is of no use any more once an answer on it stays out. */
  boolean inOrder();
}
