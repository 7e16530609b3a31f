package pumicekeel.discovery;

import pumicekeel.Balancer.Settings;

/**
 * Time limits of a watch on the list, in milliseconds.
 *
 * <p>A change that a watch misses counts as announced 6 s after discovery had it, and the shortest drain grace in use adds 1 s. Polled:
 * a call whose list stops half way is given up after 1 s, and a second call is made in parallel after half of that; a call that gets no
 * response keeps its place in the service's queue for twice the time after which the second one is made. Pushed: 3 s of silence and 0.85
 * s for each try that stalls, so four tries before 6.5 s. A return of the agent counts as announced at once: one try is always in
 * progress or begins within 0.1 s, and one that stalls is given up within 0.75 s.
 *
 * @param pushed an agent on this machine forwards lists
 * @param overlapsCalls whether a second call is made in parallel to one that has stalled
 * @param connectMillis time limit of a connect
 * @param answerMillis wait for the first response before the call counts as stalled
 * @param giveUpMillis wait for the first response before the call is given up
 * @param progressMillis wait for more of a list that has begun before the call counts as stalled
 * @param quietMillis silence of a watch before it counts as stalled
 * @param silenceMillis silence of a watch before it is given up
 * @param reopenMillis delay before a pushed watch that failed is reopened
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

  /** A heartbeat comes every 2 s: one that is missing and another second mean that nobody serves the connection any more. */
  private static final int SILENT_WATCH_TIMEOUT_MILLIS = 3_000;
  /** One missing heartbeat. */
  private static final int QUIET_WATCH_MILLIS = 2_400;
  /** A service shared by all may be busy: calls wait in its queue, for at most 2 s, before they fail. */
  private static final int POLL_ANSWER_TIMEOUT_MILLIS = 3_000;
  /** A service that lets calls wait longer answers the longest waiting one first. */
  private static final int POLL_GIVE_UP_MILLIS = 6_000;
  /** A list arrives in a few pieces, in quick succession. */
  private static final int POLL_PROGRESS_TIMEOUT_MILLIS = 500;
  /** A connect does not wait in the service's queue; one that is not established by then was lost in the network. */
  private static final int POLL_CONNECT_TIMEOUT_MILLIS = 1_000;
  /** An agent on the same machine answers at once, and calls to it cost nothing. */
  private static final int PUSH_CONNECT_TIMEOUT_MILLIS = 250;

  private static final int PUSH_ANSWER_TIMEOUT_MILLIS = 500;
  private static final int PUSH_REOPEN_DELAY_MILLIS = 100;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Creates terms with one call at a time. */
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

  /** Returns the terms for the given settings. */
  public static WatchTerms of(Settings settings) {
    return settings.listOnRequest()
        ? new WatchTerms(
            false,
            true,
            POLL_CONNECT_TIMEOUT_MILLIS,
            POLL_ANSWER_TIMEOUT_MILLIS,
            POLL_GIVE_UP_MILLIS,
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
