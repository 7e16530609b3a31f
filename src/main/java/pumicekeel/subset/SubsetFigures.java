package pumicekeel.subset;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

/**
 * The computed effect of a subsetting method on a fleet whose balancers all send the same load and spread it over their subsets.
 *
 * @param maxLoad the load of the busiest upstream relative to the mean
 * @param minLoad the load of the idlest upstream relative to the mean
 * @param loadDeviation the coefficient of variation of the upstreams' loads
 * @param maxConnections the maximum number of balancers that send to one upstream
 * @param movedByUpstream fraction of balancer-upstream pairs that are new after one upstream is replaced
 * @param movedByBalancer fraction of pairs that are new after a balancer is added
 */
public record SubsetFigures(
    double maxLoad,
    double minLoad,
    double loadDeviation,
    int maxConnections,
    double movedByUpstream,
    double movedByBalancer) {

  /** Computes the figures. */
  public static SubsetFigures of(Subsets method, int balancers, int upstreams, int size) {
    List<Long> ids = LongStream.range(0, upstreams).boxed().toList();
    List<Map<Long, Double>> before = subsetsOf(method, balancers, ids, size);
    Map<Long, Double> load = new HashMap<>();
    Map<Long, Integer> connections = new HashMap<>();
    before.forEach(own -> {
      double sum = own.values().stream().mapToDouble(Double::doubleValue).sum();
      own.forEach((id, part) -> {
        load.merge(id, part / sum, Double::sum);
        connections.merge(id, 1, Integer::sum);
      });
    });
    double mean = (double) balancers / upstreams;
    double[] loads =
        ids.stream().mapToDouble(id -> load.getOrDefault(id, 0.0) / mean).toArray();
    double variance = 0;
    double maxLoad = 0;
    double minLoad = Double.MAX_VALUE;
    for (double l : loads) {
      variance += (l - 1) * (l - 1) / upstreams;
      maxLoad = Math.max(maxLoad, l);
      minLoad = Math.min(minLoad, l);
    }
    List<Long> replaced = new ArrayList<>(ids.subList(1, upstreams));
    replaced.add((long) upstreams);
    return new SubsetFigures(
        maxLoad,
        minLoad,
        Math.sqrt(variance),
        connections.values().stream().mapToInt(Integer::intValue).max().orElse(0),
        movedFraction(before, subsetsOf(method, balancers, replaced, size)),
        movedFraction(before, subsetsOf(method, balancers + 1, ids, size).subList(0, balancers)));
  }

  private static List<Map<Long, Double>> subsetsOf(
      Subsets method, int balancers, List<Long> ids, int size) {
    List<Map<Long, Double>> out = new ArrayList<>();
    for (int m = 0; m < balancers; m++) {
      out.add(method.of(m, balancers, ids, size));
    }
    return out;
  }

  private static double movedFraction(
      List<Map<Long, Double>> before, List<Map<Long, Double>> after) {
    long pairs = 0;
    long added = 0;
    for (int m = 0; m < before.size(); m++) {
      for (long id : after.get(m).keySet()) {
        pairs++;
        added += before.get(m).containsKey(id) ? 0 : 1;
      }
    }
    return (double) added / pairs;
  }
}
