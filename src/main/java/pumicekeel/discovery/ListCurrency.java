package pumicekeel.discovery;

import java.util.concurrent.TimeUnit;

/**
 * How current a list of upstreams is, and whether requests may be sent by it. One owner of that for each source of lists. Times are
 * nanoseconds of one monotonic clock, handed in; no I/O.
 *
 * <p>What discovery had at {@link #asOf} is known here. A change that it had later counts as told 6 s after that at the earliest, and
 * requests to an upstream that left may be sent for the drain grace beyond. Past both, a list by which nobody is known to have left says
 * nothing, unless discovery can't be reached: then nothing counts as told.
 *
 * <p>A call that fails does not say which of the two it is: a service that is down and one that is crowded answer 503 alike. Taken for an
 * outage, in this order: not where an answer came in part, or a call was accepted and then ignored, or another balancer has a newer word;
 * where other balancers ask in vain as well; where calls can't be made, so many in a row that a service which answers three in ten would
 * have answered one; for a while where discovery has ended a watch that lived and answered nothing since. Else the list is outdated.
 */
public final class ListCurrency {

  /** What requests may be sent by. */
  public enum State {
    /** A watch lives, or another balancer's word is recent. */
    CURRENT,
    /** Nothing was heard for a while; a change that was missed can't count yet. */
    AGING,
    /** A change that was missed may count by now: nothing is sent. */
    OUTDATED,
    /** Old, but discovery can't be reached, so that nothing counts. */
    OUTAGE
  }

  /** A change counts as told so long after discovery had it and could be reached. */
  public static final long CHANGE_NOTICE_NANOS = TimeUnit.SECONDS.toNanos(6);
  /** A process may be held up for so long between its clock and its write. */
  private static final long HELD_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
  /** A heartbeat comes every 2 s. */
  private static final long HEARTBEAT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final long CURRENT_NANOS = HEARTBEAT_NANOS + HEARTBEAT_NANOS / 2;
  /** Of a service that answers three calls in ten, so many fail in a row one time in three hundred. */
  private static final int FAILURES_OF_AN_OUTAGE = 16;
  /** So many connects that nobody answered in a row are as good: the kernel has repeated each. */
  private static final int UNCONNECTED_OF_AN_OUTAGE = 4;
  /** What is known of an outage, or speaks against one, counts for so long. */
  private static final long EVIDENCE_NANOS = TimeUnit.SECONDS.toNanos(3);
  /** The longest outage that a watch's end alone is taken for. */
  private static final long PRESUMED_OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(20);

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final boolean pushed;
  private long graceNanos;
  private long asOf;
  private long lastContactAt = NEVER;
  private boolean confirmedByPeer;
  private State state = State.CURRENT;
  private long since;
  private int failuresInARow;
  private long partialAnswerAt = NEVER;
  private long ignoredAt = NEVER;
  private long watchEndedAt = NEVER;
  private long othersAskAt = NEVER;
  private long othersKnowAt = NEVER;

  /**
   * A list as of now, at a start.
   *
   * @param pushed an agent on this machine hands it on, which is silent while discovery is down
   * @param graceNanos the drain grace
   */
  public ListCurrency(boolean pushed, long graceNanos, long now) {
    this.pushed = pushed;
    this.graceNanos = graceNanos;
    asOf = now;
    since = now;
  }

  /** Another drain grace counts. */
  public void setGrace(long nanos) {
    graceNanos = nanos;
  }

  /** A watch has told all that discovery had: a whole list, or a sign of life. */
  public void markCurrent(long now) {
    asOf = Math.max(asOf, now);
    confirmedByPeer = false;
    lastContactAt = now;
    failuresInARow = 0;
    partialAnswerAt = NEVER;
    ignoredAt = NEVER;
    watchEndedAt = NEVER;
  }

  /** Another balancer's word covers this list: who had left at that time is known. */
  public void confirmedByPeer(long then) {
    confirmedByPeer |= then > asOf;
    asOf = Math.max(asOf, then);
  }

  /** A call has failed. */
  public void callFailed(CallFailure how, long now) {
    switch (how) {
      case UNREACHABLE -> failuresInARow++;
      case UNCONNECTED -> failuresInARow += FAILURES_OF_AN_OUTAGE / UNCONNECTED_OF_AN_OUTAGE;
      case TURNED_AWAY, TURNED_AWAY_LATE -> failuresInARow = 0;
      case CUT -> partialAnswerAt = now;
      case IGNORED -> ignoredAt = now;
      case ENDED -> watchEndedAt = now;
      case SILENT -> {}
    }
  }

  /** Another balancer asks for who has left, since its list is old. */
  public void peerQueried(long now) {
    othersAskAt = now;
  }

  /** Another balancer has a current list, whether or not its word covers this one. */
  public void peerReported(long now) {
    othersKnowAt = now;
  }

  /** When all that discovery had was known here. */
  public long asOf() {
    return asOf;
  }

  /** Whether who has left is known by other balancers' words, later than by discovery's own. */
  public boolean isConfirmedByPeer() {
    return confirmedByPeer;
  }

  /** When discovery itself was last heard. */
  public long lastContactAt() {
    return lastContactAt;
  }

  /** The list's age in nanoseconds. */
  public long age(long now) {
    return now - asOf;
  }

  /** Until when requests may be sent by this list, unless discovery can't be reached. */
  public long sendableUntil() {
    return asOf + CHANGE_NOTICE_NANOS + graceNanos - 2 * HELD_UP_NANOS;
  }

  /** What is left until then; under 0 where it is past. */
  public long sendableNanosLeft(long now) {
    return sendableUntil() - now;
  }

  /** Whether requests may be sent by this list. */
  public boolean sendable(long now) {
    return sendableNanosLeft(now) > 0 || outage(now);
  }

  /** The state now; {@link #stateChangeLine} tells of another one. */
  public State state(long now) {
    if (age(now) <= CURRENT_NANOS) {
      return State.CURRENT;
    }
    if (sendableNanosLeft(now) > 0) {
      return State.AGING;
    }
    return outage(now) ? State.OUTAGE : State.OUTDATED;
  }

  /** A line for the log where the state is another than at the last call; else null. */
  public String stateChangeLine(long now) {
    State next = state(now);
    if (next == state) {
      return null;
    }
    String line = state + " for " + millis(now - since) + " ms, now " + next + ", age "
        + millis(age(now)) + " ms" + (next == State.OUTAGE ? ", " + evidence(now) : "");
    state = next;
    since = now;
    return line;
  }

  private boolean outage(long now) {
    return evidence(now) != null;
  }

  /** What speaks for an outage; null for nothing, or where something speaks against one. */
  private String evidence(long now) {
    if (pushed) {
      return "the agent is silent";
    }
    boolean reached =
        now - partialAnswerAt < 2 * EVIDENCE_NANOS || now - othersKnowAt < EVIDENCE_NANOS;
    if (reached) {
      return null;
    }
    if (now - othersAskAt < EVIDENCE_NANOS) {
      return "other balancers ask in vain";
    }
    if (now - ignoredAt < 2 * EVIDENCE_NANOS) {
      return null;
    }
    if (failuresInARow >= FAILURES_OF_AN_OUTAGE) {
      return failuresInARow + " calls could not be made";
    }
    return now - watchEndedAt < PRESUMED_OUTAGE_NANOS ? "the watch was ended" : null;
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  /** For operators: state and age, a line. */
  public String statusLine(long now) {
    return state(now) + ", age " + millis(age(now)) + " ms, sendable for "
        + millis(sendableNanosLeft(now)) + " ms, calls in a row that could not be made "
        + failuresInARow;
  }
}
