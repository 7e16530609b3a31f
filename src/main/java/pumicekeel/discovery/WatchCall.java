package pumicekeel.discovery;

/**
 * One call to discovery, from its connect to the silence of its watch: says when it has stalled, so that another is made beside it, and when
 * it is given up. No I/O; times are nanoseconds of one monotonic clock.
 */
final class WatchCall {

  /** How far it has come. */
  enum Phase {
    CONNECTING,
    /** For its turn at the service. */
    WAITING,
    /** A list has begun. */
    RECEIVING,
    /** All that came was whole. */
    LIVE
  }

  /** What ended it. */
  enum End {
    /** An answer that is no list, or none that is whole. */
    ANSWERED,
    /** Its connection did not come up, or broke. */
    BROKEN,
    /** One of its own limits. */
    LIMIT
  }

  private final WatchTerms terms;
  private final boolean crowded;
  private final long begunAt;
  private Phase phase = Phase.CONNECTING;
  private long phaseAt;
  private long progressAt;
  private long connectedAt;
  private long wholeAt;
  private boolean told;

  /** One that begins now; nothing is made beside it while it waits for its turn at a crowded service. */
  WatchCall(WatchTerms terms, boolean crowded, long now) {
    this.terms = terms;
    this.crowded = crowded;
    begunAt = now;
    phaseAt = now;
    progressAt = now;
  }

  /** The connection is up, and the request is written. */
  void connected(long now) {
    connectedAt = now;
    enter(Phase.WAITING, now);
  }

  /** Bytes of the answer came. */
  void progress(boolean whole, long now) {
    progressAt = now;
    if (whole) {
      told = true;
      wholeAt = now;
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

  /** Whether it has told a whole list or given a whole sign of life. */
  boolean told() {
    return told;
  }

  long waited(long now) {
    return now - begunAt;
  }

  /** From when on another call is made beside this one. */
  long stalledAt() {
    if (!terms.overlapsCalls()) {
      return Long.MAX_VALUE;
    }
    return switch (phase) {
      case CONNECTING -> begunAt + terms.connectNanos();
      case WAITING -> crowded ? Long.MAX_VALUE : phaseAt + terms.answerNanos();
      case RECEIVING -> progressAt + terms.progressNanos();
      case LIVE -> crowded ? Long.MAX_VALUE : progressAt + terms.quietNanos();
    };
  }

  /** When it is given up. */
  long endsAt() {
    return switch (phase) {
      case CONNECTING -> begunAt + terms.connectNanos();
      case WAITING -> phaseAt + terms.giveUpNanos();
      case RECEIVING -> receivingEndsAt();
      case LIVE -> progressAt + terms.silenceNanos();
    };
  }

  private long receivingEndsAt() {
    if (terms.overlapsCalls()) {
      return Math.min(progressAt + 2 * terms.progressNanos(), phaseAt + terms.silenceNanos());
    }
    return told ? wholeAt + terms.silenceNanos() : connectedAt + terms.answerNanos();
  }

  /** What its end was. */
  CallFailure failure(End end, long now) {
    return switch (phase) {
      case CONNECTING ->
        waited(now) >= terms.connectNanos() / 2 ? CallFailure.UNCONNECTED : CallFailure.UNREACHABLE;
      case WAITING -> unanswered(end, now);
      case RECEIVING -> CallFailure.CUT;
      case LIVE -> end == End.LIMIT ? CallFailure.SILENT : CallFailure.ENDED;
    };
  }

  private CallFailure unanswered(End end, long now) {
    if (end == End.LIMIT) {
      return CallFailure.IGNORED;
    }
    if (waited(now) >= CallPlan.WAITED_NANOS) {
      return CallFailure.TURNED_AWAY_LATE;
    }
    return end == End.ANSWERED ? CallFailure.TURNED_AWAY : CallFailure.UNREACHABLE;
  }
}
