package pumicekeel.delivery.control;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Bounds the snapshots that are under way at once. A slot that is not used for a while is free again. */
final class SnapshotSlots {

  /** With parts of 256 KiB some 4 MiB are on their way at once, whoever asks. */
  static final int MAX_SLOTS = 16;
  /** A subscriber that is gone keeps its slot for this long. */
  private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(5);
  /** Those turned away come back spread over this time, in whole seconds as the protocol has them. */
  private static final int MAX_RETRY_SECONDS = 4;

  private final Map<String, Long> leases = new HashMap<>();
  private final SplittableRandom random;

  SnapshotSlots(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Takes a slot or goes on using the one that this subscriber has; false where all are taken. */
  boolean acquire(String replica, long now) {
    leases.values().removeIf(until -> until <= now);
    if (leases.size() >= MAX_SLOTS && !leases.containsKey(replica)) {
      return false;
    }
    leases.put(replica, now + LEASE_NANOS);
    return true;
  }

  void release(String replica) {
    leases.remove(replica);
  }

  /** When one that was turned away may come back. */
  long retryAfterNanos() {
    return TimeUnit.SECONDS.toNanos(1 + random.nextInt(MAX_RETRY_SECONDS));
  }

  int used() {
    return leases.size();
  }
}
