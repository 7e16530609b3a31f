package pumicekeel.load;

import java.util.SplittableRandom;

/** Template from which a load creates requests of one kind in one protocol. */
public sealed interface RequestTemplate permits HttpRequestTemplate, RpcRequestTemplate {

  /** Returns how long a client waits for the answer. */
  long deadlineMillis();

  /** Creates the client side of a new connection, which draws the random parts of its requests from {@code random}. */
  ClientSession openSession(SplittableRandom random);
}
