package pumicekeel.standin;

/** What a stand-in discovery does with a call. */
public enum CallFate {
  /** Tells the whole list. */
  RESPOND,
  /** Writes half of the list and leaves the connection open. */
  CUT,
  /** Answers 503 at once. */
  REFUSE,
  /** Resets the connection at once. */
  RESET,
  /** Accepts it and never answers. */
  IGNORE;

  /** Whether it takes its turn as a served call does. */
  boolean queues() {
    return this == RESPOND || this == CUT;
  }
}
