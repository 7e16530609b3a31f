package pumicekeel.delivery.control;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Limits concurrent snapshot transfers. A slot that is not used for a while expires. */
final class SnapshotSlots {

  /** With parts of 256 KiB at most some 4 MiB are in transfer at once. */
  static final int MAX_SLOTS = 16;
  /** A disconnected subscriber keeps its slot for this long. */
  private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(5);
  /** Retries of rejected callers are spread over this time; Retry-After has whole seconds. */
  private static final int MAX_RETRY_SECONDS = 4;

  private final Map<String, Long> leases = new HashMap<>();
  private final SplittableRandom random;

  SnapshotSlots(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Acquires a slot or renews the one that this subscriber has; false if all are in use. */
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

  /** Returns the delay after which a rejected caller may retry. */
  long retryAfterNanos() {
    return TimeUnit.SECONDS.toNanos(1 + random.nextInt(MAX_RETRY_SECONDS));
  }

  int used() {
    return leases.size();
  }
}
