package pumicekeel.call;

/**
 * The body of an upstream's answer and its content type or null. {@code error}: the upstream answered with an error
 * object of its application, which is forwarded as an error.
 */
public record Answer(byte[] body, String contentType, boolean error) {

  /** The largest body that is buffered, to be resent or inspected as a whole; larger ones are streamed. */
  public static final int MAX_BUFFERED_BYTES = 64 << 10;
  /** The largest body of requests and answers; a larger one is malformed. */
  public static final int MAX_BODY_BYTES = 32 << 20;
  /** The content type of JSON answers. */
  public static final String JSON = "application/json";

  /** Creates an answer that is not an error. */
  public Answer(byte[] body, String contentType) {
    this(body, contentType, false);
  }
}
