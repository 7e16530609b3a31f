package pumicekeel.upstream;

/** Why an answer is passed on to its client before it is whole. */
public enum PassOnReason {
  /** It is larger than what is buffered of an answer. */
  SIZE,
  /** No memory is left to buffer more of it. */
  NO_MEMORY,
  /** It has been buffered for as long as an answer may be held back. */
  BUFFERED_LONG,
  /** Its client's time is almost up. */
  TIME_ALMOST_UP
}
