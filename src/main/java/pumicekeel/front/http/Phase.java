package pumicekeel.front.http;

import java.util.EnumSet;
import java.util.Set;

/**
 * The state of a client connection. A request goes from RECEIVING to SUBMITTED or UPLOADING, possibly on to STREAMING,
 * and back to IDLE with the last byte of its answer; in DISCARDING the rest of a request is dropped that was answered
 * before it was complete.
 */
enum Phase {
  /** No request is in progress. */
  IDLE,
  /** A head or a buffered body is being received. */
  RECEIVING,
  /** The core has the complete request. */
  SUBMITTED,
  /** The core has the request, and its body is streamed to an upstream. */
  UPLOADING,
  /** The answer is being streamed. */
  STREAMING,
  /** The request has its answer, and the rest of its body is discarded. */
  DISCARDING,
  /** No further request is read on this connection. */
  CLOSING;

  /** Returns whether the core has yet to answer. */
  boolean awaitsAnswer() {
    return this == SUBMITTED || this == UPLOADING || this == STREAMING;
  }

  /** Returns whether this transition is allowed. */
  boolean canTransitionTo(Phase next) {
    return next == this || next == CLOSING || successors(this).contains(next);
  }

  private static Set<Phase> successors(Phase from) {
    return switch (from) {
      case IDLE -> EnumSet.of(RECEIVING);
      case RECEIVING -> EnumSet.of(IDLE, SUBMITTED, UPLOADING, DISCARDING);
      case SUBMITTED -> EnumSet.of(IDLE, STREAMING);
      case UPLOADING -> EnumSet.of(SUBMITTED, STREAMING, DISCARDING, IDLE);
      case STREAMING -> EnumSet.of(IDLE, DISCARDING);
      case DISCARDING -> EnumSet.of(IDLE);
      case CLOSING -> EnumSet.noneOf(Phase.class);
    };
  }
}
