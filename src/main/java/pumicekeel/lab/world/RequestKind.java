package pumicekeel.lab.world;

import java.util.List;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.RequestClass;

/**
 * A request class with its share of the traffic and its costs.
 *
 * @param share of all requests, from 0 to 1
 * @param workNanos mean work, as time on a core of the reference speed
 * @param waitNanos mean time that a request waits for other systems while it holds its slot
 */
public record RequestKind(RequestClass requestClass, double share, long workNanos, long waitNanos) {

  private static final long MS = 1_000_000L;

  /** The operators' four classes. Shares and costs are the middles of the ranges in their requirements. */
  public static final List<RequestKind> STANDARD_MIX = List.of(
      kind("rate-lookup", Effect.SAFE, 0, 400, 2_000, 3, 0.29, 21, 52),
      kind("draft-save", Effect.SAFE, 0, 750, 4_000, 2, 0.25, 29, 107),
      kind("quote-issue", Effect.KEYED, 2_000, 750, 3_000, 3, 0.24, 61, 145),
      kind("contract-pack", Effect.KEYED, 4_000, 2_000, 6_000, 2, 0.22, 140, 170));

  private static RequestKind kind(
      String name,
      Effect effect,
      long dedupWindowMs,
      long aimMs,
      long deadlineMs,
      double worth,
      double share,
      long workMs,
      long waitMs) {
    return new RequestKind(
        new RequestClass(
            name,
            effect,
            DedupScope.CELL,
            dedupWindowMs * MS,
            aimMs * MS,
            0,
            deadlineMs * MS,
            worth,
            0,
            false),
        share,
        workMs * MS,
        waitMs * MS);
  }

  /** Returns the mean work of a request in nanoseconds. */
  public static double meanWork(List<RequestKind> kinds) {
    return kinds.stream().mapToDouble(kind -> kind.share() * kind.workNanos()).sum();
  }
}
