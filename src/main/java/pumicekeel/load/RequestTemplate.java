package pumicekeel.load;

import java.util.SplittableRandom;

/** One kind of request in one protocol: what each of a load's requests is made from. */
public sealed interface RequestTemplate permits HttpRequestTemplate, RpcRequestTemplate {

  /** How long a client waits for the answer. */
  long deadlineMillis();

  /** The client's side of one new connection; randomness of its requests comes from {@code random}. */
  ClientSession openSession(SplittableRandom random);
}
