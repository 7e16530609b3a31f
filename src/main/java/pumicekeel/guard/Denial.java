package pumicekeel.guard;

/** Why an attempt must not be sent now. Each reason occurs in normal operation. */
public enum Denial {
  /** The request already has its final response, or its client was given up. */
  REQUEST_ENDED,
  /** The client has closed its connection, or the connection's state cannot be determined. */
  CLIENT_LEFT,
  /** The upstream is draining or removed. */
  UPSTREAM_LEAVES,
  /** The list that names the upstream is too old: a departure missing from it may already be in effect. */
  LIST_OUTDATED,
  /** An earlier attempt may have run, so that another one could repeat its effect. */
  NOT_REPEATABLE,
  /** The maximum number of attempts was made. */
  ATTEMPTS_SPENT,
  /** The client's time limit has passed. */
  TIME_UP
}
