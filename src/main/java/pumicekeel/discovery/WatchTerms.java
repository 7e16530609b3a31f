package pumicekeel.discovery;

import pumicekeel.Balancer.Settings;

/**
 * How a watch on the list is kept, in milliseconds: how long its connect, its first answer and its silence are waited for, and
 * where lists are pushed, when it is opened anew after it failed.
 *
 * <p>What a silent watch misses counts as told 6 s after its last byte at the earliest, and the least grace known is 1 s more.
 * Asked, with the module's back-off of at most 0.5, 1 and 2 s: silence 3 + 0.5 + a failed call 1 (its connect stalls) + 1 + an
 * answer at once is 5.5 s; with two calls that are turned away at once 3 + 0.5 + 1 + 2 = 6.5 s. Pushed: 3 s and 0.85 s for
 * each try that stalls, so four tries before 6.5 s. A return of the agent counts as told at once: one try is always
 * under way or begins within 0.1 s, and the one that stalls is given up within 0.75 s.
 */
public record WatchTerms(
    boolean pushed, int connectMillis, int answerMillis, int silenceMillis, int reopenMillis) {

  /** A heartbeat comes every 2 s: one that stays out, and a second, mean a connection that nobody serves any more. */
  private static final int SILENT_WATCH_TIMEOUT_MILLIS = 3_000;
  /** One service for all may be busy: calls wait there in turn, for 2 s at most, before they fail. */
  private static final int POLL_ANSWER_TIMEOUT_MILLIS = 3_000;
  /** A connect waits for no turn; what has not come up by then was lost on its way. */
  private static final int POLL_CONNECT_TIMEOUT_MILLIS = 1_000;
  /** An agent on the same machine answers at once and costs nothing. */
  private static final int PUSH_CONNECT_TIMEOUT_MILLIS = 250;

  private static final int PUSH_ANSWER_TIMEOUT_MILLIS = 500;
  private static final int PUSH_REOPEN_DELAY_MILLIS = 100;

  public static WatchTerms of(Settings settings) {
    return settings.listOnRequest()
        ? new WatchTerms(
            false,
            POLL_CONNECT_TIMEOUT_MILLIS,
            POLL_ANSWER_TIMEOUT_MILLIS,
            SILENT_WATCH_TIMEOUT_MILLIS,
            0)
        : new WatchTerms(
            true,
            PUSH_CONNECT_TIMEOUT_MILLIS,
            PUSH_ANSWER_TIMEOUT_MILLIS,
            SILENT_WATCH_TIMEOUT_MILLIS,
            PUSH_REOPEN_DELAY_MILLIS);
  }
}
