package pumicekeel.call;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether the client of a streamed body may have written its last byte already, and when at the earliest: its time counts from
 * then, however slowly the upstream reads. Bytes wait in the sockets of both sides, unless the own one was seen empty. No I/O; times are
 * readings of one clock in nanoseconds.
 */
public final class UploadProgress {

  /** Most that the sockets of a connection usually hold: 4 MiB to send, the default limit of Linux, and some received. */
  static final long MAX_SOCKET_BYTES = 6L << 20;

  private static final int BYTES_PER_SAMPLE = 256 << 10;

  /** How much had been received at a time. */
  private record Sample(long received, long at) {}

  private final long length;
  private final long clientNanos;
  private final Deque<Sample> samples = new ArrayDeque<>();
  private long lastSampled;
  private long received;
  private long emptyAt;

  /** Begins a body of this length, -1 if it is not declared, whose client waits for {@code clientNanos} from its last byte. */
  public UploadProgress(long length, long clientNanos, long now) {
    this.length = length;
    this.clientNanos = clientNanos;
    emptyAt = now;
    samples.add(new Sample(0, now));
  }

  /** Records that this many bytes of the body have been received so far. */
  public void received(long total, long now) {
    received = total;
    if (total - lastSampled >= BYTES_PER_SAMPLE) {
      lastSampled = total;
      samples.add(new Sample(total, now));
    }
  }

  /** Records that nothing waits in the socket while the body is incomplete: its last byte was not written before. */
  public void socketEmpty(long now) {
    emptyAt = now;
  }

  /** Returns how long ago the last byte may have been written; 0 if it cannot have been written yet. */
  public long waitedNanos(long now) {
    long end = length >= 0 ? length : received + 1;
    // Less than this had been received when the last byte was written at the earliest.
    long receivedByThen = end - MAX_SOCKET_BYTES;
    while (!samples.isEmpty() && samples.peek().received() < receivedByThen) {
      samples.poll();
    }
    return samples.isEmpty() ? 0 : now - Math.max(samples.peek().at(), emptyAt);
  }

  /** Describes for the log how much was received, and since when the client may be waiting. */
  String describe(long now) {
    return received + (length < 0 ? "" : " of " + length)
        + " bytes read, last byte written at most "
        + TimeUnit.NANOSECONDS.toMillis(waitedNanos(now)) + " ms ago";
  }

  /** Returns whether the client's time may be up before the body is complete. */
  public boolean isOverdue(long now) {
    return waitedNanos(now) >= clientNanos;
  }
}
