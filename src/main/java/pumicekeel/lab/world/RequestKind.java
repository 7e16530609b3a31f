package pumicekeel.lab.world;

import java.util.List;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.RequestClass;

/** A class of requests with its part of the traffic and what it costs; the middles of the brief's table. */
public record RequestKind(RequestClass type, double part, long workNanos, long waitNanos) {

  private static final long MS = 1_000_000L;

  /** The operators' four classes. */
  public static final List<RequestKind> BRIEF = List.of(
      kind("rate-lookup", Effect.SAFE, 0, 400, 2_000, 3, 0.29, 21, 52),
      kind("draft-save", Effect.SAFE, 0, 750, 4_000, 2, 0.25, 29, 107),
      kind("quote-issue", Effect.KEYED, 2_000, 750, 3_000, 3, 0.24, 61, 145),
      kind("contract-pack", Effect.KEYED, 4_000, 2_000, 6_000, 2, 0.22, 140, 170));

  private static RequestKind kind(
      String name,
      Effect effect,
      long dedup,
      long aim,
      long deadline,
      double worth,
      double part,
      long work,
      long wait) {
    return new RequestKind(
        new RequestClass(
            name, effect, DedupScope.CELL, dedup * MS, aim * MS, 0, deadline * MS, worth, 0, false),
        part,
        work * MS,
        wait * MS);
  }

  /** Work of a request on average. */
  public static double meanWork(List<RequestKind> kinds) {
    return kinds.stream().mapToDouble(k -> k.part() * k.workNanos()).sum();
  }
}
