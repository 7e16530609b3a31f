package pumicekeel.standin;

import java.util.SplittableRandom;
import pumicekeel.standin.StandInRpcServer.Connection;
import pumicekeel.standin.StandInRpcServer.ReceivedCall;

/** A server script that responds after a delay and injects random faults by a seed. */
public final class StandInRpcFaults implements StandInRpcServer.Script {

  private final SplittableRandom random;
  private final long delayMillis;
  private final int perHundredThousand;

  /** Creates a script that injects a fault into {@code perHundredThousand} of 100,000 calls on average. */
  public StandInRpcFaults(long seed, long delayMillis, int perHundredThousand) {
    random = new SplittableRandom(seed);
    this.delayMillis = delayMillis;
    this.perHundredThousand = perHundredThousand;
  }

  @Override
  public void on(ReceivedCall call, Connection c) {
    int draw;
    int faultKind;
    synchronized (random) {
      draw = random.nextInt(100_000);
      faultKind = random.nextInt(9);
    }
    if (draw >= perHundredThousand) {
      c.later(delayMillis, () -> StandInRpcServer.ECHO.on(call, c));
      return;
    }
    switch (faultKind) {
      case 0 -> c.close();
      case 1 -> c.reset();
      // Two answers to the same call.
      case 2 -> {
        StandInRpcServer.ECHO.on(call, c);
        StandInRpcServer.ECHO.on(call, c);
      }
      // Half a message.
      case 3 -> c.raw("{\"jsonrpc\":\"2.0\",\"result\":{\"half\":");
      case 4 -> c.error(call.id(), -32603, "broken");
      // Not a message.
      case 5 -> c.raw("noise\n");
      // An answer to a call that was never made.
      case 6 -> c.result(call.id() + 1_000_000, "\"nobody's\"");
      // An answer after the caller's deadline.
      case 7 -> c.later(3_000, () -> StandInRpcServer.ECHO.on(call, c));
      default -> {} // No answer.
    }
  }
}
