package pumicekeel.front.http;

import java.util.concurrent.TimeUnit;

/**
 * The event times of one client connection and the limits that they exceed, kept in one place and without I/O. Times
 * are readings of one clock in nanoseconds, 0 for never.
 */
final class ClientTimes {

  private final long openedAt;
  /** When the last request ended, and when the first byte of a partly received one arrived. */
  private long answeredAt;

  private long receivingSince;
  private long headReceivedAt;
  private long lastChunkAt;
  private long received;
  /** Whether the body is paused, and since when. */
  private boolean held;

  private long heldSince;
  private long discardSince;
  private long discarded;
  /** When the socket stopped accepting bytes of an answer, and how many were pending then. */
  private long writeStalledSince;

  private long pendingAtStall;

  ClientTimes(long now) {
    openedAt = now;
  }

  // Events

  void bytesReceived(long now) {
    lastChunkAt = now;
    receivingSince = receivingSince == 0 ? now : receivingSince;
  }

  void headReceived(long now) {
    headReceivedAt = now;
    lastChunkAt = now;
    received = 0;
  }

  /** Sets the number of body bytes received so far. */
  void received(long bytes) {
    received = bytes;
  }

  long received() {
    return received;
  }

  /** Pauses or resumes the body; a client that is paused is not late. */
  void setHeld(boolean nowHeld, long now) {
    if (held && !nowHeld) {
      headReceivedAt += now - heldSince;
      lastChunkAt = now;
    } else if (!held && nowHeld) {
      heldSince = now;
    }
    held = nowHeld;
  }

  /** Records that the body is complete and no longer paused. */
  void bodyComplete() {
    held = false;
  }

  boolean held() {
    return held;
  }

  void discardStarted(long now) {
    discardSince = now;
    discarded = 0;
  }

  void discarded(int bytes) {
    discarded += bytes;
  }

  long discarded() {
    return discarded;
  }

  void discardComplete() {
    receivingSince = 0;
  }

  void answered(long now) {
    receivingSince = 0;
    answeredAt = now;
  }

  void setWritable(boolean writable, long now) {
    writeStalledSince = writable ? 0 : now;
  }

  // Derived state

  /** Returns whether a request is partly received. */
  boolean isReceiving() {
    return receivingSince != 0;
  }

  boolean neverAnswered() {
    return answeredAt == 0;
  }

  /** Returns the time since the last answer or the connect. */
  long idleNanos(long now) {
    return now - (answeredAt == 0 ? openedAt : answeredAt);
  }

  /** Returns how long a request has been arriving, counted from the connect for the first one; 0 for none. */
  long receivingNanos(long now) {
    return receivingSince == 0 ? 0 : now - (answeredAt == 0 ? openedAt : receivingSince);
  }

  /** Returns how long the rest of a discarded request has been arriving; for a large body, since its last chunk. */
  long discardingNanos(long now, boolean large) {
    return now - (large ? Math.max(discardSince, lastChunkAt) : discardSince);
  }

  /** Returns how long the client has read nothing of what was written to it, given the bytes pending now. */
  long writeStalledNanos(long now, long pendingBytes) {
    if (writeStalledSince == 0) {
      return 0;
    }
    if (pendingBytes != pendingAtStall) {
      // A slow reader is not stalled.
      pendingAtStall = pendingBytes;
      writeStalledSince = now;
    }
    return now - writeStalledSince;
  }

  /** Returns how long nothing has arrived of a request that is not paused; 0 if none is being received. */
  long stalledNanos(long now) {
    return receivingSince == 0 || held ? 0 : now - lastChunkAt;
  }

  /** Returns whether a body that is not paused arrives too slowly. */
  boolean bodyTooSlow(long now) {
    return !held
        && (now - lastChunkAt > ClientLimits.MAX_CHUNK_GAP_NANOS
            || tooSlow(now - headReceivedAt, received));
  }

  /** Returns whether a discarded body arrives too slowly. */
  boolean discardTooSlow(long now) {
    return tooSlow(now - discardSince, discarded);
  }

  private static boolean tooSlow(long nanos, long bytes) {
    return nanos
        > ClientLimits.BODY_ALLOWANCE_NANOS
            + bytes * TimeUnit.SECONDS.toNanos(1) / ClientLimits.MIN_BYTES_PER_SECOND;
  }
}
