package pumicekeel.call;

/** Receives the final answer of a request. */
public interface Client {

  /** Called with the answer of an upstream, which is final. */
  void served(Answer answer);

  /**
   * Called when an answer begins that is too large or too slow to be buffered: returns the sink of its chunks, or null
   * if only complete answers can be used. No other method is called afterwards; the sink is notified of the end.
   */
  default BodySink beginStream(AnswerStart start, FlowControl source) {
    return null;
  }

  /**
   * Called right before a request's first byte is sent: returns whether its client is certainly still connected. A
   * client that has disconnected is handled as such before this returns; one that has sent so much that its end cannot
   * be seen counts as not connected, and still gets an answer.
   */
  default boolean isConnected() {
    return true;
  }

  /** Called when the request is refused, so that its client may repeat it; 0 nanoseconds mean that no Retry-After is sent. */
  void refused(long retryAfterNanos);

  /** Called when the request has failed: no answer arrived, and it may have run. */
  void failed();

  /**
   * Called before the refusal of a request of which nothing ran and no attempt is in flight; returns true if something
   * else answers it from now on, within the remaining time.
   */
  default boolean handOver(long leftNanos) {
    return false;
  }
}
