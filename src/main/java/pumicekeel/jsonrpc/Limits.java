package pumicekeel.jsonrpc;

/**
 * Bounds on one message.
 *
 * @param bytes the whole message
 * @param depth nested arrays and objects, the message's own object and a batch's array among them
 * @param calls entries of a batch
 */
public record Limits(int bytes, int depth, int calls) {

  /** A scanner keeps the kind of each open bracket in one bit of a long. */
  public static final int MAX_DEPTH = 64;
  /** No id that a client makes is as long, and each is kept and copied for every call. */
  public static final int MAX_ID_LENGTH = 256;
  /** Far beyond any quantity; reading a number is quadratic in its digits for some readers behind us. */
  public static final int MAX_NUMBER_LENGTH = 1_000;
  /** A method's name; it is kept in logs and looked up. */
  public static final int MAX_METHOD_LENGTH = 256;

  public Limits {
    if (bytes < 1 || depth < 1 || depth > MAX_DEPTH || calls < 1) {
      throw new IllegalArgumentException(
          "limits of a message: " + bytes + " bytes, depth " + depth + ", " + calls);
    }
  }
}
