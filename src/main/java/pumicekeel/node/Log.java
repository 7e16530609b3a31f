package pumicekeel.node;

/** The balancer's log: changes of state, a line each, on standard error. */
final class Log {

  private Log() {}

  static void line(String text) {
    System.err.println(text.replace('\n', ' ').replace('\r', ' '));
  }
}
