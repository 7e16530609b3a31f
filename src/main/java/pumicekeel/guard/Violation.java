package pumicekeel.guard;

/** What must never come to be; each is a defect of the program. */
public enum Violation {
  /** A connection was to be closed under a request that is taken and has no answer. */
  CLOSE_UNDER_REQUEST,
  /** An answer came for a connection on which none is owed. */
  ANSWER_NOT_OWED,
  /** A refusal, which promises that trying again is harmless, where something may have run. */
  REFUSAL_NOT_HARMLESS,
  /** An attempt would tell its upstream more time than its client has left. */
  TOLD_TOO_MUCH_TIME
}
