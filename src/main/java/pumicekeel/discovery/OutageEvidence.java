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
 * <p>Without such signs there is an outage if other balancers query as well; if so many calls in a row fail at once that a service
 * which answers three in ten would have answered one; and, for a while, if discovery has ended a working watch.
 */
final class OutageEvidence {

  /** How the time without a complete list began. */
  private enum Origin {
    /** Not known: the watch fell silent, or the process has just started. */
    UNKNOWN,
    /** Discovery ended a working watch. */
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

  private static final long NEVER = Long.MIN_VALUE / 2;

  private Origin origin;
  private long since;
  private long unreachableUntil;
  private int failedAtOnce;
  private boolean queued;
  private boolean ignored;
  /** What showed that discovery was up; null for nothing. */
  private String reachedBy;

  private long peerQueriedAt = NEVER;

  /** Creates the evidence of a process that starts now. */
  OutageEvidence(long now) {
    restart(now);
  }

  /** Records that everything that discovery had until now is known. */
  void listComplete(long now) {
    restart(now);
  }

  /**
   * Records that another balancer's report covers the list, with data that its sender received at a given time. If that was
   * hardly later than the end of the watch here, an outage may have begun with it all the same.
   */
  void listConfirmed(long contactAt) {
    if (isLaterContact(contactAt)) {
      restart(contactAt);
    }
  }

  private boolean isLaterContact(long contactAt) {
    return contactAt > since + SAME_END_TOLERANCE_NANOS;
  }

  /** Records that discovery ended a working watch. */
  void watchEnded(long now) {
    restart(now);
    origin = Origin.WATCH_ENDED;
  }

  private void restart(long now) {
    origin = Origin.UNKNOWN;
    since = now;
    unreachableUntil = NEVER;
    failedAtOnce = 0;
    queued = false;
    ignored = false;
    reachedBy = null;
  }

  /** Records the failure of a call that was started at a given time. One that was open already at the restart tells nothing. */
  void callFailed(CallFailure failure, long startedAt) {
    if (startedAt < since) {
      return;
    }
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
      failedAtOnce = 0;
    }
  }

  private void failedAtOnce(int weight, long startedAt) {
    failedAtOnce += weight;
    boolean proved = failedAtOnce >= OUTAGE_FAILURES && !queued && reachedBy == null;
    if (proved) {
      unreachableUntil = startedAt;
    }
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
    if (reachedBy != null) {
      return null;
    }
    if (now - peerQueriedAt < QUERY_LIFETIME_NANOS) {
      return "other balancers get no answer either";
    }
    if (ignored) {
      return null;
    }
    if (failedAtOnce >= OUTAGE_FAILURES) {
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
    return "no outage" + (reachedBy == null ? "" : ": " + reachedBy);
  }

  /** Returns how many calls have failed at once. */
  int failedAtOnce() {
    return failedAtOnce;
  }
}
