package pumicekeel.discovery;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pumicekeel.Balancer.State;
import pumicekeel.runtime.Reactor;

/**
 * One list of upstreams and all who follow it: one watch serves every pool, and a pool that comes later begins with the
 * whole list as it stands. Only on the loop.
 */
public final class UpstreamSource {

  /** One who is told of the list. */
  public interface Follower {
    void news(HostList list);

    void failed();
  }

  private final Set<Follower> followers = new LinkedHashSet<>();
  private final Map<Long, HostList.Host> hosts = new LinkedHashMap<>();
  private Discovery discovery;
  private long index;
  /** Whether a discovery has told of the list since the start, or the list is fixed. */
  private boolean told;

  private UpstreamSource() {}

  /** A list that is followed at an address, beginning with what was last known of it. */
  public static UpstreamSource watched(
      Reactor on, InetSocketAddress address, HostList known, WatchTerms terms) {
    UpstreamSource source = new UpstreamSource();
    source.merge(known);
    source.discovery = new Discovery(
        on,
        address,
        known.hosts().isEmpty() ? Discovery.NO_INDEX : known.index(),
        terms,
        source::news,
        source::failed);
    return source;
  }

  /** A list that only a reload changes. */
  public static UpstreamSource fixed(List<HostList.Host> hosts) {
    UpstreamSource source = new UpstreamSource();
    source.told = true;
    source.merge(new HostList(0, true, hosts));
    return source;
  }

  public boolean fixed() {
    return discovery == null;
  }

  /** Follows the list from now on; the list as it stands. */
  public HostList follow(Follower follower) {
    followers.add(follower);
    if (discovery != null) {
      discovery.start();
    }
    return whole();
  }

  /** Follows no more; with the last follower the watch ends. */
  public void unfollow(Follower follower) {
    followers.remove(follower);
    if (followers.isEmpty() && discovery != null) {
      discovery.watch(false);
      // What is told while nobody listens is missed, so the next follower has to ask for all.
      told = false;
    }
  }

  /** A follower wants news: one that asks while the watch is on, or of a fixed list, gets the whole list at once. */
  public void watch(Follower follower, boolean on) {
    if (!on) {
      return;
    }
    if (told) {
      follower.news(whole());
    }
    if (discovery != null) {
      discovery.watch(true);
    }
  }

  /** The same list from elsewhere; followers are told of no change, so that their back-off begins anew. */
  public void moveTo(InetSocketAddress address) {
    if (discovery.moveTo(address)) {
      List.copyOf(followers).forEach(f -> f.news(HostList.unchanged(index)));
    }
  }

  /** Other settings; with nobody who follows it, the watch waits for one. */
  public void retune(WatchTerms terms) {
    if (discovery != null) {
      discovery.retune(terms, !followers.isEmpty());
    }
  }

  /** Another fixed list. */
  public void replace(List<HostList.Host> next) {
    news(new HostList(index + 1, true, next));
  }

  private HostList whole() {
    return new HostList(index, true, List.copyOf(hosts.values()));
  }

  private void news(HostList list) {
    told = true;
    merge(list);
    List.copyOf(followers).forEach(f -> f.news(list));
  }

  private void failed() {
    told = false;
    List.copyOf(followers).forEach(Follower::failed);
  }

  private void merge(HostList list) {
    index = list.index();
    if (list.whole()) {
      hosts.clear();
    }
    for (HostList.Host host : list.hosts()) {
      long id = host.listed().upstream();
      if (host.listed().state() == State.GONE) {
        hosts.remove(id);
      } else {
        hosts.put(id, host);
      }
    }
  }
}
