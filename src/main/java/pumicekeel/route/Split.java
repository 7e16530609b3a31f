package pumicekeel.route;

import java.util.List;

/**
 * Divides keys over pools by weight, with nothing but the names, the weights and the key: the same at every instance
 * and after every restart. Weighted rendezvous hashing: each pool draws an exponential variate from the key and its own
 * name, at a rate of its weight, and the smallest has the key. Two pools exchange exactly as many keys as the weights
 * moved; among more, a change of share d (total variation) moves at most 2d / (1 + d), which no rule without memory
 * improves on for all weights (Bavarian and others, "On the optimality of correlated sampling", 2016).
 */
public record Split(List<Part> parts) {

  /** A pool and its weight, at least 0; a pool of weight 0 gets nothing. */
  public record Part(String pool, double weight) {}

  private static final long FNV_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /** All to one pool. */
  public static Split to(String pool) {
    return new Split(List.of(new Part(pool, 1)));
  }

  /** The pool of a key; null only where no weight is above 0. */
  public String poolOf(String key) {
    if (parts.size() == 1) {
      return parts.get(0).pool();
    }
    String best = null;
    double least = Double.POSITIVE_INFINITY;
    for (int i = 0; i < parts.size(); i++) {
      Part part = parts.get(i);
      if (part.weight() > 0) {
        // StrictMath: the same to the last bit on every machine, or instances would disagree over
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

  /** In (0, 1): 53 bits of the hash, moved off 0 by half a step. */
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
