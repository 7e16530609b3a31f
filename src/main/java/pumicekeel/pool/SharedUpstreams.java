package pumicekeel.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.State;

/**
 * The upstreams of all pools by address. Lists may name one machine under several names and two machines under one;
 * connections and load arrive at the address, so it identifies the upstream. Each pool's module receives, with an upstream's
 * entry, the number of pools of this process that share it and its latest start in any pool's list, and uses its part of the
 * cold upstream's budget: all pools together send what one would.
 *
 * @param <A> the address
 */
public final class SharedUpstreams<A> {

  private static final class AddressEntry {
    /** The entries of the lists that name this address, by pool and then by the upstream's id in that list. */
    private final Map<Object, Map<Long, ListedUpstream>> listedByPool = new LinkedHashMap<>();

    private int sharers;
    private long started;

    private boolean recount() {
      int ready = (int) listedByPool.values().stream()
          .filter(l -> l.values().stream().anyMatch(x -> x.state() == State.READY))
          .count();
      long newest = listedByPool.values().stream()
          .flatMap(l -> l.values().stream())
          .mapToLong(ListedUpstream::startedNanos)
          .max()
          .orElse(0);
      boolean changed = ready != sharers || newest != started;
      sharers = ready;
      started = newest;
      return changed;
    }
  }

  private final Map<A, AddressEntry> entriesByAddress = new HashMap<>();
  /** The address of each pool's ids, by its latest update. */
  private final Map<Object, Map<Long, A>> addresses = new HashMap<>();

  /** Applies a pool's entry; returns the other pools whose modules must be notified of the address again. */
  public Set<Object> update(Object pool, A address, ListedUpstream listed) {
    Set<Object> others = new HashSet<>();
    Map<Long, A> known = addresses.computeIfAbsent(pool, k -> new HashMap<>());
    A before = known.get(listed.upstream());
    if (before != null && (!before.equals(address) || listed.state() == State.GONE)) {
      others.addAll(remove(pool, before, listed.upstream()));
    }
    if (listed.state() != State.GONE) {
      known.put(listed.upstream(), address);
      AddressEntry entry = entriesByAddress.computeIfAbsent(address, k -> new AddressEntry());
      entry.listedByPool.computeIfAbsent(pool, k -> new HashMap<>()).put(listed.upstream(), listed);
      if (entry.recount()) {
        others.addAll(entry.listedByPool.keySet());
      }
    }
    others.remove(pool);
    return others;
  }

  private Set<Object> remove(Object pool, A address, long id) {
    addresses.get(pool).remove(id);
    AddressEntry entry = entriesByAddress.get(address);
    Map<Long, ListedUpstream> listedById = entry.listedByPool.get(pool);
    listedById.remove(id);
    if (listedById.isEmpty()) {
      entry.listedByPool.remove(pool);
    }
    if (entry.listedByPool.isEmpty()) {
      entriesByAddress.remove(address);
      return Set.of();
    }
    return entry.recount() ? Set.copyOf(entry.listedByPool.keySet()) : Set.of();
  }

  /** Removes a pool; returns the addresses that other pools must be notified of again. */
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

  /** Returns a pool's entry with the sharing pools and the latest start, as its module sees it. */
  public ListedUpstream withSharing(Object pool, A address, ListedUpstream own) {
    AddressEntry entry = entriesByAddress.get(address);
    if (entry == null || own.state() == State.GONE) {
      return own;
    }
    return new ListedUpstream(
        own.upstream(),
        own.zone(),
        own.cell(),
        own.state(),
        Math.max(own.startedNanos(), entry.started),
        own.weight(),
        Math.max(1, entry.sharers));
  }

  /** Returns the entries of a pool at an address, to notify its module again. */
  public Set<ListedUpstream> linesOf(Object pool, A address) {
    AddressEntry entry = entriesByAddress.get(address);
    Set<ListedUpstream> out = new HashSet<>();
    if (entry != null) {
      entry.listedByPool.getOrDefault(pool, Map.of()).values().forEach(out::add);
    }
    return out;
  }

  /** Returns the number of known addresses. */
  public int size() {
    return entriesByAddress.size();
  }

  /** Returns the pools that list an address. */
  public Set<Object> poolsAt(A address) {
    AddressEntry entry = entriesByAddress.get(address);
    return entry == null ? Set.of() : Set.copyOf(entry.listedByPool.keySet());
  }
}
