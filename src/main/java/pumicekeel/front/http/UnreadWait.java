package pumicekeel.front.http;

import pumicekeel.runtime.Sockets;

/**
 * How long a request may have waited unread before this process could read it: in the accept backlog, while reading was
 * paused, or in its socket. That time has passed for its client, too. No I/O; times are readings of one clock in
 * nanoseconds.
 */
final class UnreadWait {

  /** Bytes read within this time after a pause are assumed to have waited for its end. */
  private static final long WAITED_FOR_PAUSE_NANOS = 20_000_000L;
  /** Bytes read within this time after the accept, plus the loop's lag, may have been in the socket before it. */
  private static final long WAITED_FOR_ACCEPT_NANOS = 60_000_000L;

  /** Whether the rest of a request may have been in its socket while its beginning was read. */
  private enum BufferState {
    /** The socket was never seen empty since. */
    NEVER_EMPTY,
    /** Not known. */
    UNKNOWN,
    /** The socket was seen empty: later bytes have not waited since. */
    SEEN_EMPTY
  }

  /** How long bytes may have waited before the first one was read; counts for the next request. */
  private long beforeFirstByteNanos;

  private boolean unreadAtAccept;
  /** When the first byte of the current request was read. */
  private long firstByteAt;

  private BufferState bufferState = BufferState.NEVER_EMPTY;
  private long pausedAt;
  private long resumedAt;

  /** Records the accept after this wait in the backlog, and whether bytes were in the socket by then. */
  void accepted(long waitedNanos, boolean bytesCame) {
    beforeFirstByteNanos = waitedNanos;
    unreadAtAccept = bytesCame;
  }

  void paused(long now) {
    pausedAt = now;
  }

  void resumed(long now) {
    resumedAt = now;
  }

  /**
   * Records the first byte of a connection's first request.
   *
   * @param sinceAcceptNanos the time since the accept
   * @param maxReadDelayNanos the longest that readable bytes may have waited for the loop
   */
  void firstByteAfterAccept(long sinceAcceptNanos, long maxReadDelayNanos) {
    boolean wasUnread =
        unreadAtAccept || sinceAcceptNanos < WAITED_FOR_ACCEPT_NANOS + maxReadDelayNanos;
    beforeFirstByteNanos = wasUnread ? beforeFirstByteNanos + sinceAcceptNanos : 0;
  }

  /** Records the first byte of a later request. */
  void firstByteAfterAnswer(long now) {
    if (resumedAt != 0 && now - resumedAt < WAITED_FOR_PAUSE_NANOS) {
      beforeFirstByteNanos = resumedAt - pausedAt;
    }
  }

  /** Begins a request whose first byte was recorded; it waited at least this long for a read. */
  void begin(long minWaitNanos, long now) {
    resumedAt = 0;
    firstByteAt = now;
    bufferState = BufferState.NEVER_EMPTY;
    beforeFirstByteNanos = Math.max(beforeFirstByteNanos, minWaitNanos);
  }

  /** Returns whether it still matters what waits in the socket at the end of a read. */
  boolean dependsOnSocket() {
    return bufferState != BufferState.SEEN_EMPTY;
  }

  /** Records what waits in the socket at the end of a read. */
  void readEnded(Sockets.Pending pending) {
    bufferState = switch (pending) {
      case NONE -> BufferState.SEEN_EMPTY;
      case SOME -> bufferState;
      case UNKNOWN -> BufferState.UNKNOWN;
    };
  }

  /** Returns how long the last byte of the now complete request may have waited in the backlog and in its socket. */
  long nanosUntilComplete(long maxReadDelayNanos, long now) {
    long inSocket = switch (bufferState) {
      case NEVER_EMPTY -> beforeFirstByteNanos + now - firstByteAt;
      case UNKNOWN -> beforeFirstByteNanos;
      case SEEN_EMPTY -> 0;
    };
    return Math.max(inSocket, maxReadDelayNanos);
  }

  /** Ends the current request: nothing that has waited counts for the next one. */
  void requestOver() {
    beforeFirstByteNanos = 0;
  }
}
