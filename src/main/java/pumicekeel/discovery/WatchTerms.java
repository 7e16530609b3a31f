package pumicekeel.discovery;

import pumicekeel.Balancer.Settings;

/**
 * How a watch on the list is kept, in milliseconds.
 *
 * <p>What a watch misses counts as told 6 s after discovery had it, and the least grace known is 1 s more. Asked: a call whose list stops
 * half way is given up after 1 s, and another one is made beside it after half of that; one that is not answered is left its place in the
 * service's queue for twice as long as another one is waited with. Pushed: 3 s of silence and 0.85 s for each try that stalls, so four
 * tries before 6.5 s. A return of the agent counts as told at once: one try is always under way or begins within 0.1 s, and the one that
 * stalls is given up within 0.75 s.
 *
 * @param pushed an agent on this machine hands lists on
 * @param overlaps whether another call is made beside one that has stalled
 * @param connectMillis a connect is waited for
 * @param answerMillis the first answer is waited for before the call counts as stalled
 * @param patienceMillis the first answer is waited for before the call is given up
 * @param progressMillis more of a list that has begun is waited for before the call counts as stalled
 * @param quietMillis a watch may say nothing before it counts as stalled
 * @param silenceMillis a watch may say nothing before it is given up
 * @param reopenMillis after which a pushed watch that failed is opened anew
 */
public record WatchTerms(
    boolean pushed,
    boolean overlapsCalls,
    int connectMillis,
    int answerMillis,
    int giveUpMillis,
    int progressMillis,
    int quietMillis,
    int silenceMillis,
    int reopenMillis) {

  /** A heartbeat comes every 2 s: one that stays out, and a second, mean a connection that nobody serves any more. */
  private static final int SILENT_WATCH_TIMEOUT_MILLIS = 3_000;
  /** One heartbeat that stays out. */
  private static final int QUIET_WATCH_MILLIS = 2_400;
  /** One service for all may be busy: calls wait there in turn, for 2 s at most, before they fail. */
  private static final int POLL_ANSWER_TIMEOUT_MILLIS = 3_000;
  /** A service that lets calls wait for longer answers the one that has waited longest first. */
  private static final int POLL_PATIENCE_MILLIS = 6_000;
  /** A list comes in a few pieces, one behind the other. */
  private static final int POLL_PROGRESS_TIMEOUT_MILLIS = 500;
  /** A connect waits for no turn; what has not come up by then was lost on its way. */
  private static final int POLL_CONNECT_TIMEOUT_MILLIS = 1_000;
  /** An agent on the same machine answers at once and costs nothing. */
  private static final int PUSH_CONNECT_TIMEOUT_MILLIS = 250;

  private static final int PUSH_ANSWER_TIMEOUT_MILLIS = 500;
  private static final int PUSH_REOPEN_DELAY_MILLIS = 100;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** One call at a time. */
  public WatchTerms(
      boolean pushed, int connectMillis, int answerMillis, int silenceMillis, int reopenMillis) {
    this(
        pushed,
        false,
        connectMillis,
        answerMillis,
        answerMillis,
        silenceMillis,
        silenceMillis,
        silenceMillis,
        reopenMillis);
  }

  /** What the settings call for. */
  public static WatchTerms of(Settings settings) {
    return settings.listOnRequest()
        ? new WatchTerms(
            false,
            true,
            POLL_CONNECT_TIMEOUT_MILLIS,
            POLL_ANSWER_TIMEOUT_MILLIS,
            POLL_PATIENCE_MILLIS,
            POLL_PROGRESS_TIMEOUT_MILLIS,
            QUIET_WATCH_MILLIS,
            SILENT_WATCH_TIMEOUT_MILLIS,
            0)
        : new WatchTerms(
            true,
            PUSH_CONNECT_TIMEOUT_MILLIS,
            PUSH_ANSWER_TIMEOUT_MILLIS,
            SILENT_WATCH_TIMEOUT_MILLIS,
            PUSH_REOPEN_DELAY_MILLIS);
  }

  long connectNanos() {
    return connectMillis * NANOS_PER_MILLI;
  }

  long answerNanos() {
    return answerMillis * NANOS_PER_MILLI;
  }

  long giveUpNanos() {
    return giveUpMillis * NANOS_PER_MILLI;
  }

  long progressNanos() {
    return progressMillis * NANOS_PER_MILLI;
  }

  long quietNanos() {
    return quietMillis * NANOS_PER_MILLI;
  }

  long silenceNanos() {
    return silenceMillis * NANOS_PER_MILLI;
  }

  long reopenNanos() {
    return reopenMillis * NANOS_PER_MILLI;
  }
}
