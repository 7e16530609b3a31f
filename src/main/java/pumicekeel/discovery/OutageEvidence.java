package pumicekeel.discovery;

import java.util.concurrent.TimeUnit;

/**
 * Evidence on whether discovery has been out of reach since a polled list was last known to be complete. One instance for each
 * {@link ListCurrency}, which restarts it whenever the list is complete again. Times are nanoseconds of one monotonic clock, passed in;
 * no I/O.
 *
 * <p>A failed call does not distinguish an outage from overload: a service that is down and one that is crowded both answer 503. What
 * counts is how calls fail in comparison: a service that is down handles all calls alike. Calls that fail at once and calls that wait
 * before they fail show that it was up while they waited. So does a list that arrives in part, a call that is accepted and never
 * answered, and another balancer's later contact. What showed discovery up stays true until the list is complete again, whatever fails
 * afterwards: a change may have been missed.
 *
 * <p>Evidence holds for the time from which it comes, and only an outage that began where the knowledge of the list ends excuses its
 * age: after a watch that fell silent, discovery may have had a change before it went down. So there is an outage only since the end of a
 * working watch, or since the start of the process: if other balancers query as well; if so many calls in a row, without a gap, fail at
 * once that a service which answers three in ten would have answered one; and, for a while, by the end of the watch alone.
 */
final class OutageEvidence {

  /** How the time without a complete list began, which tells what is known of its beginning. */
  private enum Origin {
    /** The watch fell silent, or another balancer's report is the latest that is known: discovery was up for some time after. */
    UNOBSERVED,
    /** The process has started, or calls another discovery from now on, and makes its first call at once. */
    STARTED,
    /** Discovery ended a working watch, as it does when it goes down, and the next call follows shortly. */
    WATCH_ENDED
  }

  /** A service that answers three calls in ten fails this many in a row one time in three hundred. */
  private static final int OUTAGE_FAILURES = 16;
  /** This many connects in a row without an answer are equivalent: the kernel has retransmitted each. */
  private static final int OUTAGE_UNCONNECTED = 4;
  /** More calls than are open when a service goes down: so many that fail at once show that it was down at the time. */
  private static final int DOWN_FAILURES = 3;
  /** A query from another balancer counts for this long. */
  private static final long QUERY_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(3);
  /** Maximum duration of an outage that is presumed from the end of a watch alone. */
  private static final long MAX_PRESUMED_OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(20);
  /** Two balancers may notice the same end of service this far apart. */
  private static final long SAME_END_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * Between calls that are further apart than this, discovery may have been up. Longer than the longest planned pause, of 2 s, together
   * with an event loop that is late by 2 s.
   */
  private static final long MAX_GAP_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final long NEVER = Long.MIN_VALUE / 2;

  private Origin origin;
  private long since;
  private long unreachableUntil;
  /** When the last call ended that tells of discovery. */
  private long observedAt;
  /** Whether calls were made without a gap. */
  private boolean continuous;

  private int failedAtOnce;
  private boolean queued;
  private boolean ignored;
  /** What showed that discovery was up; null for nothing. */
  private String reachedBy;

  private long peerQueriedAt = NEVER;

  /** Creates the evidence of a process that starts now. */
  OutageEvidence(long now) {
    restart(Origin.STARTED, now);
  }

  /** Records that everything that discovery had until now is known. */
  void listComplete(long now) {
    restart(Origin.UNOBSERVED, now);
  }

  /**
   * Records that another balancer's report covers the list, with data that its sender received at a given time. If that was
   * hardly later than the end of the watch here, an outage may have begun with it all the same.
   */
  void listConfirmed(long contactAt) {
    if (isLaterContact(contactAt)) {
      restart(Origin.UNOBSERVED, contactAt);
    }
  }

  private boolean isLaterContact(long contactAt) {
    return contactAt > since + SAME_END_TOLERANCE_NANOS;
  }

  /** Records that discovery ended a working watch. */
  void watchEnded(long now) {
    restart(Origin.WATCH_ENDED, now);
  }

  /** Records that another discovery is called from now on; {@code nothingMissed} at the one before. */
  void discoveryMoved(boolean nothingMissed, long now) {
    restart(nothingMissed ? Origin.STARTED : Origin.UNOBSERVED, now);
  }

  private void restart(Origin from, long now) {
    origin = from;
    since = now;
    unreachableUntil = NEVER;
    observedAt = now;
    continuous = true;
    failedAtOnce = 0;
    queued = false;
    ignored = false;
    reachedBy = null;
  }

  /** Records the failure of a call that was started at a given time. One that was open already at the restart tells nothing. */
  void callFailed(CallFailure failure, long startedAt, long now) {
    if (startedAt < since || failure == CallFailure.NOT_MADE) {
      return;
    }
    continuous &= startedAt - observedAt <= MAX_GAP_NANOS;
    observedAt = now;
    switch (failure) {
      case UNREACHABLE -> failedAtOnce(1, startedAt);
      case UNCONNECTED -> failedAtOnce(OUTAGE_FAILURES / OUTAGE_UNCONNECTED, startedAt);
      case TURNED_AWAY -> turnedAway(startedAt);
      case TURNED_AWAY_LATE -> queued = true;
      case IGNORED -> ignored = true;
      case CUT -> reached("a list arrived in part");
      case NOT_MADE, ENDED, SILENT -> {}
    }
    if (queued && failedAtOnce >= DOWN_FAILURES) {
      reached("some calls waited, others failed at once");
    }
  }

  /** A service that is crowded may answer 503 at once as well; one that has just ended a watch is presumed to be down. */
  private void turnedAway(long startedAt) {
    if (origin == Origin.WATCH_ENDED) {
      failedAtOnce(1, startedAt);
    } else {
      continuous = false;
    }
  }

  private void failedAtOnce(int weight, long startedAt) {
    failedAtOnce += weight;
    if (isProved()) {
      unreachableUntil = startedAt;
    }
  }

  /** Returns whether calls have proved that discovery was out of reach ever since the list was complete. */
  private boolean isProved() {
    return origin != Origin.UNOBSERVED
        && failedAtOnce >= OUTAGE_FAILURES
        && continuous
        && !queued
        && !ignored
        && reachedBy == null;
  }

  private void reached(String sign) {
    if (reachedBy == null) {
      reachedBy = sign;
    }
  }

  /** Records that another balancer queries for departures, since its list is old. */
  void peerQueried(long now) {
    peerQueriedAt = now;
  }

  /** Records that another balancer received data from discovery at a given time. */
  void peerContact(long contactAt) {
    if (!isLaterContact(contactAt)) {
      return;
    }
    reached("another balancer received a list");
    if (contactAt < unreachableUntil - SAME_END_TOLERANCE_NANOS) {
      // Only this balancer could not reach discovery.
      unreachableUntil = NEVER;
    }
  }

  /** Returns until when calls have proved an outage, so that nothing counted as announced; far in the past if they have not. */
  long unreachableUntil() {
    return unreachableUntil;
  }

  /** Returns the evidence that discovery is out of reach now; null if there is none, or if it has been reached. */
  String outage(long now) {
    if (reachedBy != null || origin == Origin.UNOBSERVED) {
      return null;
    }
    if (now - peerQueriedAt < QUERY_LIFETIME_NANOS) {
      return "other balancers get no answer either";
    }
    if (ignored) {
      return null;
    }
    if (isProved() && now - observedAt <= MAX_GAP_NANOS) {
      return failedAtOnce + " calls failed at once";
    }
    boolean presumed = origin == Origin.WATCH_ENDED && now - since < MAX_PRESUMED_OUTAGE_NANOS;
    return presumed ? "discovery ended the watch" : null;
  }

  /** Returns for the log why there is an outage, or why there is none. */
  String describe(long now) {
    String outage = outage(now);
    if (outage != null) {
      return "outage: " + outage;
    }
    if (origin == Origin.UNOBSERVED) {
      return "no outage since the list was complete: its end was not observed";
    }
    return "no outage" + (reachedBy == null ? "" : ": " + reachedBy);
  }

  /** Returns how many calls have failed at once. */
  int failedAtOnce() {
    return failedAtOnce;
  }
}
