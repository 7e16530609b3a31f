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

  /** About 100 bytes each; more than enough for 1,000 keyed requests per second and windows of 4 s. */
  public static final int MAX_KEYS = 20_000;

  /** {@code requests}: requests of the key that ran there, may have run or may still run. */
  private record Owner(String pool, long until, int requests) {}

  private final int maxKeys;
  private final Map<String, Owner> owners = new LinkedHashMap<>();
  private long evicted;

  public KeyAffinity(int maxKeys) {
    this.maxKeys = maxKeys;
  }

  /** Returns the pool in which a request of this key may have run within its window, or null. */
  public String poolOf(String key, long now) {
    Owner owner = owners.get(key);
    return owner == null || owner.until <= now ? null : owner.pool;
  }

  /** Records that a pool accepted a request of this key and may run it from now on. */
  public void recordAccepted(String key, String pool, long now, long windowNanos) {
    Owner before = owners.remove(key);
    evictOldest(now);
    long until = before == null ? now + windowNanos : Math.max(before.until, now + windowNanos);
    owners.put(key, new Owner(pool, until, before == null ? 1 : before.requests + 1));
  }

  /** Records that a request of this key did not run: the key is free again unless another request of it was accepted. */
  public void recordNotRun(String key) {
    owners.computeIfPresent(
        key, (k, h) -> h.requests == 1 ? null : new Owner(h.pool, h.until, h.requests - 1));
  }

  /** Removes expired entries, oldest first, and the oldest live one if the table is full. */
  private void evictOldest(long now) {
    var oldest = owners.entrySet().iterator();
    while (oldest.hasNext()) {
      Owner owner = oldest.next().getValue();
      if (owner.until > now) {
        if (owners.size() < maxKeys) {
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

  /** Returns the number of entries evicted before they expired because the table was full. */
  public long evicted() {
    return evicted;
  }
}
