package pumicekeel.lab.policy;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/** Selects one of the upstreams that may be used. The list is never empty. */
interface SelectionStrategy {

  /** Selects one of the ready upstreams. */
  UpstreamState of(List<UpstreamState> ready, long now);

  /** Selects a random upstream. */
  static SelectionStrategy random(SplittableRandom random) {
    return (ready, now) -> ready.get(random.nextInt(ready.size()));
  }

  /** Selects upstreams in turn. Each balancer starts at a random position. */
  static SelectionStrategy roundRobin(SplittableRandom random) {
    int[] nextIndex = {random.nextInt(1 << 20)};
    return (ready, now) -> ready.get(Math.floorMod(nextIndex[0]++, ready.size()));
  }

  /** Selects the upstream with the least load; ties are broken at random. */
  static SelectionStrategy leastLoaded(
      SplittableRandom random, ToDoubleFunction<UpstreamState> load) {
    return (ready, now) -> {
      UpstreamState best = null;
      double leastLoad = Double.POSITIVE_INFINITY;
      int start = random.nextInt(ready.size());
      for (int i = 0; i < ready.size(); i++) {
        UpstreamState candidate = ready.get((start + i) % ready.size());
        double candidateLoad = load.applyAsDouble(candidate);
        if (best == null || candidateLoad < leastLoad) {
          best = candidate;
          leastLoad = candidateLoad;
        }
      }
      return best;
    };
  }

  /** Selects the better of two random upstreams (Mitzenmacher 2001) by peak EWMA, as Finagle does. */
  static SelectionStrategy twoChoicesByPeakEwma(SplittableRandom random) {
    return (ready, now) -> {
      UpstreamState first = ready.get(random.nextInt(ready.size()));
      UpstreamState second = ready.get(random.nextInt(ready.size()));
      return first.cost(now) <= second.cost(now) ? first : second;
    };
  }
}
