package pumicekeel.jsonrpc;

/** The codes of error objects that the balancer itself answers with. Section 5.1 of the JSON-RPC 2.0 specification. */
public final class ErrorCodes {

  /** Not JSON, or JSON that readers would differ over. Nothing ran. */
  public static final int PARSE = -32700;
  /** JSON, but no request. Nothing ran. */
  public static final int INVALID_REQUEST = -32600;
  /** No setting knows the method. Nothing ran. */
  public static final int UNKNOWN_METHOD = -32601;
  /** A parameter that the settings ask for is missing or of the wrong type. Nothing ran. */
  public static final int INVALID_PARAMS = -32602;
  /** Failed: it may have run. No promise is made. */
  public static final int FAILED = -32000;
  /** Refused: trying again is harmless, after {@code data.retryAfterMs} where it is there. */
  public static final int REFUSED = -32001;
  /** The balancer is about to stop: nothing ran, another connection is to be used. */
  public static final int DRAINING = -32002;
  /** No room for the call: nothing ran; {@code data.retryAfterMs} says when there may be. */
  public static final int NO_ROOM = -32003;
  /** The method is known and no route takes it. Nothing ran. */
  public static final int NO_ROUTE = -32004;

  /** The range that the specification keeps for servers. */
  public static final int SERVER_MIN = -32099;

  public static final int SERVER_MAX = -32000;
  public static final int INTERNAL = -32603;

  /** The message of a code, as section 5.1 has it for its own. */
  public static String messageOf(int code) {
    return switch (code) {
      case PARSE -> "Parse error";
      case INVALID_REQUEST -> "Invalid Request";
      case UNKNOWN_METHOD -> "Method not found";
      case INVALID_PARAMS -> "Invalid params";
      case FAILED -> "Failed: it may have run";
      case REFUSED -> "Refused: trying again is harmless";
      case DRAINING -> "About to stop: use another connection";
      case NO_ROOM -> "No room";
      case NO_ROUTE -> "No route";
      default -> "Error";
    };
  }

  private ErrorCodes() {}
}
