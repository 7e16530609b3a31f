package pumicekeel.load;

import java.util.SplittableRandom;

/** One kind of thing that is asked, in one protocol. */
public sealed interface Ask permits HttpAsk, RpcAsk {

  /** How long its client waits. */
  long deadlineMillis();

  /** Speaks it on one connection from now on. */
  Speech on(SplittableRandom random);
}
