package pumicekeel.node;

/** Where the final answer of a request goes. */
interface Client {

  void served(Answer answer);

  void refused(long retryAfterNanos);

  void failed();
}
