package pumicekeel.call;

/** Where the final answer of a request goes. */
public interface Client {

  void served(Answer answer);

  /**
   * Asked when an answer begins that is too large or too slow to be kept: where its pieces go, or null where only whole
   * answers are of use. After that none of the others is called: the sink is told of the end.
   */
  default BodySink beginStream(AnswerStart start, FlowControl source) {
    return null;
  }

  /**
   * Asked right before a request's first byte goes out: whether its client is surely there. One that has left is gone by the
   * return, as if it had been seen to leave; one that has sent so much that its end can't be seen is not, and is owed an answer.
   */
  default boolean isConnected() {
    return true;
  }

  void refused(long retryAfterNanos);

  void failed();

  /**
   * Asked before a refusal of a request of which nothing ran and nothing is out: true where something else answers it
   * from now on, within what is left of its time.
   */
  default boolean handOver(long leftNanos) {
    return false;
  }
}
