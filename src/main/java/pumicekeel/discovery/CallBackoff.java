package pumicekeel.discovery;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Schedules the next call to a polled discovery service after a failure. No I/O; time is passed in, and the seed is its only source of
 * randomness.
 *
 * <p>A call that fails at once is retried soon: the maximum pause shrinks with the time left until the list must no longer be used, and
 * has a lower bound, so that a fleet makes a bounded number of calls. A call that was rejected after waiting in the service's queue has
 * already paused, and is repeated almost at once, in the order in which the callers were rejected. The exception is when such calls wait
 * for different lengths of time: then their rejections are queued as well and consume the service's time, so each caller pauses on
 * average for as long as it has waited, and twice as long after each further rejection, and all callers together demand less than the
 * service can handle.
 *
 * <p>The service counts as crowded if its responses take long or if calls were rejected after queueing. A call that a crowded service
 * rejects at once has found a full queue and pauses for one second on average; no second call is made beside one that waits; and a watch
 * that fell silent is reopened only when twice the response time is left.
 */
final class CallBackoff {

  private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  /** Maximum pause while other balancers report departures to this one. */
  private static final long MAX_INFORMED_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);
  /** The remaining time should allow this many tries. */
  private static final int TARGET_TRIES = 16;
  /** A call that is answered or rejected after at least this time had waited in the service's queue. */
  static final long QUEUED_CALL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  /** Rejections by a limit on queueing time take the same time, except for delays by busy event loops: up to a quarter more. */
  private static final double SAME_WAIT_FACTOR = 1.25;
  /** Time, besides two responses, that a call may take until its list is in force. */
  private static final long REOPEN_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private static final int MAX_DOUBLINGS = 10;
  /** Limits the pause to 8 times the time that the call has waited. */
  private static final int MAX_QUEUED_REFUSALS = 3;

  private final SplittableRandom random;
  private int consecutiveFailures;
  private long minRefusalNanos = Long.MAX_VALUE;
  private long maxRefusalNanos;
  /** Whether a call was rejected after queueing since the last response. */
  private boolean refusedAfterWait;

  /** Number of rejections that were queued themselves, less the responses since. */
  private int queuedRefusals;

  private long answerNanos;

  CallBackoff(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Records that a call received its first list after this time; the next failure counts as the first one. */
  void answerReceived(long nanos) {
    consecutiveFailures = 0;
    answerNanos = nanos;
    refusedAfterWait = false;
    queuedRefusals = Math.max(0, queuedRefusals - 1);
  }

  /** Resets all state, since another discovery service is called from now on. */
  void reset() {
    answerReceived(0);
    queuedRefusals = 0;
    minRefusalNanos = Long.MAX_VALUE;
    maxRefusalNanos = 0;
  }

  /** Returns whether calls are queued at the service. */
  boolean crowded() {
    return refusedAfterWait || queuedRefusals > 0 || answerNanos >= QUEUED_CALL_NANOS;
  }

  /**
   * Returns the pause before the next call, in nanoseconds.
   *
   * @param waitedNanos from the start of the failed call to its end
   * @param leftNanos until the list must no longer be used
   * @param confirmedByPeer whether other balancers currently report departures, so that calls are left to balancers without such reports
   */
  long pause(CallFailure failure, long waitedNanos, long leftNanos, boolean confirmedByPeer) {
    long pause = pause(failure, waitedNanos, leftNanos);
    return confirmedByPeer ? Math.max(pause, random.nextLong(MAX_INFORMED_PAUSE_NANOS)) : pause;
  }

  /** Returns the pause for a balancer that receives no reports from others. */
  long pause(CallFailure failure, long waitedNanos, long leftNanos) {
    return switch (failure) {
      case TURNED_AWAY_LATE -> pauseAfterQueuedRefusal(waitedNanos);
      case ENDED -> random.nextLong(MAX_PAUSE_NANOS);
      case SILENT -> random.nextLong(MIN_PAUSE_NANOS) + crowdedDelay(leftNanos);
      case CUT, IGNORED ->
        waitedNanos >= MAX_PAUSE_NANOS
            ? random.nextLong(MIN_PAUSE_NANOS)
            : exponentialPause(leftNanos);
      case TURNED_AWAY ->
        crowded()
            ? MAX_PAUSE_NANOS + random.nextLong(2 * MAX_PAUSE_NANOS)
            : exponentialPause(leftNanos);
      case UNREACHABLE, UNCONNECTED, NOT_MADE -> exponentialPause(leftNanos);
    };
  }

  private long pauseAfterQueuedRefusal(long waitedNanos) {
    refusedAfterWait = true;
    minRefusalNanos = Math.min(minRefusalNanos, waitedNanos);
    maxRefusalNanos = Math.max(maxRefusalNanos, waitedNanos);
    if (maxRefusalNanos <= SAME_WAIT_FACTOR * minRefusalNanos) {
      return random.nextLong(MIN_PAUSE_NANOS);
    }
    queuedRefusals = Math.min(MAX_QUEUED_REFUSALS, queuedRefusals + 1);
    return random.nextLong(waitedNanos << queuedRefusals);
  }

  /** Returns an extra delay that spares a crowded service: the time left beyond what two calls take. */
  private long crowdedDelay(long leftNanos) {
    return crowded() ? Math.max(0, leftNanos - 2 * answerNanos - REOPEN_MARGIN_NANOS) : 0;
  }

  private long exponentialPause(long leftNanos) {
    long doubled = MIN_PAUSE_NANOS << Math.min(consecutiveFailures++, MAX_DOUBLINGS);
    long limit = leftNanos <= 0
        ? MAX_PAUSE_NANOS
        : Math.max(MIN_PAUSE_NANOS, Math.min(MAX_PAUSE_NANOS, leftNanos / TARGET_TRIES));
    long pause = Math.min(doubled, limit);
    return pause / 2 + random.nextLong(pause / 2 + 1);
  }
}
