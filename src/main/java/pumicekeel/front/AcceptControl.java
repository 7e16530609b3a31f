package pumicekeel.front;

import java.util.concurrent.TimeUnit;
import pumicekeel.runtime.FailureScope;

/**
 * The one owner of a listener's limit on connections and of its pauses. A failed accept makes it rest for a moment; only where the
 * process has no descriptor left, several times on end, does the limit fall, and it rises again by itself, so that nothing that failed
 * for a moment leaves it lowered. No I/O; the time is a parameter, in nanoseconds of one clock.
 */
public final class AcceptControl {

  private static final long SHORTEST_REST_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
  private static final long LONGEST_REST_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  /** Failures on end that concern one connection each: so many are taken without a rest. */
  private static final int CONNECTIONS_ON_END = 16;
  /** So many times on end the process had no descriptor, with none accepted between: a shortage, not a moment's failure. */
  private static final int SHORTAGE_TIMES = 3;

  private static final long SHORTAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  /** Descriptors that clients leave to others in a shortage: as many as a round of accepts takes. */
  private static final int KEPT_ASIDE = 16;
  /** The first rise comes so long after the limit fell, and each one after that; twice as long after each further fall. */
  private static final long SHORTEST_RISE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final long LONGEST_RISE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);
  /** Without a shortage for so long, the next one is a new one. */
  private static final long SHORTAGE_OVER_NANOS = TimeUnit.SECONDS.toNanos(10);
  /** Once it accepts again, the line that stood is through after so long. */
  private static final long LINE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final long mostWaitAtLimitNanos;
  private int configured;
  private int limit;
  private int failuresOnEnd;
  private int shortagesOnEnd;
  private long shortageSince;
  private long restsUntil;
  private boolean rests;
  private long riseNanos = SHORTEST_RISE_NANOS;
  private long loweredAt;
  private long nextRise;
  /** Since when connections may have stood in the kernel's line; 0 where none has. */
  private long heldSince;

  /** Somebody can look at the line: it is through once it is seen empty, and not a while after. */
  private boolean lineKnown;

  private boolean full;
  private boolean failing;
  /** Since when accepting goes on; 0 while it does not. */
  private long acceptsSince;

  /** A limit, and how long a connection stands in line at most where the limit alone holds it back. */
  public AcceptControl(int configured, long mostWaitAtLimitNanos) {
    this.configured = configured;
    this.mostWaitAtLimitNanos = mostWaitAtLimitNanos;
    limit = configured;
  }

  /** The limit in force. */
  public int limit() {
    return limit;
  }

  /** Another limit from now on. */
  public void configure(int connections) {
    limit = limit == configured ? connections : Math.min(limit, connections);
    configured = connections;
  }

  /** The limit rises beyond what is configured, for the last ones before a stop. */
  public void addSpareConnections(int more) {
    configured += more;
    limit = Math.max(limit, configured);
  }

  /** Whether the limit is below what is configured. */
  public boolean isLowered() {
    return limit < configured;
  }

  /** An accept has failed; for how long nothing is accepted now, 0 for not at all. */
  public long acceptFailed(FailureScope scope, int open, long now) {
    failuresOnEnd++;
    if (scope == FailureScope.CONNECTION && failuresOnEnd <= CONNECTIONS_ON_END) {
      return 0;
    }
    if (scope == FailureScope.PROCESS) {
      shortageSince = shortagesOnEnd == 0 ? now : shortageSince;
      shortagesOnEnd++;
      if (shortagesOnEnd >= SHORTAGE_TIMES && now - shortageSince >= SHORTAGE_NANOS) {
        lower(open, now);
      }
    }
    int doublings = Math.min(failuresOnEnd - 1, Long.SIZE / 4);
    long rest = Math.min(LONGEST_REST_NANOS, SHORTEST_REST_NANOS << doublings);
    held(now);
    failing = true;
    rests = true;
    restsUntil = now + rest;
    return rest;
  }

  private void lower(int open, long now) {
    shortagesOnEnd = 0;
    if (loweredAt != 0 && now - loweredAt < SHORTAGE_OVER_NANOS) {
      riseNanos = Math.min(LONGEST_RISE_NANOS, 2 * riseNanos);
    } else {
      riseNanos = SHORTEST_RISE_NANOS;
    }
    loweredAt = now;
    nextRise = now + riseNanos;
    int kept = Math.max(open - KEPT_ASIDE, open / 2);
    limit = Math.max(1, Math.min(limit, kept));
  }

  /** One was accepted. */
  public void accepted() {
    failuresOnEnd = 0;
    shortagesOnEnd = 0;
  }

  /** The limit is reached: nothing is accepted for now. */
  public void limitReached(long now) {
    held(now);
    full = true;
  }

  /** Accepting goes on now, or goes on still. */
  public void accepting(long now) {
    rests = false;
    full = false;
    if (acceptsSince == 0) {
      acceptsSince = now;
    }
  }

  /** Whether one more may be accepted now, beside so many. */
  public boolean mayAccept(int open, long now) {
    return open < limit && !(rests && now - restsUntil < 0);
  }

  /** Raises a limit that fell, when it is time to; to be called now and then. Whether it is as configured again by that. */
  public boolean raiseLimit(int open, long now) {
    if (!isLowered() || now - nextRise < 0) {
      return false;
    }
    nextRise = now + riseNanos;
    limit = Math.min(configured, Math.max(2 * limit, open + KEPT_ASIDE));
    return !isLowered();
  }

  private boolean through(long now) {
    return !lineKnown && acceptsSince != 0 && now - acceptsSince > LINE_NANOS;
  }

  private void held(long now) {
    heldSince = heldSince == 0 || through(now) ? now : heldSince;
    acceptsSince = 0;
  }

  /** Whether connections may have stood in line lately: then a look at the line is of use. */
  public boolean mayHaveBacklog() {
    return heldSince != 0;
  }

  /** Connections stand in line, behind those that are accepted, since this time at the earliest. */
  public void backlogSince(long since) {
    heldSince = heldSince == 0 ? since : heldSince;
  }

  /** No connection stands in line now. */
  public void backlogEmpty(long now) {
    heldSince = acceptsSince == 0 ? now : 0;
  }

  /**
   * How long one that is accepted now may have stood in line unseen, at most; its client's time ran meanwhile. Where nobody can look at
   * the line ({@code known} is false) it is taken that room is made within what was given at the construction.
   */
  public long maxBacklogWaitNanos(long now, boolean known) {
    lineKnown = known;
    if (through(now)) {
      heldSince = 0;
      failing = false;
    }
    long waited = heldSince == 0 ? 0 : now - heldSince;
    return lineKnown || failing ? waited : Math.min(waited, mostWaitAtLimitNanos);
  }

  /** Whether connections may stand in line, held back by the limit. */
  public boolean backlogAtLimit() {
    return full;
  }
}
