package pumicekeel.lab.policy;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/** How one of the upstreams that may be used is chosen. The list is never empty. */
interface Choice {

  Peer of(List<Peer> ready, long now);

  static Choice random(SplittableRandom random) {
    return (ready, now) -> ready.get(random.nextInt(ready.size()));
  }

  /** In turn, each balancer from its own place. */
  static Choice roundRobin(SplittableRandom random) {
    int[] turn = {random.nextInt(1 << 20)};
    return (ready, now) -> ready.get(Math.floorMod(turn[0]++, ready.size()));
  }

  /** The least of all; ties by chance. */
  static Choice least(SplittableRandom random, ToDoubleFunction<Peer> load) {
    return (ready, now) -> {
      Peer best = null;
      double least = Double.POSITIVE_INFINITY;
      int from = random.nextInt(ready.size());
      for (int i = 0; i < ready.size(); i++) {
        Peer p = ready.get((from + i) % ready.size());
        double has = load.applyAsDouble(p);
        if (best == null || has < least) {
          best = p;
          least = has;
        }
      }
      return best;
    };
  }

  /** The better of two (Mitzenmacher 2001) by peak EWMA, as Finagle does. */
  static Choice twoByPeakEwma(SplittableRandom random) {
    return (ready, now) -> {
      Peer a = ready.get(random.nextInt(ready.size()));
      Peer b = ready.get(random.nextInt(ready.size()));
      return a.cost(now) <= b.cost(now) ? a : b;
    };
  }
}
