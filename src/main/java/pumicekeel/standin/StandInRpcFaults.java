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
    int kind;
    synchronized (random) {
      draw = random.nextInt(100_000);
      kind = random.nextInt(9);
    }
    if (draw >= perHundredThousand) {
      c.later(delayMillis, () -> StandInRpcServer.ECHO.on(call, c));
      return;
    }
    switch (kind) {
      case 0 -> c.close();
      case 1 -> c.reset();
      case 2 -> {
        StandInRpcServer.ECHO.on(call, c);
        StandInRpcServer.ECHO.on(call, c);
      }
      case 3 -> c.raw("{\"jsonrpc\":\"2.0\",\"result\":{\"half\":");
      case 4 -> c.error(call.id(), -32603, "broken");
      case 5 -> c.raw("noise\n");
      case 6 -> c.result(call.id() + 1_000_000, "\"nobody's\"");
      case 7 -> c.later(3_000, () -> StandInRpcServer.ECHO.on(call, c));
      default -> {}
    }
  }
}
