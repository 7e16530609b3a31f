package pumicekeel.jsonrpc;

/** Codes of the error objects that the balancer itself sends; see section 5.1 of the JSON-RPC 2.0 specification. */
public final class ErrorCodes {

  /** Not JSON, or JSON that parsers interpret differently. Nothing ran. */
  public static final int PARSE = -32700;
  /** JSON, but not a request. Nothing ran. */
  public static final int INVALID_REQUEST = -32600;
  /** The method is not configured. Nothing ran. */
  public static final int UNKNOWN_METHOD = -32601;
  /** A parameter that the settings require is missing or has the wrong type. Nothing ran. */
  public static final int INVALID_PARAMS = -32602;
  /** Failed: the call may have run. */
  public static final int FAILED = -32000;
  /** Refused: a retry is safe, after {@code data.retryAfterMs} if present. */
  public static final int REFUSED = -32001;
  /** The balancer is about to stop: nothing ran; the client has to use another connection. */
  public static final int DRAINING = -32002;
  /** No capacity for the call: nothing ran; {@code data.retryAfterMs} is when there may be. */
  public static final int NO_CAPACITY = -32003;
  /** The method is configured but no route matches. Nothing ran. */
  public static final int NO_ROUTE = -32004;

  /** The range that the specification reserves for server errors. */
  public static final int SERVER_MIN = -32099;

  public static final int SERVER_MAX = -32000;
  public static final int INTERNAL = -32603;

  /** Returns the message of a code; for codes of section 5.1, the one given there. */
  public static String messageOf(int code) {
    return switch (code) {
      case PARSE -> "Parse error";
      case INVALID_REQUEST -> "Invalid Request";
      case UNKNOWN_METHOD -> "Method not found";
      case INVALID_PARAMS -> "Invalid params";
      case FAILED -> "Failed: it may have run";
      case REFUSED -> "Refused: trying again is harmless";
      case DRAINING -> "About to stop: use another connection";
      case NO_CAPACITY -> "No room";
      case NO_ROUTE -> "No route";
      default -> "Error";
    };
  }

  private ErrorCodes() {}
}
