package pumicekeel.rig.scale;

/** Thrown if the program under test rejects a configuration of the measured size; the message quotes what it reported. */
public final class RefusedException extends Exception {

  private static final long serialVersionUID = 1L;

  RefusedException(String message) {
    super(message);
  }
}
