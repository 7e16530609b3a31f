package pumicekeel.adapter;

/** Malformed input; the message says what was wrong and, once known, on which line. */
public final class WireException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message);
  }
}
