package pumicekeel.delivery.control;

import java.util.Arrays;
import java.util.Collection;
import pumicekeel.delivery.ConfigurationDelta;
import pumicekeel.delivery.ConfigurationDocument;
import pumicekeel.delivery.ConfigurationRequest;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.PartRequest;
import pumicekeel.delivery.Reply;
import pumicekeel.delivery.SnapshotPart;

/** What a control machine answers, without I/O or clock: times are nanoseconds of one monotonic clock. One thread. */
final class ControlState {

  /** A part is sent in one go: small against the memory for all of them, large against the cost of a call. */
  static final int PART_BYTES = 256 << 10;
  /** Beyond this a delta costs as much as a snapshot, which is bounded and goes on where it broke off. */
  private static final long MAX_DELTA_CHARS = 512 << 10;

  private final ConfigurationHistory history = new ConfigurationHistory();
  private final ReplicaRegistry replicas = new ReplicaRegistry();
  private final SnapshotSlots slots;

  ControlState(long seed) {
    slots = new SnapshotSlots(seed);
  }

  ConfigurationVersion current() {
    return history.current();
  }

  Collection<ReplicaRegistry.ReceivedReport> replicas() {
    return replicas.all();
  }

  int snapshotsInProgress() {
    return slots.used();
  }

  /** Hands on a newer version from now on; it has been kept. */
  void advance(ConfigurationVersion version, ConfigurationDocument document) {
    history.add(version, document);
  }

  /** The reply to a call, or null where there is nothing newer and the call waits. */
  Reply answer(ConfigurationRequest request, long now) {
    replicas.record(request.replica(), now);
    ConfigurationVersion current = history.current();
    if (request.known().isNewerThan(current)) {
      return new Reply.Failed("the control machine is behind, at version " + current);
    }
    if (!current.isNewerThan(request.known())) {
      return null;
    }
    ConfigurationDelta delta = history.deltaFrom(request.held());
    return delta != null && sizeOf(delta) <= MAX_DELTA_CHARS
        ? new Reply.Delta(delta)
        : firstPart(request, now);
  }

  private static long sizeOf(ConfigurationDelta delta) {
    return delta.upserted().stream()
            .mapToLong(u -> u.key().length() + u.text().length())
            .sum()
        + delta.removed().stream().mapToLong(String::length).sum();
  }

  private Reply firstPart(ConfigurationRequest request, long now) {
    String name = request.replica().name();
    return slots.acquire(name, now)
        ? part(name, history.snapshotFor(request.known(), now), 0)
        : new Reply.Busy(slots.retryAfterNanos());
  }

  /** The reply to a call for a further part. */
  Reply answer(PartRequest request, long now) {
    ConfigurationHistory.Snapshot snapshot = history.snapshot(request.version(), now);
    if (snapshot == null || request.offset() < 0 || request.offset() >= snapshot.text().length) {
      return new Reply.Gone();
    }
    return slots.acquire(request.replica(), now)
        ? part(request.replica(), snapshot, (int) request.offset())
        : new Reply.Busy(slots.retryAfterNanos());
  }

  private Reply part(String replica, ConfigurationHistory.Snapshot snapshot, int offset) {
    byte[] text = snapshot.text();
    int end = Math.min(text.length, offset + PART_BYTES);
    if (end == text.length) {
      slots.release(replica);
    }
    return new Reply.Part(new SnapshotPart(
        snapshot.version(), offset, text.length, Arrays.copyOfRange(text, offset, end)));
  }
}
