package pumicekeel.discovery;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.State;

/** The upstreams of one list as it stands, and what each update changes. No I/O. */
final class HostTable {

  /** Two readings of one start time may differ by the precision of the clocks. */
  private static final long SAME_START_TOLERANCE_NANOS = 1_000_000_000L;

  /**
   * What an update of the list changed.
   *
   * @param departed upstreams that departed, or were away, since the previous version. Those that the update lists as not serving count
   *     even if the previous version did not contain them: others may know them as serving
   * @param returned upstreams that serve again, or for the first time
   */
  record Changes(Set<Long> departed, Set<Long> returned) {
    Changes {
      departed = Set.copyOf(departed);
      returned = Set.copyOf(returned);
    }
  }

  private final Map<Long, HostList.Host> hosts = new LinkedHashMap<>();
  private long index;

  /** Returns the version of the list. */
  long index() {
    return index;
  }

  HostList.Host get(long id) {
    return hosts.get(id);
  }

  boolean contains(long id) {
    return hosts.containsKey(id);
  }

  int size() {
    return hosts.size();
  }

  /** Returns all upstreams, in the order in which they were first listed. */
  Collection<HostList.Host> all() {
    return hosts.values();
  }

  /** Replaces what is known of one upstream; the version stays. */
  void replace(HostList.Host host) {
    hosts.put(host.listed().upstream(), host);
  }

  /** Merges an update and returns what it changed. */
  Changes merge(HostList list) {
    Set<Long> departed = new LinkedHashSet<>();
    Set<Long> returned = new LinkedHashSet<>();
    Set<Long> absent =
        list.snapshot() ? new LinkedHashSet<>(hosts.keySet()) : new LinkedHashSet<>();
    for (HostList.Host host : list.hosts()) {
      long id = host.listed().upstream();
      HostList.Host before = hosts.get(id);
      boolean hasDeparted = hasDeparted(before, host.listed());
      if (hasDeparted) {
        departed.add(id);
      }
      if (isReady(host) && (!isReady(before) || hasDeparted)) {
        returned.add(id);
      }
      absent.remove(id);
      if (host.listed().state() == State.GONE) {
        hosts.remove(id);
      } else {
        hosts.put(id, host);
      }
    }
    for (long id : absent) {
      if (isReady(hosts.remove(id))) {
        departed.add(id);
      }
    }
    index = list.index();
    return new Changes(departed, returned);
  }

  private static boolean isReady(HostList.Host host) {
    return host != null && host.listed().state() == State.READY;
  }

  private static boolean hasDeparted(HostList.Host before, ListedUpstream now) {
    if (now.state() != State.READY) {
      return before == null || isReady(before);
    }
    return isReady(before)
        && now.startedNanos() > before.listed().startedNanos() + SAME_START_TOLERANCE_NANOS;
  }
}
