package pumicekeel.front;

import java.util.concurrent.TimeUnit;
import pumicekeel.runtime.FailureScope;

/**
 * Owns a listener's limit on connections and its accept pauses. A failed accept pauses it briefly; only if the process
 * is out of descriptors several times in a row does the limit fall, and it rises again by itself, so that no temporary
 * failure leaves it lowered. No I/O; time is a parameter, in nanoseconds of one clock.
 */
public final class AcceptControl {

  private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
  private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  /** This many consecutive failures that concern a single connection each do not cause a pause. */
  private static final int MAX_CONNECTION_FAILURES = 16;
  /**
   * A shortage: the process was out of descriptors this many times with no accept in between, for at least {@link
   * #SHORTAGE_MIN_NANOS}.
   */
  private static final int SHORTAGE_MIN_FAILURES = 3;

  private static final long SHORTAGE_MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  /** Descriptors left to other uses in a shortage: as many as one round of accepts takes. */
  private static final int RESERVED_DESCRIPTORS = 16;
  /**
   * The interval from lowering the limit to its first raise, and between raises; doubled by each further lowering.
   */
  private static final long MIN_RAISE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final long MAX_RAISE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);
  /** After this long without a shortage, the raise interval starts anew. */
  private static final long SHORTAGE_OVER_NANOS = TimeUnit.SECONDS.toNanos(10);
  /** The backlog is drained this long after accepting has resumed. */
  private static final long BACKLOG_DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final long maxWaitAtLimitNanos;
  private int configured;
  private int limit;
  private int consecutiveFailures;
  private int consecutiveShortages;
  private long shortageSince;
  private long pausedUntil;
  private boolean paused;
  private long raiseIntervalNanos = MIN_RAISE_INTERVAL_NANOS;
  private long loweredAt;
  private long nextRaiseAt;
  /** Since when connections may have waited in the kernel's backlog; 0 if none has. */
  private long waitingSince;

  /** When the backlog was last seen empty; 0 for never. */
  private long emptySeenAt;
  /** Since when connections may have waited that were accepted before that; 0 if none has. */
  private long waitingSinceBeforeEmpty;

  /** The backlog can be observed: it counts as drained once seen empty, not after a fixed time. */
  private boolean backlogObservable;

  private boolean atLimit;
  private boolean failing;
  /** Since when connections are accepted; 0 while they are not. */
  private long acceptingSince;

  /** Creates a control with the configured limit and the longest wait in the backlog due to the limit alone. */
  public AcceptControl(int configured, long maxWaitAtLimitNanos) {
    this.configured = configured;
    this.maxWaitAtLimitNanos = maxWaitAtLimitNanos;
    limit = configured;
  }

  /** Returns the limit in force. */
  public int limit() {
    return limit;
  }

  /** Sets the configured limit. */
  public void configure(int connections) {
    limit = limit == configured ? connections : Math.min(limit, connections);
    configured = connections;
  }

  /** Raises the limit beyond the configured one, for the last connections before a stop. */
  public void addSpareConnections(int more) {
    configured += more;
    limit = Math.max(limit, configured);
  }

  /** Returns whether the limit is below the configured one. */
  public boolean isLowered() {
    return limit < configured;
  }

  /** Records a failed accept; returns how long nothing is accepted now, 0 for no pause. */
  public long acceptFailed(FailureScope scope, int open, long now) {
    consecutiveFailures++;
    if (scope == FailureScope.CONNECTION && consecutiveFailures <= MAX_CONNECTION_FAILURES) {
      return 0;
    }
    if (scope == FailureScope.PROCESS) {
      shortageSince = consecutiveShortages == 0 ? now : shortageSince;
      consecutiveShortages++;
      if (consecutiveShortages >= SHORTAGE_MIN_FAILURES
          && now - shortageSince >= SHORTAGE_MIN_NANOS) {
        lowerLimit(open, now);
      }
    }
    int doublings = Math.min(consecutiveFailures - 1, Long.SIZE / 4);
    long pause = Math.min(MAX_PAUSE_NANOS, MIN_PAUSE_NANOS << doublings);
    acceptingStopped(now);
    failing = true;
    paused = true;
    pausedUntil = now + pause;
    return pause;
  }

  private void lowerLimit(int open, long now) {
    consecutiveShortages = 0;
    if (loweredAt != 0 && now - loweredAt < SHORTAGE_OVER_NANOS) {
      raiseIntervalNanos = Math.min(MAX_RAISE_INTERVAL_NANOS, 2 * raiseIntervalNanos);
    } else {
      raiseIntervalNanos = MIN_RAISE_INTERVAL_NANOS;
    }
    loweredAt = now;
    nextRaiseAt = now + raiseIntervalNanos;
    int kept = Math.max(open - RESERVED_DESCRIPTORS, open / 2);
    limit = Math.max(1, Math.min(limit, kept));
  }

  /** Records an accepted connection. */
  public void accepted() {
    consecutiveFailures = 0;
    consecutiveShortages = 0;
  }

  /** Records that the limit is reached and nothing is accepted for now. */
  public void limitReached(long now) {
    acceptingStopped(now);
    atLimit = true;
  }

  /** Records that connections are accepted, from now on or still. */
  public void accepting(long now) {
    paused = false;
    atLimit = false;
    if (acceptingSince == 0) {
      acceptingSince = now;
    }
  }

  /** Returns whether a further connection may be accepted, given the number of open ones. */
  public boolean mayAccept(int open, long now) {
    return open < limit && !(paused && now - pausedUntil < 0);
  }

  /**
   * Raises a lowered limit when it is due; to be called regularly. Returns true if that restores the configured limit.
   */
  public boolean raiseLimit(int open, long now) {
    if (!isLowered() || now - nextRaiseAt < 0) {
      return false;
    }
    nextRaiseAt = now + raiseIntervalNanos;
    limit = Math.min(configured, Math.max(2 * limit, open + RESERVED_DESCRIPTORS));
    return !isLowered();
  }

  private boolean backlogDrained(long now) {
    return !backlogObservable && acceptingSince != 0 && now - acceptingSince > BACKLOG_DRAIN_NANOS;
  }

  private void acceptingStopped(long now) {
    waitingSince = waitingSince == 0 || backlogDrained(now) ? now : waitingSince;
    acceptingSince = 0;
  }

  /** Returns whether connections may have waited in the backlog, so that it should be observed. */
  public boolean mayHaveBacklog() {
    return waitingSince != 0;
  }

  /** Records that connections wait in the backlog, since this time at the earliest. */
  public void backlogSince(long since) {
    waitingSince = waitingSince == 0 ? since : waitingSince;
  }

  /** Records that the backlog is empty now. */
  public void backlogEmpty(long now) {
    emptySeenAt = now;
    waitingSinceBeforeEmpty = waitingSince;
    waitingSince = acceptingSince == 0 ? now : 0;
  }

  /**
   * Returns whether a connection accepted at this time had left the backlog when that was last seen empty: one read accepts several, and
   * the backlog is observed for the first of them.
   */
  public boolean leftBeforeEmpty(long acceptedAt) {
    return emptySeenAt != 0 && acceptedAt - emptySeenAt <= 0;
  }

  /** Returns the longest time that such a connection may have waited in the backlog. */
  public long waitBeforeEmptyNanos(long now) {
    return waitingSinceBeforeEmpty == 0 ? 0 : now - waitingSinceBeforeEmpty;
  }

  /**
   * Returns the longest time that a connection accepted now may have waited in the backlog; its client's time limit
   * ran meanwhile. If the backlog cannot be observed, a connection is assumed to be freed within the time given to the
   * constructor.
   */
  public long maxBacklogWaitNanos(long now, boolean observable) {
    backlogObservable = observable;
    if (backlogDrained(now)) {
      waitingSince = 0;
      failing = false;
    }
    long waited = waitingSince == 0 ? 0 : now - waitingSince;
    return backlogObservable || failing ? waited : Math.min(waited, maxWaitAtLimitNanos);
  }

  /** Returns whether connections may wait in the backlog because of the limit. */
  public boolean backlogAtLimit() {
    return atLimit;
  }
}
