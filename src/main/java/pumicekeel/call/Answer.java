package pumicekeel.call;

/**
 * The body of an upstream's answer, and its type or null. {@code error}: the upstream's own last word is an error object
 * of its application, which is passed on as one.
 */
public record Answer(byte[] body, String contentType, boolean error) {

  /** What is kept of a body, so that it can be sent again or judged whole; a larger one goes on while it comes. */
  public static final int MAX_BUFFERED_BYTES = 64 << 10;
  /** The largest body, of requests and answers; beyond it one is malformed. */
  public static final int MAX_BODY_BYTES = 32 << 20;
  /** The type of an answer that is JSON. */
  public static final String JSON = "application/json";

  /** One that is what was asked for. */
  public Answer(byte[] body, String contentType) {
    this(body, contentType, false);
  }
}
