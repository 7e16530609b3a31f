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
import pumicekeel.Balancer.Listed;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.Payload;
import pumicekeel.config.Operator;
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
 * One pool of an operator file at work: a module instance of its own with its list, its connections and its part of the
 * room. Its name, its source and what it selects there say whose memory of keyed requests its upstreams are.
 */
final class ServicePool implements UpstreamSource.Follower {

  /** Requests that wait for their turn, each an open one of some connection: the room for those is the bound. */
  private static final int MOST_WAITING = 1 << 16;

  /** What all pools of a process share. */
  record Shared(
      Reactor on,
      LoopLag lag,
      UpstreamSockets sockets,
      SharedCapacity open,
      SharedCapacity body,
      FairQueue fairQueue,
      SharedUpstreams<InetSocketAddress> upstreams,
      Consumer<RuntimeException> defect) {}

  private Operator.Pool spec;
  /** Made once: a keyed repeat compares it with that of each pool. What it is made of needs a new pool to change. */
  private final String home;

  private final Shared shared;
  private final UpstreamSource source;
  private final UpstreamLinks connections;
  private final BalancerCore core;
  private final ResidenceTime residenceTime = new ResidenceTime();
  final SharedCapacity.Owner open;
  final SharedCapacity.Owner body;
  final FairQueue.PoolQueue turn;
  /** The upstreams of the list that are this pool's, as the list names them. */
  private final Map<Long, HostList.Host> hosts = new LinkedHashMap<>();
  /** Told whose lines changed for other pools. */
  private final Consumer<Map<ServicePool, Set<InetSocketAddress>>> changed;

  ServicePool(
      Operator.Pool spec,
      Settings settings,
      long seed,
      Shared shared,
      UpstreamSource source,
      Consumer<Map<ServicePool, Set<InetSocketAddress>>> changed) {
    this.spec = spec;
    home = spec.name() + '|' + spec.source() + '|' + spec.select();
    this.shared = shared;
    this.source = source;
    this.changed = changed;
    open = shared.open().add(0, 0);
    body = shared.body().add(0, 0);
    turn = shared.fairQueue().queue(MOST_WAITING);
    connections = links(spec, settings, shared);
    core = new BalancerCore(
        settings,
        new AdaptiveBalancer(settings, seed),
        shared.on(),
        shared.lag(),
        connections,
        shared.defect());
    core.currency(source.currency());
  }

  private static UpstreamLinks links(Operator.Pool spec, Settings settings, Shared shared) {
    var limits = settings.limits();
    return spec.rpc() == null
        ? new ConnectionPool(
            shared.on(),
            limits.connectTimeoutNanos(),
            limits.connectionIdleNanos(),
            shared.sockets(),
            0,
            0)
        : new RpcLinks(
            shared.on(),
            limits.connectTimeoutNanos(),
            limits.connectionIdleNanos(),
            shared.sockets(),
            spec.rpc());
  }

  /** Why a request can't be put into the protocol of this pool's upstreams; null where it can. */
  String objection(ClientRequest request) {
    if (connections instanceof RpcLinks rpc) {
      return rpc.objection(request);
    }
    return request.payload() instanceof Payload.Call call
            && !call.fitsHttp(request.type().effect())
        ? "params of more than a request line holds"
        : null;
  }

  String name() {
    return spec.name();
  }

  Operator.Pool spec() {
    return spec;
  }

  /** What a generation says of it that needs no new module. */
  void spec(Operator.Pool next) {
    spec = next;
  }

  Settings settings() {
    return core.settings();
  }

  /** Takes over what the platform's settings have otherwise from now on. */
  void retune(Settings next) {
    connections.tune(next.limits().connectTimeoutNanos(), next.limits().connectionIdleNanos());
    core.retune(next);
  }

  /** Has its tenants' quotas lent and borrowed; null for even parts. */
  void lend(LentQuotas quotas) {
    core.quotas(quotas == null ? null : quotas.of(name()));
  }

  BalancerCore core() {
    return core;
  }

  ResidenceTime residenceTime() {
    return residenceTime;
  }

  /** Two pools with the same home have the same upstreams: one's memory of a keyed request is the other's. */
  String home() {
    return home;
  }

  /** The class of the same name, if it may run again as the other may; else null. */
  RequestClass classLike(RequestClass other) {
    return settings().classes().stream()
        .filter(c -> c.name().equals(other.name()) && c.effect() == other.effect())
        .findFirst()
        .orElse(null);
  }

  /** New figures; what they don't name stays as the pool was made. */
  void resize(
      CapacityPlan.Allocation openPart,
      CapacityPlan.Allocation socketPart,
      CapacityPlan.Allocation bodyPart,
      int perUpstream) {
    open.resize(openPart.guaranteed(), openPart.max());
    body.resize(bodyPart.guaranteed(), bodyPart.max());
    connections.resize(socketPart.guaranteed(), socketPart.max(), perUpstream);
  }

  /** Gives up its guarantees; what it has out it keeps until that has ended. */
  void retire(CapacityPlan.Allocation sockets) {
    open.resize(0, Long.MAX_VALUE);
    body.resize(0, Long.MAX_VALUE);
    connections.resize(0, sockets.max(), spec.connectionsPerUpstream());
  }

  boolean over() {
    return core.empty() && open.used() == 0;
  }

  // The list

  void start() {
    HostList known = take(source.follow(this));
    core.start(known, on -> source.watch(this, on));
  }

  @Override
  public void news(HostList list) {
    core.news(take(list));
  }

  /** Ends the pool: nothing is open any more. */
  void close() {
    source.unfollow(this);
    connections.close();
    open.close();
    body.close();
    Map<ServicePool, Set<InetSocketAddress>> others = new LinkedHashMap<>();
    for (InetSocketAddress address : shared.upstreams().removePool(this)) {
      note(others, address, shared.upstreams().poolsAt(address));
    }
    changed.accept(others);
  }

  /** What of the list is this pool's, as its module is to see it. */
  private HostList take(HostList list) {
    Map<ServicePool, Set<InetSocketAddress>> others = new LinkedHashMap<>();
    List<HostList.Host> mine = new ArrayList<>();
    for (HostList.Host host : list.hosts()) {
      HostList.Host before = hosts.get(host.listed().upstream());
      if (spec.select().takes(host)) {
        mine.add(host);
      } else if (before != null && !list.whole()) {
        mine.add(gone(before));
      }
    }
    if (list.whole()) {
      List<Long> named = mine.stream().map(h -> h.listed().upstream()).toList();
      Set<Long> absent = new LinkedHashSet<>(hosts.keySet());
      absent.removeAll(Set.copyOf(named));
      absent.forEach(id -> enter(gone(hosts.get(id)), others));
    }
    mine.forEach(h -> enter(h, others));
    HostList seen =
        new HostList(list.index(), list.whole(), mine.stream().map(this::seen).toList());
    changed.accept(others);
    return seen;
  }

  private static HostList.Host gone(HostList.Host host) {
    Listed l = host.listed();
    return host.as(
        new Listed(l.upstream(), l.zone(), l.cell(), State.GONE, l.startedNanos(), l.weight()));
  }

  private void enter(HostList.Host host, Map<ServicePool, Set<InetSocketAddress>> others) {
    if (host.listed().state() == State.GONE) {
      hosts.remove(host.listed().upstream());
    } else {
      hosts.put(host.listed().upstream(), host);
    }
    note(others, host.address(), shared.upstreams().update(this, host.address(), host.listed()));
  }

  private void note(
      Map<ServicePool, Set<InetSocketAddress>> others,
      InetSocketAddress address,
      Set<Object> pools) {
    for (Object pool : pools) {
      others.computeIfAbsent((ServicePool) pool, k -> new LinkedHashSet<>()).add(address);
    }
  }

  private HostList.Host seen(HostList.Host host) {
    return host.as(shared.upstreams().withSharing(this, host.address(), host.listed()));
  }

  /** Tells the module again of what listens at these addresses, after another pool's news of them. */
  void retell(Set<InetSocketAddress> addresses) {
    List<HostList.Host> again = hosts.values().stream()
        .filter(h -> addresses.contains(h.address()))
        .map(this::seen)
        .toList();
    if (!again.isEmpty()) {
      core.news(new HostList(0, false, again));
    }
  }
}
