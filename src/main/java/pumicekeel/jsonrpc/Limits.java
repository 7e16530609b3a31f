package pumicekeel.jsonrpc;

/**
 * Limits of one message.
 *
 * @param bytes the size of the whole message
 * @param depth the depth of nested arrays and objects, including the message's object and a batch's array
 * @param calls the number of entries in a batch
 */
public record Limits(int bytes, int depth, int calls) {

  /** The scanner stores the type of each open bracket in one bit of a long. */
  public static final int MAX_DEPTH = 64;
  /** Longer than any id that clients generate; each id is stored and copied for every call. */
  public static final int MAX_ID_LENGTH = 256;
  /** Far above any real number; in some parsers at upstreams, parsing takes time quadratic in the number of digits. */
  public static final int MAX_NUMBER_LENGTH = 1_000;
  /** Maximum length of a method name, which is looked up and logged. */
  public static final int MAX_METHOD_LENGTH = 256;

  public Limits {
    if (bytes < 1 || depth < 1 || depth > MAX_DEPTH || calls < 1) {
      throw new IllegalArgumentException(
          "limits of a message: " + bytes + " bytes, depth " + depth + ", " + calls);
    }
  }
}
