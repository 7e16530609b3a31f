package pumicekeel.call;

/** Pauses and resumes the source of a body's chunks as its sink can accept them. Event loop only. */
@FunctionalInterface
public interface FlowControl {

  /** Sets whether more chunks are wanted. */
  void flow(boolean on);
}
