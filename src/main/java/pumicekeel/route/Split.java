package pumicekeel.route;

import java.util.List;

/**
 * Splits keys over pools by weight. The result depends only on pool names, weights and the key, so it is the same at every
 * instance and after every restart. Weighted rendezvous hashing: the key and a pool's name are hashed to an exponential
 * variate whose rate is the pool's weight, and the pool with the smallest one owns the key. Between two pools exactly the
 * keys of the changed weight move; among more, a change d of the shares (total variation) moves at most 2d / (1 + d), which
 * no stateless rule improves on for all weights (Bavarian and others, "On the optimality of correlated sampling", 2016).
 */
public record Split(List<Part> parts) {

  /** A pool and its weight, at least 0; a pool of weight 0 gets no keys. */
  public record Part(String pool, double weight) {}

  private static final long FNV_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /** Returns a split with all keys in one pool. */
  public static Split to(String pool) {
    return new Split(List.of(new Part(pool, 1)));
  }

  /** Returns the pool of a key; null only if no weight is above 0. */
  public String poolOf(String key) {
    if (parts.size() == 1) {
      return parts.get(0).pool();
    }
    String best = null;
    double least = Double.POSITIVE_INFINITY;
    for (int i = 0; i < parts.size(); i++) {
      Part part = parts.get(i);
      if (part.weight() > 0) {
        // StrictMath gives the same bits on every machine; otherwise instances would disagree on
        // some keys.
        double drawn = -StrictMath.log(unit(part.pool(), key)) / part.weight();
        if (drawn < least) {
          least = drawn;
          best = part.pool();
        }
      }
    }
    return best;
  }

  /** Hashes to (0, 1): 53 bits of the hash plus half a step, which excludes 0. */
  private static double unit(String pool, String key) {
    long hash = fnv(fnv(FNV_BASIS, pool) * FNV_PRIME, key);
    hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
    hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
    return (((hash ^ (hash >>> 31)) >>> 11) + 0.5) * 0x1.0p-53;
  }

  private static long fnv(long hash, String text) {
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }
}
