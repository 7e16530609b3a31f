package pumicekeel.subset;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

/**
 * What a way of choosing subsets does to a fleet, computed: every balancer sends the same and spreads it over its subset by shares.
 *
 * @param most the load of the busiest upstream, of the mean
 * @param least that of the idlest
 * @param deviation the coefficient of variation of the upstreams' loads
 * @param connections the most balancers that one upstream hears
 * @param movedByUpstream of all pairs of balancer and upstream, the part that is new once an upstream has gone and another has come
 * @param movedByBalancer the same once a balancer more is there
 */
public record SubsetFigures(
    double most,
    double least,
    double deviation,
    int connections,
    double movedByUpstream,
    double movedByBalancer) {

  /** Computes them. */
  public static SubsetFigures of(Subsets way, int balancers, int upstreams, int size) {
    List<Long> ids = LongStream.range(0, upstreams).boxed().toList();
    List<Map<Long, Double>> before = all(way, balancers, ids, size);
    Map<Long, Double> load = new HashMap<>();
    Map<Long, Integer> heard = new HashMap<>();
    before.forEach(own -> {
      double sum = own.values().stream().mapToDouble(Double::doubleValue).sum();
      own.forEach((id, part) -> {
        load.merge(id, part / sum, Double::sum);
        heard.merge(id, 1, Integer::sum);
      });
    });
    double mean = (double) balancers / upstreams;
    double[] loads =
        ids.stream().mapToDouble(id -> load.getOrDefault(id, 0.0) / mean).toArray();
    double square = 0;
    double most = 0;
    double least = Double.MAX_VALUE;
    for (double l : loads) {
      square += (l - 1) * (l - 1) / upstreams;
      most = Math.max(most, l);
      least = Math.min(least, l);
    }
    List<Long> replaced = new ArrayList<>(ids.subList(1, upstreams));
    replaced.add((long) upstreams);
    return new SubsetFigures(
        most,
        least,
        Math.sqrt(square),
        heard.values().stream().mapToInt(Integer::intValue).max().orElse(0),
        moved(before, all(way, balancers, replaced, size)),
        moved(before, all(way, balancers + 1, ids, size).subList(0, balancers)));
  }

  private static List<Map<Long, Double>> all(Subsets way, int balancers, List<Long> ids, int size) {
    List<Map<Long, Double>> out = new ArrayList<>();
    for (int m = 0; m < balancers; m++) {
      out.add(way.of(m, balancers, ids, size));
    }
    return out;
  }

  private static double moved(List<Map<Long, Double>> before, List<Map<Long, Double>> after) {
    long pairs = 0;
    long fresh = 0;
    for (int m = 0; m < before.size(); m++) {
      for (long id : after.get(m).keySet()) {
        pairs++;
        fresh += before.get(m).containsKey(id) ? 0 : 1;
      }
    }
    return (double) fresh / pairs;
  }
}
