package pumicekeel.guard;

/** Why a client's connection is closed. */
public enum CloseReason {
  /** No request arrived on it within the idle limit. */
  IDLE(false),
  /** Closed in favour of other clients, at the connection limit or when file descriptors run short. */
  GIVES_WAY(false),
  /** The process or its listener is shutting down. */
  STOPPING(false),
  /** Its last response has been sent. */
  LAST_ANSWER(false),
  /** A request on it arrives too slowly or exceeds a size limit. */
  TOO_SLOW(false),
  /** The discarded remainder of a request does not end. */
  SKIPPED_TOO_MUCH(false),
  /** An internal error while handling the connection, with no request accepted. */
  DEFECT(false),
  /** The client does not read what was written to it. */
  STUCK(true),
  /** The client closed it. */
  CLIENT_LEFT(true),
  /** Connection failure: a reset, or a read or write that cannot be retried. */
  BROKEN(true),
  /** A response that was being streamed is cut off, so that the client can detect that it is incomplete. */
  ANSWER_CUT(true);

  private final boolean endsRequest;

  CloseReason(boolean endsRequest) {
    this.endsRequest = endsRequest;
  }

  /** Returns whether closing for this reason also ends an open request, because its client or its response is at an end. */
  public boolean endsRequest() {
    return endsRequest;
  }
}
