package pumicekeel.guard;

/** Operations that must never happen; each one indicates a defect in this program. */
public enum Violation {
  /** A connection was about to be closed while a request accepted on it had no response. */
  CLOSE_UNDER_REQUEST,
  /** A response was produced for a connection with no outstanding request. */
  ANSWER_NOT_OWED,
  /** A rejection, which promises that a retry is harmless, although an attempt may have run. */
  REFUSAL_NOT_HARMLESS,
  /** An attempt was about to announce more time to its upstream than its client has left. */
  TOLD_TOO_MUCH_TIME
}
