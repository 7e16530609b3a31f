package pumicekeel.rig.scale;

/** The program does not take a configuration of that size; the message says what it said. */
public final class RefusedException extends Exception {

  private static final long serialVersionUID = 1L;

  RefusedException(String why) {
    super(why);
  }
}
