package pumicekeel.front.jsonrpc;

import java.util.Map;

/** How the answers of a batch are sent whose calls have different deadlines. */
public enum BatchMode {
  /** One array if all calls end in time; an answer waits for others at most until its class's aim, a refusal or failure never. */
  IN_TIME,
  /** Always one array: all calls get the shortest time left of any, and a refusal waits for the others. */
  TOGETHER,
  /** An array of one for each answer, as soon as its call has ended. */
  APART;

  /** The modes by their names in settings. */
  public static final Map<String, BatchMode> NAMES =
      Map.of("in-time", IN_TIME, "together", TOGETHER, "apart", APART);
}
