package pumicekeel.front.jsonrpc;

import java.util.Map;

/** How a batch is answered whose calls have times of their own. */
public enum BatchMode {
  /** One array where all end soon enough; none waits for another beyond its class's aim, or at all once it is given up. */
  IN_TIME,
  /** One array, always: all calls get the time of the shortest, and a refusal waits for the others. */
  TOGETHER,
  /** An array of one for each, as soon as it has ended. */
  APART;

  /** As settings name them. */
  public static final Map<String, BatchMode> NAMES =
      Map.of("in-time", IN_TIME, "together", TOGETHER, "apart", APART);
}
