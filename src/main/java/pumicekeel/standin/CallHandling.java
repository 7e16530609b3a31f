package pumicekeel.standin;

/** How a stand-in discovery handles a call. */
public enum CallHandling {
  /** Responds with the full list. */
  RESPOND,
  /** Sends half of the list and leaves the connection open. */
  CUT,
  /** Responds with 503 at once. */
  REFUSE,
  /** Resets the connection at once. */
  RESET,
  /** Accepts the call and never responds. */
  IGNORE;

  /** Returns whether the call is queued like a served one. */
  boolean queues() {
    return this == RESPOND || this == CUT;
  }
}
