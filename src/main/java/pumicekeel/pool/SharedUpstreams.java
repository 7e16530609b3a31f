package pumicekeel.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import pumicekeel.Balancer.Listed;
import pumicekeel.Balancer.State;

/**
 * The upstreams of all pools by where they listen. Lists may name one machine under several names and two machines
 * under one; the address is what connections and load arrive at, so it is what counts here. Each pool's module is told,
 * with an upstream's line, by how many pools of this process it is shared and when it last started as any pool's list
 * tells it, and takes its part of the cold upstream's budget: all of them together send it what one would.
 *
 * @param <A> the address
 */
public final class SharedUpstreams<A> {

  private static final class Place {
    /** By pool, then by the id under which that pool's list names it. */
    private final Map<Object, Map<Long, Listed>> lines = new LinkedHashMap<>();

    private int sharers;
    private long started;

    private boolean recount() {
      int ready = (int) lines.values().stream()
          .filter(l -> l.values().stream().anyMatch(x -> x.state() == State.READY))
          .count();
      long newest = lines.values().stream()
          .flatMap(l -> l.values().stream())
          .mapToLong(Listed::startedNanos)
          .max()
          .orElse(0);
      boolean changed = ready != sharers || newest != started;
      sharers = ready;
      started = newest;
      return changed;
    }
  }

  private final Map<A, Place> places = new HashMap<>();
  /** Where each pool's ids listen, by its last word. */
  private final Map<Object, Map<Long, A>> addresses = new HashMap<>();

  /** Takes in a pool's line; the pools (without this one) whose modules have to hear of the address again. */
  public Set<Object> update(Object pool, A address, Listed listed) {
    Set<Object> others = new HashSet<>();
    Map<Long, A> known = addresses.computeIfAbsent(pool, k -> new HashMap<>());
    A before = known.get(listed.upstream());
    if (before != null && (!before.equals(address) || listed.state() == State.GONE)) {
      others.addAll(remove(pool, before, listed.upstream()));
    }
    if (listed.state() != State.GONE) {
      known.put(listed.upstream(), address);
      Place place = places.computeIfAbsent(address, k -> new Place());
      place.lines.computeIfAbsent(pool, k -> new HashMap<>()).put(listed.upstream(), listed);
      if (place.recount()) {
        others.addAll(place.lines.keySet());
      }
    }
    others.remove(pool);
    return others;
  }

  private Set<Object> remove(Object pool, A address, long id) {
    addresses.get(pool).remove(id);
    Place place = places.get(address);
    Map<Long, Listed> lines = place.lines.get(pool);
    lines.remove(id);
    if (lines.isEmpty()) {
      place.lines.remove(pool);
    }
    if (place.lines.isEmpty()) {
      places.remove(address);
      return Set.of();
    }
    return place.recount() ? Set.copyOf(place.lines.keySet()) : Set.of();
  }

  /** Forgets a pool that is over; the addresses of which other pools have to hear again. */
  public Set<A> removePool(Object pool) {
    Set<A> changed = new HashSet<>();
    for (Map.Entry<Long, A> e :
        Map.copyOf(addresses.getOrDefault(pool, Map.of())).entrySet()) {
      if (!remove(pool, e.getValue(), e.getKey()).isEmpty()) {
        changed.add(e.getValue());
      }
    }
    addresses.remove(pool);
    return changed;
  }

  /** A pool's line as its module is to see it. */
  public Listed withSharing(Object pool, A address, Listed own) {
    Place place = places.get(address);
    if (place == null || own.state() == State.GONE) {
      return own;
    }
    return new Listed(
        own.upstream(),
        own.zone(),
        own.cell(),
        own.state(),
        Math.max(own.startedNanos(), place.started),
        own.weight(),
        Math.max(1, place.sharers));
  }

  /** The lines of a pool at an address, for telling them again. */
  public Set<Listed> linesOf(Object pool, A address) {
    Place place = places.get(address);
    Set<Listed> out = new HashSet<>();
    if (place != null) {
      place.lines.getOrDefault(pool, Map.of()).values().forEach(out::add);
    }
    return out;
  }

  /** Addresses known. */
  public int size() {
    return places.size();
  }

  /** The pools that name an address. */
  public Set<Object> poolsAt(A address) {
    Place place = places.get(address);
    return place == null ? Set.of() : Set.copyOf(place.lines.keySet());
  }
}
