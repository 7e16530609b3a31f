package pumicekeel.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import pumicekeel.AdaptiveBalancer;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.Payload;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.core.BalancerCore;
import pumicekeel.discovery.HostList;
import pumicekeel.discovery.UpstreamSource;
import pumicekeel.pool.CapacityPlan;
import pumicekeel.pool.FairQueue;
import pumicekeel.pool.ResidenceTime;
import pumicekeel.pool.SharedCapacity;
import pumicekeel.pool.SharedUpstreams;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.UpstreamLinks;
import pumicekeel.upstream.UpstreamSockets;
import pumicekeel.upstream.http.ConnectionPool;
import pumicekeel.upstream.jsonrpc.RpcLinks;

/**
 * A running pool of an operator file: its own module instance, upstream list, connections and part of the capacity. Its
 * name, its source and its selection identify the upstreams that remember its keyed requests.
 */
final class ServicePool implements UpstreamSource.Observer {

  /** Limit of the queue; each queued request is an open one, so the limit on open requests is the effective bound. */
  private static final int MAX_QUEUED = 1 << 16;

  /** The objects shared by all pools of a process. */
  record Shared(
      Reactor reactor,
      LoopLag lag,
      UpstreamSockets sockets,
      SharedCapacity open,
      SharedCapacity body,
      FairQueue fairQueue,
      SharedUpstreams<InetSocketAddress> upstreams,
      Consumer<RuntimeException> defect) {}

  private OperatorConfiguration.Pool spec;
  /** Built once, since it is compared for each repeat of a key. A change of one of its parts creates a new pool. */
  private final String home;

  private final Shared shared;
  private final UpstreamSource source;
  private final UpstreamLinks connections;
  private final BalancerCore core;
  private final ResidenceTime residenceTime = new ResidenceTime();
  final SharedCapacity.Owner open;
  final SharedCapacity.Owner body;
  final FairQueue.PoolQueue queue;
  /** The upstreams that this pool selects from the list, as the list has them. */
  private final Map<Long, HostList.Host> hosts = new LinkedHashMap<>();
  /** Receives the other pools whose modules have to be notified again, each with the addresses of the changed upstreams. */
  private final Consumer<Map<ServicePool, Set<InetSocketAddress>>> onSharedChange;

  ServicePool(
      OperatorConfiguration.Pool spec,
      Settings settings,
      long seed,
      Shared shared,
      UpstreamSource source,
      Consumer<Map<ServicePool, Set<InetSocketAddress>>> onSharedChange) {
    this.spec = spec;
    home = spec.name() + '|' + spec.source() + '|' + spec.select();
    this.shared = shared;
    this.source = source;
    this.onSharedChange = onSharedChange;
    open = shared.open().add(0, 0);
    body = shared.body().add(0, 0);
    queue = shared.fairQueue().queue(MAX_QUEUED);
    connections = links(spec, settings, shared);
    core = new BalancerCore(
        settings,
        new AdaptiveBalancer(settings, seed),
        shared.reactor(),
        shared.lag(),
        connections,
        shared.defect());
    core.setListCurrency(source.currency());
  }

  private static UpstreamLinks links(
      OperatorConfiguration.Pool spec, Settings settings, Shared shared) {
    var limits = settings.limits();
    return spec.rpc() == null
        ? new ConnectionPool(
            shared.reactor(),
            limits.connectTimeoutNanos(),
            limits.connectionIdleNanos(),
            shared.sockets(),
            0,
            0)
        : new RpcLinks(
            shared.reactor(),
            limits.connectTimeoutNanos(),
            limits.connectionIdleNanos(),
            shared.sockets(),
            spec.rpc());
  }

  /** Returns why a request can't be sent in the protocol of this pool's upstreams; null if it can. */
  String objection(ClientRequest request) {
    if (connections instanceof RpcLinks rpc) {
      return rpc.unsupportedReason(request);
    }
    return request.payload() instanceof Payload.Call call
            && !call.fitsHttp(request.type().effect())
        ? "params of more than a request line holds"
        : null;
  }

  String name() {
    return spec.name();
  }

  OperatorConfiguration.Pool spec() {
    return spec;
  }

  /** Replaces the part of the specification that does not need a new module. */
  void spec(OperatorConfiguration.Pool next) {
    spec = next;
  }

  Settings settings() {
    return core.settings();
  }

  /** Applies changed settings. */
  void applySettings(Settings next) {
    connections.setTimeouts(
        next.limits().connectTimeoutNanos(), next.limits().connectionIdleNanos());
    core.applySettings(next);
  }

  /** Sets the exchange that lends and borrows tenants' quotas; null for even shares. */
  void setQuotas(LentQuotas quotas) {
    core.setQuotaSource(quotas == null ? null : quotas.of(name()));
  }

  BalancerCore core() {
    return core;
  }

  ResidenceTime residenceTime() {
    return residenceTime;
  }

  /** Returns the identity of this pool's upstreams: pools with the same home share the upstreams' memory of keyed requests. */
  String home() {
    return home;
  }

  /** Returns the class of the same name if it has the same effect; else null. */
  RequestClass equivalentClass(RequestClass other) {
    return settings().classes().stream()
        .filter(c -> c.name().equals(other.name()) && c.effect() == other.effect())
        .findFirst()
        .orElse(null);
  }

  /** Sets new limits; all else stays as the pool was created. */
  void resize(
      CapacityPlan.Allocation openPart,
      CapacityPlan.Allocation socketPart,
      CapacityPlan.Allocation bodyPart,
      int perUpstream) {
    open.resize(openPart.guaranteed(), openPart.max());
    body.resize(bodyPart.guaranteed(), bodyPart.max());
    connections.resize(socketPart.guaranteed(), socketPart.max(), perUpstream);
  }

  /** Gives up the guarantees; capacity in use is kept until its requests have ended. */
  void retire(CapacityPlan.Allocation sockets) {
    open.resize(0, Long.MAX_VALUE);
    body.resize(0, Long.MAX_VALUE);
    connections.resize(0, sockets.max(), spec.connectionsPerUpstream());
  }

  boolean finished() {
    return core.isEmpty() && open.used() == 0;
  }

  // Upstream list

  void start() {
    HostList initial = select(source.addObserver(this));
    core.start(initial, active -> source.watch(this, active));
  }

  @Override
  public void listChanged(HostList list) {
    core.updateList(select(list));
  }

  /** Closes a pool that has no open requests. */
  void close() {
    source.removeObserver(this);
    connections.close();
    open.close();
    body.close();
    Map<ServicePool, Set<InetSocketAddress>> affected = new LinkedHashMap<>();
    for (InetSocketAddress address : shared.upstreams().removePool(this)) {
      addAffected(affected, address, shared.upstreams().poolsAt(address));
    }
    onSharedChange.accept(affected);
  }

  /** Returns the part of the list that this pool selects, as its module is to see it. */
  private HostList select(HostList list) {
    Map<ServicePool, Set<InetSocketAddress>> affected = new LinkedHashMap<>();
    List<HostList.Host> mine = new ArrayList<>();
    for (HostList.Host host : list.hosts()) {
      HostList.Host before = hosts.get(host.listed().upstream());
      if (spec.select().matches(host)) {
        mine.add(host);
      } else if (before != null && !list.snapshot()) {
        mine.add(departed(before));
      }
    }
    if (list.snapshot()) {
      List<Long> listed = mine.stream().map(h -> h.listed().upstream()).toList();
      Set<Long> absent = new LinkedHashSet<>(hosts.keySet());
      absent.removeAll(Set.copyOf(listed));
      absent.forEach(id -> update(departed(hosts.get(id)), affected));
    }
    mine.forEach(h -> update(h, affected));
    HostList selected = new HostList(
        list.index(), list.snapshot(), mine.stream().map(this::viewOf).toList());
    onSharedChange.accept(affected);
    return selected;
  }

  private static HostList.Host departed(HostList.Host host) {
    ListedUpstream l = host.listed();
    return host.withListed(new ListedUpstream(
        l.upstream(), l.zone(), l.cell(), State.GONE, l.startedNanos(), l.weight()));
  }

  private void update(HostList.Host host, Map<ServicePool, Set<InetSocketAddress>> affected) {
    if (host.listed().state() == State.GONE) {
      hosts.remove(host.listed().upstream());
    } else {
      hosts.put(host.listed().upstream(), host);
    }
    addAffected(
        affected, host.address(), shared.upstreams().update(this, host.address(), host.listed()));
  }

  private void addAffected(
      Map<ServicePool, Set<InetSocketAddress>> affected,
      InetSocketAddress address,
      Set<Object> pools) {
    for (Object pool : pools) {
      affected.computeIfAbsent((ServicePool) pool, k -> new LinkedHashSet<>()).add(address);
    }
  }

  private HostList.Host viewOf(HostList.Host host) {
    return host.withListed(shared.upstreams().withSharing(this, host.address(), host.listed()));
  }

  /** Passes the upstreams at these addresses to the module again, after an update by which another pool changed what they share. */
  void reannounce(Set<InetSocketAddress> addresses) {
    List<HostList.Host> again = hosts.values().stream()
        .filter(h -> addresses.contains(h.address()))
        .map(this::viewOf)
        .toList();
    if (!again.isEmpty()) {
      core.updateList(new HostList(0, false, again));
    }
  }
}
