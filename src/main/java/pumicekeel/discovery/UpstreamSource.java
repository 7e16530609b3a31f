package pumicekeel.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pumicekeel.Balancer.Listed;
import pumicekeel.Balancer.State;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;

/**
 * One list of upstreams and all who follow it: one watch serves every pool, and a pool that comes later begins with the
 * whole list as it stands. An upstream of which other balancers say that it left is told as draining until the list itself says
 * more. Only on the loop.
 */
public final class UpstreamSource {

  /** One who is told of the list. */
  public interface Observer {
    void listChanged(HostList list);
  }

  /** Two readings of one start may differ by what clocks are read with. */
  private static final long SAME_START_NANOS = 1_000_000_000L;

  private final Set<Observer> followers = new LinkedHashSet<>();
  private final Map<Long, HostList.Host> hosts = new LinkedHashMap<>();
  private final Clock clock;
  private final ListCurrency currency;
  private Discovery discovery;
  private DepartureExchange exchange;
  private long index;
  private long failureCount;
  /** Whether a discovery has told of the list since the start, or the list is fixed. */
  private boolean told;

  private UpstreamSource(Clock clock, ListCurrency currency) {
    this.clock = clock;
    this.currency = currency;
  }

  /**
   * A list that is followed at an address, beginning with what was last known of it.
   *
   * @param graceNanos the drain grace
   * @param seed spreads its calls among those of other balancers
   */
  public static UpstreamSource watched(
      Reactor on,
      InetSocketAddress address,
      HostList known,
      WatchTerms terms,
      long graceNanos,
      long seed) {
    ListCurrency currency =
        new ListCurrency(terms.pushed(), graceNanos, on.clock().now());
    UpstreamSource source = new UpstreamSource(on.clock(), currency);
    source.merge(known, new LinkedHashSet<>(), new LinkedHashSet<>());
    source.discovery = new Discovery(
        on,
        address,
        known.hosts().isEmpty() ? Discovery.NO_INDEX : known.index(),
        terms,
        currency,
        seed,
        source::news,
        source::failed);
    return source;
  }

  /** A list that only a reload changes. */
  public static UpstreamSource fixed(List<HostList.Host> hosts) {
    UpstreamSource source = new UpstreamSource(null, null);
    source.told = true;
    source.merge(new HostList(0, true, hosts), new LinkedHashSet<>(), new LinkedHashSet<>());
    return source;
  }

  public boolean fixed() {
    return discovery == null;
  }

  /** How current the list is; null for a fixed one, which always is. */
  public ListCurrency currency() {
    return currency;
  }

  /** Shares with other balancers who has left, from now on. */
  public void shareDepartures(DepartureExchange with) {
    exchange = with;
    with.start(index);
  }

  /** Follows the list from now on; the list as it stands. */
  public HostList addObserver(Observer follower) {
    followers.add(follower);
    if (discovery != null) {
      discovery.start();
    }
    return whole();
  }

  /** Follows no more; with the last follower the watch ends. */
  public void removeObserver(Observer follower) {
    followers.remove(follower);
    if (followers.isEmpty() && discovery != null) {
      discovery.watch(false);
      // What is told while nobody listens is missed, so the next follower has to ask for all.
      told = false;
    }
  }

  /** A follower wants news: one that asks while the watch is on, or of a fixed list, gets the whole list at once. */
  public void watch(Observer follower, boolean on) {
    if (!on) {
      return;
    }
    if (told) {
      follower.listChanged(whole());
    }
    if (discovery != null) {
      discovery.watch(true);
    }
  }

  /** The same list from elsewhere; whether the address is another. */
  public boolean moveTo(InetSocketAddress address) {
    return discovery.moveTo(address);
  }

  /** Other settings; with nobody who follows it, the watch waits for one. */
  public void reconfigure(WatchTerms terms, long graceNanos) {
    if (discovery != null) {
      currency.setGrace(graceNanos);
      discovery.reconfigure(terms, !followers.isEmpty());
    }
  }

  /** Another fixed list. */
  public void replace(List<HostList.Host> next) {
    news(new HostList(index + 1, true, next));
  }

  /** Other balancers have a newer word of who left: those of them that still serve by this list are told as draining. */
  public void markDeparted(Set<Long> left) {
    List<HostList.Host> leaving = left.stream()
        .map(hosts::get)
        .filter(host -> host != null && host.listed().state() == State.READY)
        .map(UpstreamSource::draining)
        .toList();
    if (!leaving.isEmpty()) {
      Log.line("discovery: list " + index + ", left by other balancers' word: "
          + String.join(" ", leaving.stream().map(HostList.Host::name).toList()));
      tell(new HostList(index, false, leaving));
    }
  }

  /** These serve again by other balancers' word, cold: as if they had started when that was told first. */
  public void markReturned(List<DepartureExchange.ReturnedUpstream> back) {
    List<HostList.Host> serving = new ArrayList<>();
    for (DepartureExchange.ReturnedUpstream one : back) {
      HostList.Host host = hosts.get(one.id());
      if (host != null && host.listed().state() == State.READY) {
        HostList.Host cold = startedAt(host, one.startedNanos());
        hosts.put(one.id(), cold);
        serving.add(cold);
      }
    }
    if (!serving.isEmpty()) {
      Log.line("discovery: list " + index + ", back by other balancers' word: "
          + String.join(" ", serving.stream().map(HostList.Host::name).toList()));
      tell(new HostList(index, false, serving));
    }
  }

  private static HostList.Host startedAt(HostList.Host host, long startedNanos) {
    Listed l = host.listed();
    return host.withListed(
        new Listed(l.upstream(), l.zone(), l.cell(), l.state(), startedNanos, l.weight()));
  }

  private void failed() {
    told = false;
    failureCount++;
  }

  /** Calls to discovery that failed so far. */
  public long failureCount() {
    return failureCount;
  }

  private HostList whole() {
    return new HostList(index, true, hosts.values().stream().map(this::seen).toList());
  }

  private void news(HostList list) {
    told = true;
    Set<Long> left = new LinkedHashSet<>();
    Set<Long> back = new LinkedHashSet<>();
    merge(list, left, back);
    if (exchange == null) {
      tell(list);
      return;
    }
    Set<Long> served = exchange.listUpdated(list.index(), left, back, clock.now());
    List<HostList.Host> seen =
        new ArrayList<>(list.hosts().stream().map(this::seen).toList());
    if (!list.snapshot()) {
      // The list has come to where others' word was, and says nothing of these: they have not left.
      served.stream()
          .map(hosts::get)
          .filter(host -> host != null && !list.hosts().contains(host))
          .forEach(seen::add);
    }
    tell(new HostList(list.index(), list.snapshot(), seen));
  }

  private void tell(HostList list) {
    List.copyOf(followers).forEach(f -> f.listChanged(list));
  }

  /** As followers are to see it. */
  private HostList.Host seen(HostList.Host host) {
    boolean left = exchange != null && exchange.hasDeparted(host.listed().upstream());
    return left && host.listed().state() == State.READY ? draining(host) : host;
  }

  private static HostList.Host draining(HostList.Host host) {
    Listed l = host.listed();
    return host.withListed(
        new Listed(l.upstream(), l.zone(), l.cell(), State.DRAINING, l.startedNanos(), l.weight()));
  }

  /** Takes a list in; adds those that have left, or have been away, since the one before, and those that serve since. */
  private void merge(HostList list, Set<Long> left, Set<Long> back) {
    Set<Long> absent =
        list.snapshot() ? new LinkedHashSet<>(hosts.keySet()) : new LinkedHashSet<>();
    for (HostList.Host host : list.hosts()) {
      long id = host.listed().upstream();
      HostList.Host before = hosts.get(id);
      boolean ready = host.listed().state() == State.READY;
      boolean hasLeft = before != null && hasLeft(before.listed(), host.listed());
      if (hasLeft) {
        left.add(id);
      }
      if (ready && (before == null || hasLeft || before.listed().state() != State.READY)) {
        back.add(id);
      }
      absent.remove(id);
      if (host.listed().state() == State.GONE) {
        hosts.remove(id);
      } else {
        hosts.put(id, host);
      }
    }
    for (long id : absent) {
      if (hosts.remove(id).listed().state() == State.READY) {
        left.add(id);
      }
    }
    index = list.index();
  }

  private static boolean hasLeft(Listed before, Listed now) {
    return before.state() == State.READY
        && (now.state() != State.READY
            || now.startedNanos() > before.startedNanos() + SAME_START_NANOS);
  }
}
