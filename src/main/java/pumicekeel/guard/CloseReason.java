package pumicekeel.guard;

/** Why a client's connection is closed. */
public enum CloseReason {
  /** Nothing was asked on it for the idle limit. */
  IDLE(false),
  /** It gives way to others at the limit on connections, or in a shortage of descriptors. */
  GIVES_WAY(false),
  /** The process ends, or its listener does. */
  STOPPING(false),
  /** It had its last answer. */
  LAST_ANSWER(false),
  /** What it sends of a request comes too slowly, or is too much. */
  TOO_SLOW(false),
  /** A request's rest that is dropped does not end. */
  SKIPPED_TOO_MUCH(false),
  /** A defect of its handling, with nothing taken. */
  DEFECT(false),
  /** It takes nothing of what was written to it. */
  STUCK(true),
  /** Its client has ended it. */
  CLIENT_LEFT(true),
  /** It broke: a reset, or a read or write that can't be repeated. */
  BROKEN(true),
  /** An answer that was being passed on is cut, so that its client can tell. */
  ANSWER_CUT(true);

  private final boolean endsRequest;

  CloseReason(boolean endsRequest) {
    this.endsRequest = endsRequest;
  }

  /** Whether a request that is open ends with the connection, by its client's or its answer's doing. */
  public boolean endsRequest() {
    return endsRequest;
  }
}
