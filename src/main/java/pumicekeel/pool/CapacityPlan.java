package pumicekeel.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Computes the guaranteed and the maximum capacity of each pool for one kind of resource. Pools without a configured
 * guarantee share half of the unreserved capacity evenly; the other half stays available for borrowing.
 */
public final class CapacityPlan {

  /** The configured limits of one pool; null where none is configured. */
  public record Demand(String pool, Long guaranteed, Long max) {}

  /** The limits assigned to one pool. */
  public record Allocation(long guaranteed, long max) {}

  private CapacityPlan() {}

  /** Returns one allocation per demand, in order; throws IllegalArgumentException if the guarantees exceed the total. */
  public static List<Allocation> of(String resource, long total, List<Demand> demands) {
    long configured = demands.stream()
        .mapToLong(d -> d.guaranteed() == null ? 0 : d.guaranteed())
        .sum();
    long unconfigured = demands.stream().filter(d -> d.guaranteed() == null).count();
    if (configured > total) {
      throw new IllegalArgumentException(
          resource + ": the pools are guaranteed " + configured + ", there are " + total);
    }
    long evenGuarantee = unconfigured == 0 ? 0 : (total - configured) / (2 * unconfigured);
    List<Allocation> allocations = new ArrayList<>();
    for (Demand demand : demands) {
      long max = demand.max() == null ? total : Math.min(total, demand.max());
      long guaranteed =
          demand.guaranteed() == null ? Math.min(evenGuarantee, max) : demand.guaranteed();
      allocations.add(new Allocation(guaranteed, Math.max(max, guaranteed)));
    }
    return allocations;
  }
}
