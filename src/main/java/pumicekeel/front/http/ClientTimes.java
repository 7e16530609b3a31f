package pumicekeel.front.http;

import java.util.concurrent.TimeUnit;

/**
 * When things happened on one client's connection, and which of its limits that breaks: all of a connection's times in one place,
 * without I/O. Times are readings of one clock in nanoseconds, 0 for never.
 */
final class ClientTimes {

  private final long openedAt;
  /** When the last request ended, and when the first byte came of the one that has come in part. */
  private long answeredAt;

  private long partSince;
  private long headAt;
  private long pieceAt;
  private long received;
  /** No more of a body is wanted for now, since when. */
  private boolean held;

  private long heldSince;
  private long skipSince;
  private long skipped;
  /** When the socket took no more of an answer, and what waited for it then. */
  private long stuckSince;

  private long stuckBytes;

  ClientTimes(long now) {
    openedAt = now;
  }

  // What happens

  void bytesCame(long now) {
    pieceAt = now;
    partSince = partSince == 0 ? now : partSince;
  }

  void headCame(long now) {
    headAt = now;
    pieceAt = now;
    received = 0;
  }

  /** So many bytes of the body have come by now. */
  void received(long bytes) {
    received = bytes;
  }

  long received() {
    return received;
  }

  /** More of a body is wanted, or not; a client that is made to wait is not late. */
  void hold(boolean on, long now) {
    if (held && !on) {
      headAt += now - heldSince;
      pieceAt = now;
    } else if (!held && on) {
      heldSince = now;
    }
    held = on;
  }

  /** The body has come whole: nothing of it is held back any more. */
  void bodyCame() {
    held = false;
  }

  boolean held() {
    return held;
  }

  void skips(long now) {
    skipSince = now;
    skipped = 0;
  }

  void skipped(int bytes) {
    skipped += bytes;
  }

  long skipped() {
    return skipped;
  }

  void skippedAll() {
    partSince = 0;
  }

  void answered(long now) {
    partSince = 0;
    answeredAt = now;
  }

  void takes(boolean on, long now) {
    stuckSince = on ? 0 : now;
  }

  // What that makes of it

  /** Bytes have come of a request that is not whole. */
  boolean partCame() {
    return partSince != 0;
  }

  boolean neverAnswered() {
    return answeredAt == 0;
  }

  /** How long nothing has been open on it, since the last answer or the connect. */
  long idleFor(long now) {
    return now - (answeredAt == 0 ? openedAt : answeredAt);
  }

  /** How long a request has been coming in, counted from the connect for the first one; 0 where none is. */
  long comingFor(long now) {
    return partSince == 0 ? 0 : now - (answeredAt == 0 ? openedAt : partSince);
  }

  /** How long the rest of a request has been coming in that is dropped; of a large body, since its last piece. */
  long skippingFor(long now, boolean large) {
    return now - (large ? Math.max(skipSince, pieceAt) : skipSince);
  }

  /** How long the client has taken nothing of what was written to it, of which so many bytes wait now. */
  long stuckFor(long now, long waits) {
    if (stuckSince == 0) {
      return 0;
    }
    if (waits != stuckBytes) {
      // A slow reader is none that is stuck.
      stuckBytes = waits;
      stuckSince = now;
    }
    return now - stuckSince;
  }

  /** Whether a body that is wanted comes too slowly. */
  boolean bodyLate(long now) {
    return !held && (now - pieceAt > ClientLimits.PIECE_NANOS || slow(now - headAt, received));
  }

  /** Whether what is dropped comes too slowly. */
  boolean skipLate(long now) {
    return slow(now - skipSince, skipped);
  }

  private static boolean slow(long nanos, long bytes) {
    return nanos
        > ClientLimits.BODY_NANOS
            + bytes * TimeUnit.SECONDS.toNanos(1) / ClientLimits.LEAST_BYTES_PER_SECOND;
  }
}
