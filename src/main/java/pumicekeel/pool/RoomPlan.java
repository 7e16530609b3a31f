package pumicekeel.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Guarantees and mosts of all pools for one kind of room. A pool that states no guarantee gets an even part of half of
 * what the stated ones leave: the other half is there to be borrowed by whoever needs it.
 */
public final class RoomPlan {

  /** What one pool asks for; null where it asks for nothing. */
  public record Ask(String pool, Long guaranteed, Long most) {}

  /** What one pool gets. */
  public record Part(long guaranteed, long most) {}

  private RoomPlan() {}

  /** The parts, in the order of the asks; an IllegalArgumentException where the guarantees don't fit. */
  public static List<Part> of(String what, long total, List<Ask> asks) {
    long stated = asks.stream()
        .mapToLong(a -> a.guaranteed() == null ? 0 : a.guaranteed())
        .sum();
    long silent = asks.stream().filter(a -> a.guaranteed() == null).count();
    if (stated > total) {
      throw new IllegalArgumentException(
          what + ": the pools are guaranteed " + stated + ", there are " + total);
    }
    long even = silent == 0 ? 0 : (total - stated) / (2 * silent);
    List<Part> parts = new ArrayList<>();
    for (Ask ask : asks) {
      long most = ask.most() == null ? total : Math.min(total, ask.most());
      long guaranteed = ask.guaranteed() == null ? Math.min(even, most) : ask.guaranteed();
      parts.add(new Part(guaranteed, Math.max(most, guaranteed)));
    }
    return parts;
  }
}
