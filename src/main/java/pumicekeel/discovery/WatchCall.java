package pumicekeel.discovery;

/**
 * One call to discovery, from its connect until its watch falls silent. Determines when it has stalled, so that a second call is made in
 * parallel, and when it is given up. No I/O; times are nanoseconds of one monotonic clock.
 */
final class WatchCall {

  /** Progress of the call. */
  enum Phase {
    CONNECTING,
    /** Waiting in the service's queue. */
    WAITING,
    /** A list has begun. */
    RECEIVING,
    /** Everything received so far is complete. */
    LIVE
  }

  /** What ended the call. */
  enum End {
    /** A response that is not a list, or not a complete one. */
    ANSWERED,
    /** The connection could not be established, or it failed. */
    BROKEN,
    /** One of the call's own time limits. */
    LIMIT,
    /** A lack of this process's own, before the connection was established. */
    NOT_MADE
  }

  private final WatchTerms terms;
  private final boolean crowded;
  private final long startedAt;
  private Phase phase = Phase.CONNECTING;
  private long phaseAt;
  private long progressAt;
  private long connectedAt;
  private long completeAt;
  /** When the call was last seen to be open without a response. */
  private long unansweredAt;

  private boolean receivedList;

  /** Starts a call; no second one is made in parallel while this one waits in the queue of a crowded service. */
  WatchCall(WatchTerms terms, boolean crowded, long now) {
    this.terms = terms;
    this.crowded = crowded;
    startedAt = now;
    phaseAt = now;
    progressAt = now;
    unansweredAt = now;
  }

  /** Records that the connection is established and the request is written. */
  void connected(long now) {
    connectedAt = now;
    enter(Phase.WAITING, now);
  }

  /**
   * Records that the event loop ran and the call was still open. How long a call has waited is taken from here rather than from
   * the time of its end, since a loop that is late reads a response long after it arrived.
   */
  void stillOpen(long now) {
    if (phase == Phase.WAITING) {
      unansweredAt = now;
    }
  }

  /** Returns when the call, if it is not answered until then, has waited in the service's queue. */
  long queuedAt() {
    return phase == Phase.WAITING ? startedAt + CallBackoff.QUEUED_CALL_NANOS : Long.MAX_VALUE;
  }

  /** Records that bytes of the response arrived. */
  void progress(boolean complete, long now) {
    progressAt = now;
    if (complete) {
      receivedList = true;
      completeAt = now;
      enter(Phase.LIVE, now);
    } else if (phase != Phase.RECEIVING) {
      enter(Phase.RECEIVING, now);
    }
  }

  private void enter(Phase next, long now) {
    phase = next;
    phaseAt = now;
  }

  Phase phase() {
    return phase;
  }

  /** Returns whether a complete list or heartbeat has been received. */
  boolean hasReceivedList() {
    return receivedList;
  }

  long elapsedNanos(long now) {
    return now - startedAt;
  }

  /** Returns when a second call is to be made in parallel to this one. */
  long stalledAt() {
    if (!terms.overlapsCalls()) {
      return Long.MAX_VALUE;
    }
    return switch (phase) {
      case CONNECTING -> startedAt + terms.connectNanos();
      case WAITING -> crowded ? Long.MAX_VALUE : phaseAt + terms.answerNanos();
      case RECEIVING -> progressAt + terms.progressNanos();
      case LIVE -> crowded ? Long.MAX_VALUE : progressAt + terms.quietNanos();
    };
  }

  /** Returns when the call is given up. */
  long givenUpAt() {
    return switch (phase) {
      case CONNECTING -> startedAt + terms.connectNanos();
      case WAITING -> phaseAt + terms.giveUpNanos();
      case RECEIVING -> receivingGivenUpAt();
      case LIVE -> progressAt + terms.silenceNanos();
    };
  }

  private long receivingGivenUpAt() {
    if (terms.overlapsCalls()) {
      return Math.min(progressAt + 2 * terms.progressNanos(), phaseAt + terms.silenceNanos());
    }
    return receivedList ? completeAt + terms.silenceNanos() : connectedAt + terms.answerNanos();
  }

  /** Classifies the failure of the call. */
  CallFailure failure(End end, long now) {
    return switch (phase) {
      case CONNECTING -> unconnectedFailure(end, now);
      case WAITING -> unansweredFailure(end);
      case RECEIVING -> CallFailure.CUT;
      case LIVE -> end == End.LIMIT ? CallFailure.SILENT : CallFailure.ENDED;
    };
  }

  private CallFailure unconnectedFailure(End end, long now) {
    if (end == End.NOT_MADE) {
      return CallFailure.NOT_MADE;
    }
    return elapsedNanos(now) >= terms.connectNanos() / 2
        ? CallFailure.UNCONNECTED
        : CallFailure.UNREACHABLE;
  }

  private CallFailure unansweredFailure(End end) {
    if (end == End.LIMIT) {
      return CallFailure.IGNORED;
    }
    if (unansweredAt >= queuedAt()) {
      return CallFailure.TURNED_AWAY_LATE;
    }
    return end == End.ANSWERED ? CallFailure.TURNED_AWAY : CallFailure.UNREACHABLE;
  }
}
