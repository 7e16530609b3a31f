package pumicekeel.adapter;

/** Thrown for malformed input; the message names the error and, once known, its line. */
public final class WireException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message);
  }
}
