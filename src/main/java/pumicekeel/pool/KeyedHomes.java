package pumicekeel.pool;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Where keyed requests may have run: a client's repeat of one (the same idempotency key, a new request id) has to find
 * the pool whose upstreams drop it, though weights, routes or readiness would send it elsewhere by now. An entry is
 * worth something only for the class's window, and the table is bounded: when it is full the oldest entry goes, and a
 * repeat of that one is routed like any other request.
 */
public final class KeyedHomes {

  /** Some 100 bytes each; at 1,000 keyed requests a second and windows of 4 s there is room to spare. */
  public static final int MOST = 20_000;

  /** {@code takers}: requests of the key that ran there, or may have, or still may. */
  private record Home(String pool, long until, int takers) {}

  private final int most;
  private final Map<String, Home> homes = new LinkedHashMap<>();
  private long dropped;

  public KeyedHomes(int most) {
    this.most = most;
  }

  /** The pool in which a request of this key may have run within its window, or null. */
  public String poolOf(String key, long now) {
    Home home = homes.get(key);
    return home == null || home.until <= now ? null : home.pool;
  }

  /** A request of this key was taken by a pool, which may run it from now on. */
  public void taken(String key, String pool, long now, long windowNanos) {
    Home before = homes.remove(key);
    forget(now);
    long until = before == null ? now + windowNanos : Math.max(before.until, now + windowNanos);
    homes.put(key, new Home(pool, until, before == null ? 1 : before.takers + 1));
  }

  /** Nothing of one request of this key ran after all: it may go anywhere again, unless another one of it was taken. */
  public void neverRan(String key) {
    homes.computeIfPresent(
        key, (k, h) -> h.takers == 1 ? null : new Home(h.pool, h.until, h.takers - 1));
  }

  /** Oldest first: those whose time is up, and one more where there is no room. */
  private void forget(long now) {
    var oldest = homes.entrySet().iterator();
    while (oldest.hasNext()) {
      Home home = oldest.next().getValue();
      if (home.until > now) {
        if (homes.size() < most) {
          return;
        }
        dropped++;
      }
      oldest.remove();
    }
  }

  public int size() {
    return homes.size();
  }

  /** Entries given up before their time, for want of room. */
  public long dropped() {
    return dropped;
  }
}
