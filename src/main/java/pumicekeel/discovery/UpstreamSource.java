package pumicekeel.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.State;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;

/**
 * One list of upstreams and its observers: a single watch serves every pool, and a pool that is added later starts with the full list as
 * it stands. An upstream that departed according to other balancers is presented as draining until a later version of the list covers it.
 * Event loop only.
 */
public final class UpstreamSource {

  /** Receives updates of the list. */
  public interface Observer {
    /** Called with a full list or with changes to the last one. */
    void listChanged(HostList list);
  }

  private final Set<Observer> observers = new LinkedHashSet<>();
  private final HostTable hosts = new HostTable();
  private final Clock clock;
  private final ListCurrency currency;
  private Discovery discovery;
  private DepartureExchange exchange;
  private long failureCount;
  /** Whether discovery has delivered the list since the start, or the list is fixed. */
  private boolean listReceived;

  private UpstreamSource(Clock clock, ListCurrency currency) {
    this.clock = clock;
    this.currency = currency;
  }

  /**
   * Creates a list that is watched at an address, starting with its last known content.
   *
   * @param graceNanos the drain grace
   * @param seed spreads its calls among those of other balancers
   */
  public static UpstreamSource watched(
      Reactor reactor,
      InetSocketAddress address,
      HostList known,
      WatchTerms terms,
      long graceNanos,
      long seed) {
    ListCurrency currency =
        new ListCurrency(terms.pushed(), graceNanos, reactor.clock().now());
    UpstreamSource source = new UpstreamSource(reactor.clock(), currency);
    source.hosts.merge(known);
    source.discovery = new Discovery(
        reactor,
        address,
        known.hosts().isEmpty() ? Discovery.NO_INDEX : known.index(),
        terms,
        currency,
        seed,
        source::applyList,
        source::callFailed);
    return source;
  }

  /** Creates a list that only a reload changes. */
  public static UpstreamSource fixed(List<HostList.Host> hosts) {
    UpstreamSource source = new UpstreamSource(null, null);
    source.listReceived = true;
    source.hosts.merge(new HostList(0, true, hosts));
    return source;
  }

  /** Returns whether the list comes from the operator file, so that nothing is watched. */
  public boolean fixed() {
    return discovery == null;
  }

  /** Returns how current the list is; null for a fixed list, which always is. */
  public ListCurrency currency() {
    return currency;
  }

  /** Shares departures with other balancers from now on. */
  public void shareDepartures(DepartureExchange departures) {
    exchange = departures;
    departures.start(hosts.index());
  }

  /** Adds an observer and returns the full list as it stands. */
  public HostList addObserver(Observer observer) {
    observers.add(observer);
    if (discovery != null) {
      discovery.start();
    }
    return snapshot();
  }

  /** Removes an observer; with the last one the watch ends. */
  public void removeObserver(Observer observer) {
    observers.remove(observer);
    if (observers.isEmpty() && discovery != null) {
      discovery.watch(false);
      // Updates are missed while there are no observers, so the next one has to request the full
      // list.
      listReceived = false;
    }
  }

  /** Turns the watch on for an observer, if {@code on}; a list that has been received already, or is fixed, is passed to it at once. */
  public void watch(Observer observer, boolean on) {
    if (!on) {
      return;
    }
    if (listReceived) {
      observer.listChanged(snapshot());
    }
    if (discovery != null) {
      discovery.watch(true);
    }
  }

  /** Watches the same list at another address; returns whether the address is a different one. */
  public boolean moveTo(InetSocketAddress address) {
    return discovery.moveTo(address);
  }

  /** Applies other settings; without observers, the watch waits for one. */
  public void reconfigure(WatchTerms terms, long graceNanos) {
    if (discovery != null) {
      currency.setGrace(graceNanos);
      discovery.reconfigure(terms, !observers.isEmpty());
    }
  }

  /** Replaces a fixed list. */
  public void replace(List<HostList.Host> next) {
    applyList(new HostList(hosts.index() + 1, true, next));
  }

  /** Marks upstreams that departed according to other balancers: those that still serve by this list are presented as draining. */
  public void markDeparted(Set<Long> departed) {
    List<HostList.Host> leaving = departed.stream()
        .map(hosts::get)
        .filter(host -> host != null && host.listed().state() == State.READY)
        .map(UpstreamSource::draining)
        .toList();
    if (!leaving.isEmpty()) {
      Log.line("discovery: list " + hosts.index() + ", departed according to other balancers: "
          + String.join(" ", leaving.stream().map(HostList.Host::name).toList()));
      notifyObservers(new HostList(hosts.index(), false, leaving));
    }
  }

  /**
   * Marks upstreams that serve again according to other balancers, as cold: as if they had started when the return was first reported.
   */
  public void markReturned(List<DepartureExchange.ReturnedUpstream> returned) {
    List<HostList.Host> serving = new ArrayList<>();
    for (DepartureExchange.ReturnedUpstream upstream : returned) {
      HostList.Host host = hosts.get(upstream.id());
      if (host != null && host.listed().state() == State.READY) {
        HostList.Host cold = withStartTime(host, upstream.startedNanos());
        hosts.replace(cold);
        serving.add(cold);
      }
    }
    if (!serving.isEmpty()) {
      Log.line("discovery: list " + hosts.index() + ", returned according to other balancers: "
          + String.join(" ", serving.stream().map(HostList.Host::name).toList()));
      notifyObservers(new HostList(hosts.index(), false, serving));
    }
  }

  private static HostList.Host withStartTime(HostList.Host host, long startedNanos) {
    ListedUpstream l = host.listed();
    return host.withListed(
        new ListedUpstream(l.upstream(), l.zone(), l.cell(), l.state(), startedNanos, l.weight()));
  }

  private void callFailed() {
    listReceived = false;
    failureCount++;
  }

  /** Returns the number of calls to discovery that failed so far. */
  public long failureCount() {
    return failureCount;
  }

  private HostList snapshot() {
    return new HostList(
        hosts.index(), true, hosts.all().stream().map(this::applyPeerDepartures).toList());
  }

  private void applyList(HostList list) {
    if (!list.snapshot()) {
      checkSizeWith(list);
    }
    listReceived = true;
    HostTable.Changes changes = hosts.merge(list);
    if (exchange == null) {
      notifyObservers(list);
      return;
    }
    Set<Long> cleared = exchange.listUpdated(list.index(), list.snapshot(), changes, clock.now());
    List<HostList.Host> visible =
        new ArrayList<>(list.hosts().stream().map(this::applyPeerDepartures).toList());
    if (!list.snapshot()) {
      // The list has caught up with the other balancers' reports and does not name these upstreams:
      // they have not departed.
      cleared.stream()
          .map(hosts::get)
          .filter(host -> host != null && !list.hosts().contains(host))
          .forEach(visible::add);
    }
    notifyObservers(new HostList(list.index(), list.snapshot(), visible));
  }

  /** Throws IllegalArgumentException if these changes, of which each alone is small, make the list too large. */
  private void checkSizeWith(HostList changes) {
    long added = changes.hosts().stream()
        .filter(host -> host.listed().state() != State.GONE)
        .filter(host -> !hosts.contains(host.listed().upstream()))
        .count();
    HostList.checkSize((int) (hosts.size() + added));
  }

  private void notifyObservers(HostList list) {
    List.copyOf(observers).forEach(observer -> observer.listChanged(list));
  }

  /** Returns the host as observers are to see it. */
  private HostList.Host applyPeerDepartures(HostList.Host host) {
    boolean departed = exchange != null && exchange.hasDeparted(host.listed().upstream());
    return departed && host.listed().state() == State.READY ? draining(host) : host;
  }

  private static HostList.Host draining(HostList.Host host) {
    ListedUpstream l = host.listed();
    return host.withListed(new ListedUpstream(
        l.upstream(), l.zone(), l.cell(), State.DRAINING, l.startedNanos(), l.weight()));
  }
}
