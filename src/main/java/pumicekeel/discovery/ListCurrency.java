package pumicekeel.discovery;

import java.util.concurrent.TimeUnit;

/**
 * How current a list of upstreams is, and whether requests may be sent by it. One instance for each source of lists. Times are
 * nanoseconds of one monotonic clock, passed in; no I/O.
 *
 * <p>What discovery had at {@link #asOf} is known here. A later change counts as announced 6 s after that at the earliest, and requests
 * to a departed upstream may be sent for the drain grace beyond. After both, a list that shows no departure proves nothing, unless
 * discovery cannot be reached: then nothing counts as announced.
 *
 * <p>A failed call does not distinguish an outage from overload: a service that is down and one that is crowded both answer 503. The
 * following evidence is weighed, in this order: no outage if a response arrived in part or another balancer has a newer list, or if calls
 * could not be made and then one was queued; an outage if other balancers query as well; no outage if a call was accepted and then not
 * answered; an outage if calls cannot be made, so many in a row that a service which answers three in ten would have answered one; an
 * outage, for a while, if discovery has ended a working watch and answered nothing since. Otherwise the list is outdated.
 *
 * <p>What an outage has proved stays true after it: nothing counts as announced while discovery could not be reached, so that the 6 s run
 * from the last call that showed it, {@link #unreachableAt}.
 */
public final class ListCurrency {

  /** Whether requests may be sent by the list. */
  public enum State {
    /** A watch works, or another balancer's report is recent. */
    CURRENT,
    /** Nothing was received for a while; a missed change cannot be in effect yet. */
    AGING,
    /** A missed change may be in effect by now: nothing is sent. */
    OUTDATED,
    /** Old, but discovery cannot be reached, so that no change is in effect. */
    OUTAGE
  }

  /** A change counts as announced this long after discovery had it and could be reached. */
  public static final long CHANGE_NOTICE_NANOS = TimeUnit.SECONDS.toNanos(6);
  /** A process may be delayed this long between reading its clock and its write. */
  private static final long MAX_PROCESS_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
  /** A heartbeat comes every 2 s. */
  private static final long HEARTBEAT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final long MAX_CURRENT_AGE_NANOS = HEARTBEAT_NANOS + HEARTBEAT_NANOS / 2;
  /** A service that answers three calls in ten fails this many in a row one time in three hundred. */
  private static final int OUTAGE_FAILURES = 16;
  /** This many connects in a row without an answer are equivalent: the kernel has retransmitted each. */
  private static final int OUTAGE_UNCONNECTED = 4;
  /** Evidence for or against an outage counts for this long. */
  private static final long EVIDENCE_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(3);
  /** Maximum duration of an outage that is presumed from the end of a watch alone. */
  private static final long MAX_PRESUMED_OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(20);
  /** A call that is queued after this many in a row could not be made shows that discovery is back. */
  private static final int RETURN_FAILURES = 4;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final boolean pushed;
  private long graceNanos;
  private long asOf;
  private long lastContactAt = NEVER;
  private boolean confirmedByPeer;
  private State state = State.CURRENT;
  private long stateSince;
  private int consecutiveFailures;
  private long partialAnswerAt = NEVER;
  private long ignoredAt = NEVER;
  private long notMadeAt = NEVER;
  private long watchEndedAt = NEVER;
  /** The start of the last call that proved an outage; nothing counted as announced by then. */
  private long unreachableAt = NEVER;
  /** Whether discovery was found to be back, though it has not answered with a list yet. */
  private boolean returned;

  private long peerQueriedAt = NEVER;
  private long peerReportedAt = NEVER;

  /**
   * Creates the state of a list that is current as of now, at start-up.
   *
   * @param pushed an agent on this machine forwards the list, and is silent while discovery is down
   * @param graceNanos the drain grace
   */
  public ListCurrency(boolean pushed, long graceNanos, long now) {
    this.pushed = pushed;
    this.graceNanos = graceNanos;
    asOf = now;
    stateSince = now;
  }

  /** Sets the drain grace. */
  public void setGrace(long nanos) {
    graceNanos = nanos;
  }

  /** Records that a watch has delivered everything that discovery had: a complete list, or a heartbeat. */
  public void markCurrent(long now) {
    asOf = Math.max(asOf, now);
    confirmedByPeer = false;
    lastContactAt = now;
    forgetFailures();
  }

  /** Records that another balancer's report covers this list: departures up to that time are known. */
  public void confirmedByPeer(long peerAsOf) {
    confirmedByPeer |= peerAsOf > asOf;
    asOf = Math.max(asOf, peerAsOf);
  }

  /** Records the failure of a call that was started at a given time. */
  public void callFailed(CallFailure failure, long startedAt, long now) {
    switch (failure) {
      case UNREACHABLE -> couldNotBeMade(1, startedAt);
      case UNCONNECTED -> couldNotBeMade(OUTAGE_FAILURES / OUTAGE_UNCONNECTED, startedAt);
      case TURNED_AWAY -> consecutiveFailures = 0;
      case TURNED_AWAY_LATE -> {
        returned |= consecutiveFailures >= RETURN_FAILURES;
        consecutiveFailures = 0;
      }
      case CUT -> partialAnswerAt = now;
      case IGNORED -> ignoredAt = now;
      case NOT_MADE -> notMadeAt = now;
      case ENDED -> watchEndedAt = now;
      case SILENT -> {}
    }
  }

  /**
   * Records that another discovery is called from now on: what calls to the one before showed says nothing of this one. If
   * that one was out of reach until now, nothing counted as announced until now.
   */
  public void discoveryMoved(long now) {
    if (!pushed && outage(now)) {
      unreachableAt = now;
    }
    forgetFailures();
  }

  private void forgetFailures() {
    consecutiveFailures = 0;
    partialAnswerAt = NEVER;
    ignoredAt = NEVER;
    notMadeAt = NEVER;
    watchEndedAt = NEVER;
    returned = false;
  }

  private void couldNotBeMade(int weight, long startedAt) {
    consecutiveFailures += weight;
    if (consecutiveFailures >= OUTAGE_FAILURES) {
      unreachableAt = startedAt;
      returned = false;
    }
  }

  /** Records that another balancer queries for departures, since its list is old. */
  public void peerQueried(long now) {
    peerQueriedAt = now;
  }

  /** Records that another balancer has a current list, whether or not its report covers this one. */
  public void peerReported(long now) {
    peerReportedAt = now;
  }

  /** Returns the time up to which everything that discovery had is known here. */
  public long asOf() {
    return asOf;
  }

  /** Returns whether departures are known from other balancers' reports, later than from discovery itself. */
  public boolean isConfirmedByPeer() {
    return confirmedByPeer;
  }

  /** Returns when data from discovery itself last arrived. */
  public long lastContactAt() {
    return lastContactAt;
  }

  /** Returns the list's age in nanoseconds. */
  public long age(long now) {
    return now - asOf;
  }

  /** Returns until when requests may be sent by this list, unless discovery cannot be reached. */
  public long sendableUntil() {
    return sendableFor(Math.max(asOf, unreachableAt));
  }

  /** Returns until when requests may be sent if no change was missed by this time. */
  private long sendableFor(long complete) {
    return complete + CHANGE_NOTICE_NANOS + graceNanos - 2 * MAX_PROCESS_PAUSE_NANOS;
  }

  /** Returns the time left until then; negative once it has passed. */
  public long sendableNanosLeft(long now) {
    return sendableUntil() - now;
  }

  /** Returns whether requests may be sent by this list. */
  public boolean sendable(long now) {
    return sendableNanosLeft(now) > 0 || outage(now);
  }

  /** Returns the current state; {@link #stateChangeLine} reports a change. */
  public State state(long now) {
    if (age(now) <= MAX_CURRENT_AGE_NANOS) {
      return State.CURRENT;
    }
    if (now < sendableFor(asOf)) {
      return State.AGING;
    }
    if (outage(now)) {
      return State.OUTAGE;
    }
    return sendableNanosLeft(now) > 0 ? State.AGING : State.OUTDATED;
  }

  /** Returns a line for the log if the state has changed since the last call; otherwise null. */
  public String stateChangeLine(long now) {
    State next = state(now);
    if (next == state) {
      return null;
    }
    String line = state + " for " + millis(now - stateSince) + " ms, now " + next + ", age "
        + millis(age(now)) + " ms, " + evidenceLine(now);
    state = next;
    stateSince = now;
    return line;
  }

  /** Returns from when on a change may have been missed, and what is known of an outage. */
  private String evidenceLine(long now) {
    long missedSince = Math.max(asOf, unreachableAt);
    String evidence = outageEvidence(now);
    return "changes may be missed since " + millis(now - missedSince) + " ms ago, "
        + (evidence == null ? "no outage" : evidence);
  }

  private boolean outage(long now) {
    return outageEvidence(now) != null;
  }

  /** Returns the evidence for an outage; null if there is none, or if there is evidence against one. */
  private String outageEvidence(long now) {
    if (pushed) {
      // An agent that this process does not call, or that answers in part, may have been told.
      boolean mayHaveBeenTold = now - notMadeAt < EVIDENCE_LIFETIME_NANOS
          || now - partialAnswerAt < 2 * EVIDENCE_LIFETIME_NANOS;
      return mayHaveBeenTold ? null : "the agent is silent";
    }
    boolean reached = now - partialAnswerAt < 2 * EVIDENCE_LIFETIME_NANOS
        || now - peerReportedAt < EVIDENCE_LIFETIME_NANOS
        || returned;
    if (reached) {
      return null;
    }
    if (now - peerQueriedAt < EVIDENCE_LIFETIME_NANOS) {
      return "other balancers get no answer either";
    }
    if (now - ignoredAt < 2 * EVIDENCE_LIFETIME_NANOS) {
      return null;
    }
    if (consecutiveFailures >= OUTAGE_FAILURES) {
      return consecutiveFailures + " calls could not be made";
    }
    return now - watchEndedAt < MAX_PRESUMED_OUTAGE_NANOS ? "discovery ended the watch" : null;
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  /** Returns state and age in one line for operators. */
  public String statusLine(long now) {
    return state(now) + ", age " + millis(age(now)) + " ms, sendable for "
        + millis(sendableNanosLeft(now)) + " ms, calls in a row that could not be made "
        + consecutiveFailures;
  }
}
