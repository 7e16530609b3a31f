package pumicekeel.subset;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Chooses the upstreams that each balancer of a fleet uses, from ids alone: balancers with the same list get the same result without
 * communication. Pure functions; ids are given in ascending order.
 */
public enum Subsets {

  /** Each balancer draws a random subset; nothing balances the loads. */
  RANDOM {
    @Override
    public Map<Long, Double> of(int member, int members, List<Long> upstreams, int size) {
      List<Long> all = shuffled(upstreams, SEED + member);
      return usedInFull(all.subList(0, Math.min(size, all.size())));
    }
  },

  /**
   * Rounds (Beyer and others, Site Reliability Engineering, chapter 20): as many balancers as subsets fit share one shuffled list among
   * them, so each round loads every upstream once.
   */
  ROUNDS {
    @Override
    public Map<Long, Double> of(int member, int members, List<Long> upstreams, int size) {
      int parts = Math.max(1, upstreams.size() / Math.max(1, size));
      List<Long> all = shuffled(upstreams, SEED + member / parts);
      int part = member % parts;
      // The remainder is spread over the parts, one each, so that every upstream is in a part.
      int from = (int) ((long) upstreams.size() * part / parts);
      int to = (int) ((long) upstreams.size() * (part + 1) / parts);
      return usedInFull(all.subList(from, to));
    }
  },

  /** Rendezvous hashing (Thaler and Ravishankar 1998): the upstreams that rank first by hash for this balancer. */
  RENDEZVOUS {
    @Override
    public Map<Long, Double> of(int member, int members, List<Long> upstreams, int size) {
      return usedInFull(upstreams.stream()
          .sorted(Comparator.comparingLong((Long id) -> mix(id ^ mix(member + SEED))))
          .limit(size)
          .toList());
    }
  },

  /**
   * Deterministic aperture (Finagle): balancers and upstreams are placed at even distances on one ring; each balancer uses what its own
   * part of the ring covers, and the upstreams at the ends in proportion to the covered part.
   */
  APERTURE {
    @Override
    public Map<Long, Double> of(int member, int members, List<Long> upstreams, int size) {
      int n = upstreams.size();
      // Whole turns of the ring, so that all together cover every point equally often.
      long turns = Math.max(1, Math.round((double) members * Math.min(size, n) / n));
      double width = (double) turns / members;
      List<Long> ring = shuffled(upstreams, SEED);
      Map<Long, Double> out = new LinkedHashMap<>();
      double from = (double) member / members * n;
      double to = from + Math.min(1, width) * n;
      for (double at = from;
          at < to - POSITION_TOLERANCE;
          at = Math.floor(at + POSITION_TOLERANCE) + 1) {
        double part = Math.min(to, Math.floor(at + POSITION_TOLERANCE) + 1) - at;
        out.merge(ring.get((int) Math.floor(at + POSITION_TOLERANCE) % n), part, Double::sum);
      }
      return out;
    }
  };

  private static final long SEED = 0x5eed;
  /** Tolerance for rounding errors of positions on the ring. */
  private static final double POSITION_TOLERANCE = 1e-9;

  /**
   * Returns the upstreams of one balancer with the used fraction of each.
   *
   * @param member the balancer's number, from 0
   * @param upstreams all ids, ascending
   * @param size the wanted subset size, at least 1; all upstreams if there are no more
   */
  public abstract Map<Long, Double> of(int member, int members, List<Long> upstreams, int size);

  private static Map<Long, Double> usedInFull(List<Long> ids) {
    Map<Long, Double> out = new LinkedHashMap<>();
    ids.forEach(id -> out.put(id, 1.0));
    return out;
  }

  private static List<Long> shuffled(List<Long> ids, long seed) {
    // Ordered by hash, not by position: an added or removed upstream does not change the order of
    // the others.
    List<Long> out = new ArrayList<>(ids);
    long salt = new SplittableRandom(seed).nextLong();
    out.sort(Comparator.comparingLong(id -> mix(id ^ salt)));
    return out;
  }

  /** The finalizer of MurmurHash3. */
  private static long mix(long x) {
    long h = (x ^ x >>> 33) * 0xff51afd7ed558ccdL;
    h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
    return h ^ h >>> 33;
  }
}
