package pumicekeel.call;

/** The source of a body's pieces, which stops and goes on as its sink can take them. Only on the loop. */
@FunctionalInterface
public interface FlowControl {

  /** Whether more pieces are wanted. */
  void flow(boolean on);
}
