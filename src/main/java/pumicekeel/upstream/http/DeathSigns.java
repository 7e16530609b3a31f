package pumicekeel.upstream.http;

import java.util.concurrent.TimeUnit;

/**
 * Signs that the process behind an upstream's address has died, so that another one may have taken its place before the list tells. No
 * I/O; times are readings of one clock in nanoseconds.
 */
final class DeathSigns {

  /** Time within which the list usually tells of a replacement. */
  static final long UNCERTAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
  /** A process that dies loses all its connections within this time; a single one may break for other reasons. */
  static final long SIMULTANEOUS_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private boolean lostOne;
  private long lostAt;
  private boolean suspected;
  private long suspectedAt;

  /** Records that the upstream ended a connection, which was idle or carried a request. */
  void connectionLost(boolean idle, long now) {
    if (idle || lostOne && now - lostAt < SIMULTANEOUS_NANOS) {
      suspect(now);
    }
    lostOne = true;
    lostAt = now;
  }

  /** Records that a connection was refused. */
  void connectionRefused(long now) {
    suspect(now);
  }

  private void suspect(long now) {
    suspected = true;
    suspectedAt = now;
  }

  /** Returns whether a connection that came up at this time may lead to another process than the listed one. */
  boolean mayBeReplaced(long connectedAt) {
    return suspected
        && connectedAt - suspectedAt >= 0
        && connectedAt - suspectedAt < UNCERTAIN_NANOS;
  }
}
