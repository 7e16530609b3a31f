package pumicekeel.pool;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The pool that owns an idempotency key: a client's repeat of a keyed request (the same key, a new request id) has to reach
 * the pool whose upstreams deduplicate it, even if weights, routes or readiness select another one by then. An entry expires
 * with its class's deduplication window. The table is bounded: a full one evicts its oldest entry, and a repeat of that
 * request is routed like any other. No I/O; times are nanoseconds of a monotonic clock.
 */
public final class KeyAffinity {

  /** Some 100 bytes each; at 1,000 keyed requests a second and windows of 4 s there is room to spare. */
  public static final int MAX_KEYS = 20_000;

  /** {@code takers}: requests of the key that ran there, or may have, or still may. */
  private record Owner(String pool, long until, int takers) {}

  private final int most;
  private final Map<String, Owner> owners = new LinkedHashMap<>();
  private long evicted;

  public KeyAffinity(int most) {
    this.most = most;
  }

  /** The pool in which a request of this key may have run within its window, or null. */
  public String poolOf(String key, long now) {
    Owner owner = owners.get(key);
    return owner == null || owner.until <= now ? null : owner.pool;
  }

  /** A request of this key was taken by a pool, which may run it from now on. */
  public void recordAccepted(String key, String pool, long now, long windowNanos) {
    Owner before = owners.remove(key);
    forget(now);
    long until = before == null ? now + windowNanos : Math.max(before.until, now + windowNanos);
    owners.put(key, new Owner(pool, until, before == null ? 1 : before.takers + 1));
  }

  /** Nothing of one request of this key ran after all: it may go anywhere again, unless another one of it was taken. */
  public void recordNotRun(String key) {
    owners.computeIfPresent(
        key, (k, h) -> h.takers == 1 ? null : new Owner(h.pool, h.until, h.takers - 1));
  }

  /** Oldest first: those whose time is up, and one more where there is no room. */
  private void forget(long now) {
    var oldest = owners.entrySet().iterator();
    while (oldest.hasNext()) {
      Owner owner = oldest.next().getValue();
      if (owner.until > now) {
        if (owners.size() < most) {
          return;
        }
        evicted++;
      }
      oldest.remove();
    }
  }

  public int size() {
    return owners.size();
  }

  /** Entries given up before their time, for want of room. */
  public long evicted() {
    return evicted;
  }
}
