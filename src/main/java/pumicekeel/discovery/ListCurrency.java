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
 * <p>{@link OutageEvidence} tells an outage of a polled discovery from overload. What an outage has proved stays true after it: nothing
 * counts as announced while discovery could not be reached, so that the 6 s run from the last call that showed it.
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

  /** Without a heartbeat for this long, one is missing. */
  static final long MAX_HEARTBEAT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private static final long MAX_CURRENT_AGE_NANOS = HEARTBEAT_NANOS + HEARTBEAT_NANOS / 2;
  /** An agent that failed in this way may have been told changes for this long. */
  private static final long AGENT_EVIDENCE_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final boolean pushed;
  private long graceNanos;
  private long asOf;
  private long lastContactAt = NEVER;
  private boolean confirmedByPeer;
  private State state = State.CURRENT;
  private long stateSince;
  private final OutageEvidence evidence;
  private long agentAnsweredInPartAt = NEVER;
  private long agentNotCalledAt = NEVER;
  /** Nothing counted as announced until then at a discovery that is no longer called. */
  private long formerlyUnreachableUntil = NEVER;

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
    evidence = new OutageEvidence(now);
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
    forgetAgentFailures();
    evidence.listComplete(now);
  }

  /** Records that another balancer's report covers this list: departures up to that time are known. */
  public void confirmedByPeer(long peerAsOf) {
    if (peerAsOf > asOf) {
      confirmedByPeer = true;
      asOf = peerAsOf;
      evidence.listConfirmed(peerAsOf);
    }
  }

  /** Records the failure of a call that was started at a given time. */
  public void callFailed(CallFailure failure, long startedAt, long now) {
    switch (failure) {
      case ENDED -> watchEnded(now);
      case CUT -> agentAnsweredInPartAt = now;
      case NOT_MADE -> agentNotCalledAt = now;
      default -> {}
    }
    evidence.callFailed(failure, startedAt, now);
  }

  /** A watch that missed a heartbeat before its end had fallen silent: what it should have delivered since is not known. */
  private void watchEnded(long now) {
    if (hadRecentContact(now)) {
      evidence.watchEnded(now);
    }
  }

  private boolean hadRecentContact(long now) {
    return now - lastContactAt <= MAX_HEARTBEAT_DELAY_NANOS;
  }

  /**
   * Records that another discovery is called from now on: what calls to the one before showed says nothing of this one. If
   * that one was out of reach until now, nothing counted as announced until now.
   */
  public void discoveryMoved(long now) {
    boolean unreachable = !pushed && outage(now);
    if (unreachable) {
      formerlyUnreachableUntil = now;
    }
    forgetAgentFailures();
    evidence.discoveryMoved(unreachable || hadRecentContact(now), now);
  }

  private void forgetAgentFailures() {
    agentAnsweredInPartAt = NEVER;
    agentNotCalledAt = NEVER;
  }

  /** Records that another balancer queries for departures, since its list is old. */
  public void peerQueried(long now) {
    evidence.peerQueried(now);
  }

  /** Records that another balancer received data from discovery at a given time, whether or not its report covers this list. */
  public void peerReported(long contactAt) {
    evidence.peerContact(contactAt);
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
    return sendableFor(missedSince());
  }

  /** Returns from when on a change may have been missed. */
  private long missedSince() {
    return Math.max(asOf, Math.max(evidence.unreachableUntil(), formerlyUnreachableUntil));
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

  private String evidenceLine(long now) {
    return "changes may be missed since " + millis(now - missedSince()) + " ms ago, "
        + (pushed ? agentEvidence(now) : evidence.describe(now));
  }

  private boolean outage(long now) {
    return pushed ? agentIsSilent(now) : evidence.outage(now) != null;
  }

  private String agentEvidence(long now) {
    return agentIsSilent(now) ? "outage: the agent is silent" : "the agent may have been told";
  }

  /** An agent that this process does not call, or that answers in part, may have been told. */
  private boolean agentIsSilent(long now) {
    return now - agentNotCalledAt >= AGENT_EVIDENCE_LIFETIME_NANOS
        && now - agentAnsweredInPartAt >= 2 * AGENT_EVIDENCE_LIFETIME_NANOS;
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  /** Returns state and age in one line for operators. */
  public String statusLine(long now) {
    return state(now) + ", age " + millis(age(now)) + " ms, sendable for "
        + millis(sendableNanosLeft(now)) + " ms, calls in a row that could not be made "
        + evidence.failedAtOnce();
  }
}
