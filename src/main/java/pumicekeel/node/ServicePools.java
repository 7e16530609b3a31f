package pumicekeel.node;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.Tenant;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.ClientRequest.InvalidRequest;
import pumicekeel.call.RequestAttributes;
import pumicekeel.config.Configuration;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.core.RequestHandle;
import pumicekeel.core.RequestRouter;
import pumicekeel.discovery.HostList;
import pumicekeel.discovery.UpstreamSource;
import pumicekeel.discovery.WatchTerms;
import pumicekeel.front.jsonrpc.MethodMapping;
import pumicekeel.journal.KeyMemory;
import pumicekeel.pool.CapacityPlan;
import pumicekeel.pool.FairQueue;
import pumicekeel.pool.KeyAffinity;
import pumicekeel.pool.RequestCounters;
import pumicekeel.pool.SharedCapacity;
import pumicekeel.pool.SharedUpstreams;
import pumicekeel.route.Route;
import pumicekeel.route.RouteTable;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.UpstreamSockets;

/**
 * The pools of an operator file, one generation at a time. A reload swaps routes and pools atomically, between two events
 * of the loop. A request stays in the pool that admitted it, and a removed pool is closed after its last request.
 */
final class ServicePools implements NodePools, RequestRouter {

  /** Time slice for queued work; short compared with any aim, long compared with the cost of an event-loop iteration. */
  private static final long QUANTUM_NANOS = 1_000_000L;
  /** Limit on pools of earlier generations with open requests: each holds a module instance, so a reload is refused beyond it. */
  static final int MAX_RETIRED = 64;

  private static final long RETIRED_POLL_MILLIS = 20;

  private volatile Configuration configuration;
  private final Reactor reactor;
  private final EventLoop loop;
  private final Clock clock;
  private final ProcessCapacity capacity;
  private final OperatorConfiguration.Process process;
  private final ServicePool.Shared shared;
  private final FairQueue fairQueue = new FairQueue();
  private final KeyAffinity keyAffinity = new KeyAffinity(KeyAffinity.MAX_KEYS);
  private final RequestCounters counters = new RequestCounters();
  private final Set<String> ids = new HashSet<>();
  private final Map<String, UpstreamSource> sources = new LinkedHashMap<>();
  private final Map<String, ServicePool> pools = new LinkedHashMap<>();
  private final List<ServicePool> retired = new ArrayList<>();
  /** Replaced on the event loop and also read by the reload thread, like the configuration. */
  private volatile OperatorConfiguration operator;

  /** The generation at the start: its journal and its peers apply until the process ends. */
  private final OperatorConfiguration firstGeneration;

  private RouteTable table;
  private InetSocketAddress platformDiscovery;
  private AttemptJournal journal;
  private LentQuotas quotas;
  private boolean queueScheduled;
  private boolean sweepScheduled;
  private boolean started;
  private long poolsCreated;

  /** Checks the first generation against the platform's limits; throws IllegalArgumentException if it doesn't fit. */
  ServicePools(
      Configuration configuration,
      OperatorConfiguration operator,
      Reactor reactor,
      LoopLag lag,
      Consumer<RuntimeException> defect) {
    this.configuration = configuration;
    this.reactor = reactor;
    loop = reactor.loop();
    clock = reactor.clock();
    process = operator.process();
    platformDiscovery = configuration.discovery();
    capacity = ProcessCapacity.of(configuration, process);
    shared = new ServicePool.Shared(
        reactor,
        lag,
        new UpstreamSockets(capacity.upstreamSockets()),
        new SharedCapacity(capacity.openRequests()),
        new SharedCapacity(capacity.bodyBytes()),
        fairQueue,
        new SharedUpstreams<>(),
        defect);
    check(operator);
    this.operator = operator;
    firstGeneration = operator;
  }

  ProcessCapacity capacity() {
    return capacity;
  }

  RequestCounters counters() {
    return counters;
  }

  int retired() {
    return retired.size();
  }

  ServicePool pool(String name) {
    return pools.get(name);
  }

  // Generations

  /** Sets the journal; null for none. */
  void journal(AttemptJournal log) {
    journal = log;
  }

  AttemptJournal journal() {
    return journal;
  }

  /** Whether a request's attempts are journalled. */
  boolean isJournaled(ClientRequest request, ServicePool pool) {
    return journal != null && pool.spec().journal().covers(request.type());
  }

  /** Returns this Retry-After within the pool's limits; 0 if the pool's clients get none. */
  long cappedRetryAfter(ServicePool pool, long nanos) {
    var limits = pool.settings().limits();
    return limits.retryAfter() ? Math.min(nanos, limits.maxRetryAfterNanos()) : 0;
  }

  /** Checks a file against this platform's limits, for a command that starts nothing. */
  static void check(Configuration configuration, OperatorConfiguration next) {
    check(configuration, ProcessCapacity.of(configuration, next.process()), next);
  }

  /** Checks a file against this platform's limits. Any thread. */
  void check(OperatorConfiguration next) {
    check(configuration, capacity, next);
  }

  private static void check(
      Configuration configuration, ProcessCapacity capacity, OperatorConfiguration next) {
    plan("open-requests", capacity.openRequests(), next, OperatorConfiguration.Pool::open);
    plan("sockets", capacity.upstreamSockets(), next, OperatorConfiguration.Pool::sockets);
    plan("body-memory-kib", capacity.bodyBytes(), next, OperatorConfiguration.Pool::body);
    Listeners.plan(capacity.clientSockets(), next);
    Map<String, Set<Effect>> effects = new HashMap<>();
    for (OperatorConfiguration.Pool pool : next.pools().values()) {
      for (RequestClass type : settingsOf(configuration, pool).classes()) {
        effects.computeIfAbsent(type.name(), k -> EnumSet.noneOf(Effect.class)).add(type.effect());
      }
    }
    checkMethods(effects, next);
    int me = configuration.settings().me();
    int members = next.peers().addresses().size();
    if (members > 0 && me >= members) {
      throw new IllegalArgumentException(
          "peers.addresses: expected one for this instance, number " + me + ", got " + members);
    }
    int group = configuration.settings().groupSize();
    if (next.peers().lendQuotas() && members != group) {
      throw new IllegalArgumentException(
          "peers.lend-quotas: expected an address for each balancer of the group, " + group
              + ", got " + members);
    }
  }

  /** Checks that each method's class exists in a pool and that a keyed one has its key; else no call could be admitted. */
  private static void checkMethods(Map<String, Set<Effect>> effects, OperatorConfiguration next) {
    for (OperatorConfiguration.Listener listener : next.listeners().values()) {
      if (listener.rpc() != null) {
        listener.rpc().methods().values().forEach(m -> checkMethod(effects, m));
      }
    }
  }

  private static void checkMethod(Map<String, Set<Effect>> effects, MethodMapping m) {
    Set<Effect> ofClass = effects.getOrDefault(m.className(), Set.of());
    if (ofClass.isEmpty()) {
      throw new IllegalArgumentException(
          "methods: expected a class that a pool has as the class of \"" + m.method() + "\", got \""
              + m.className() + "\"");
    }
    if (ofClass.contains(Effect.KEYED) && !m.states(MethodMapping.Part.IDEMPOTENCY_KEY)) {
      throw new IllegalArgumentException(
          "methods: expected idempotency-key for \"" + m.method() + "\", whose class is keyed");
    }
  }

  private Settings settingsOf(OperatorConfiguration.Pool pool) {
    return settingsOf(configuration, pool);
  }

  private static Settings settingsOf(Configuration configuration, OperatorConfiguration.Pool pool) {
    try {
      return pool.overrides().applyTo(configuration.settings());
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("pools." + pool.name() + ": " + e.getMessage());
    }
  }

  private static List<CapacityPlan.Allocation> plan(
      String what,
      long total,
      OperatorConfiguration next,
      java.util.function.Function<OperatorConfiguration.Pool, OperatorConfiguration.Capacity>
          capacityOf) {
    return CapacityPlan.of(
        what,
        total,
        next.pools().values().stream()
            .map(p -> new CapacityPlan.Demand(
                p.name(), capacityOf.apply(p).guaranteed(), capacityOf.apply(p).max()))
            .toList());
  }

  @Override
  public RequestRouter router() {
    return this;
  }

  @Override
  public void start() {
    started = true;
    apply(operator);
  }

  @Override
  public void check(Configuration next) {
    check(next, capacity, operator);
  }

  @Override
  public void reload(Configuration next) {
    configuration = next;
    pools.values().forEach(p -> p.applySettings(settingsOf(p.spec())));
    quotasChanged();
    platformDiscovery = next.discovery();
    sources
        .values()
        .forEach(s -> s.reconfigure(
            WatchTerms.of(next.settings()), next.settings().contract().drainGraceNanos()));
    UpstreamSource source = sources.get(OperatorConfiguration.PLATFORM);
    if (source != null) {
      source.moveTo(platformDiscovery);
    }
  }

  /** Returns why another generation can't be applied now; null if it can. */
  String objection(OperatorConfiguration next) {
    return retired.size() >= MAX_RETIRED && !next.pools().equals(operator.pools())
        ? retired.size() + " pools of earlier generations still have requests open"
        : null;
  }

  /** Returns the keys that are read at the start only and differ in the next generation. */
  List<String> needRestart(OperatorConfiguration next) {
    List<String> out = new ArrayList<>();
    OperatorConfiguration.Process now = process;
    OperatorConfiguration.Process then = next.process();
    addIfChanged(out, "process.client-sockets", now.clientSockets(), then.clientSockets());
    addIfChanged(out, "process.upstream-sockets", now.upstreamSockets(), then.upstreamSockets());
    addIfChanged(out, "process.open-requests", now.openRequests(), then.openRequests());
    addIfChanged(out, "process.body-memory-kib", now.bodyBytes(), then.bodyBytes());
    if (!Objects.equals(firstGeneration.journal(), next.journal())) {
      out.add("journal");
    }
    if (!firstGeneration.peers().equals(next.peers())) {
      out.add("peers");
    }
    return out;
  }

  private static void addIfChanged(List<String> out, String key, Long now, Long then) {
    if (!Objects.equals(now, then)) {
      out.add(key);
    }
  }

  /** Applies a generation that has passed {@link #check}. */
  void apply(OperatorConfiguration next) {
    Map<String, UpstreamSource> before = new LinkedHashMap<>(sources);
    applySources(next);
    List<ServicePool> added = new ArrayList<>();
    Map<String, ServicePool> after = new LinkedHashMap<>();
    for (OperatorConfiguration.Pool spec : next.pools().values()) {
      Settings settings = settingsOf(spec);
      ServicePool pool = pools.get(spec.name());
      if (pool == null || !sameUpstreams(pool, spec, before) || !appliesSettings(pool, settings)) {
        pool = newPool(spec, settings);
        added.add(pool);
      }
      pool.spec(spec);
      pool.setQuotas(quotas);
      after.put(spec.name(), pool);
    }
    List<CapacityPlan.Allocation> socketParts =
        plan("sockets", capacity.upstreamSockets(), next, OperatorConfiguration.Pool::sockets);
    pools.values().stream().filter(p -> after.get(p.name()) != p).forEach(this::retire);
    pools.clear();
    pools.putAll(after);
    resize(next, socketParts);
    operator = next;
    table = new RouteTable(next.routes());
    quotasChanged();
    added.forEach(ServicePool::start);
    sources.keySet().removeIf(name -> !next.sources().containsKey(name));
  }

  private boolean sameUpstreams(
      ServicePool pool, OperatorConfiguration.Pool spec, Map<String, UpstreamSource> before) {
    OperatorConfiguration.Pool was = pool.spec();
    return sources.get(spec.source()) == before.get(spec.source())
        && was.source().equals(spec.source())
        && was.select().equals(spec.select())
        && Objects.equals(was.rpc(), spec.rpc());
  }

  /** Applies changed settings to a pool if its module supports the change; false if the pool needs a new module. */
  private static boolean appliesSettings(ServicePool pool, Settings next) {
    Settings now = pool.settings();
    if (now.equals(next)) {
      return true;
    }
    if (!withTenants(now, next.tenants()).equals(next)) {
      return false;
    }
    pool.applySettings(next);
    return true;
  }

  private static Settings withTenants(Settings s, List<Tenant> tenants) {
    return new Settings(
        s.me(),
        s.groupSize(),
        s.zone(),
        s.classes(),
        tenants,
        s.limits(),
        s.contract(),
        s.prices(),
        s.listOnRequest(),
        s.weightKind(),
        s.overShareWorth(),
        s.warmKeys(),
        s.tickNanos());
  }

  private ServicePool newPool(OperatorConfiguration.Pool spec, Settings settings) {
    return new ServicePool(
        spec,
        settings,
        configuration.seed() + poolsCreated++,
        shared,
        sources.get(spec.source()),
        affected -> affected.forEach(ServicePool::reannounce));
  }

  /** Sets the exchange that lends and borrows tenants' quotas between the members of the fleet; null for even shares. */
  void setQuotas(LentQuotas quotas) {
    this.quotas = quotas;
    pools.values().forEach(p -> p.setQuotas(quotas));
    quotasChanged();
  }

  LentQuotas quotas() {
    return quotas;
  }

  private void quotasChanged() {
    if (quotas != null) {
      quotas.pools(pools.values());
    }
  }

  private void resize(OperatorConfiguration next, List<CapacityPlan.Allocation> sockets) {
    List<CapacityPlan.Allocation> open =
        plan("open-requests", capacity.openRequests(), next, OperatorConfiguration.Pool::open);
    List<CapacityPlan.Allocation> body =
        plan("body-memory-kib", capacity.bodyBytes(), next, OperatorConfiguration.Pool::body);
    int i = 0;
    for (OperatorConfiguration.Pool spec : next.pools().values()) {
      pools
          .get(spec.name())
          .resize(open.get(i), sockets.get(i), body.get(i), spec.connectionsPerUpstream());
      i++;
    }
  }

  private void applySources(OperatorConfiguration next) {
    next.sources().forEach((name, spec) -> {
      UpstreamSource now = sources.get(name);
      OperatorConfiguration.Source was = operator.sources().get(name);
      if (now != null && spec.equals(was)) {
        return;
      }
      if (spec instanceof OperatorConfiguration.StaticSource fixed && now != null && now.fixed()) {
        now.replace(fixed.hosts());
      } else if (spec instanceof OperatorConfiguration.DiscoverySource watched
          && now != null
          && !now.fixed()) {
        now.moveTo(watched.address());
      } else {
        sources.put(name, source(spec));
      }
    });
  }

  private UpstreamSource source(OperatorConfiguration.Source spec) {
    if (spec instanceof OperatorConfiguration.StaticSource fixed) {
      return UpstreamSource.fixed(fixed.hosts());
    }
    WatchTerms terms = WatchTerms.of(configuration.settings());
    return spec instanceof OperatorConfiguration.DiscoverySource watched
        ? watched(watched.address(), new HostList(0, true, List.of()), terms)
        : watched(platformDiscovery, configuration.known(), terms);
  }

  private UpstreamSource watched(InetSocketAddress address, HostList known, WatchTerms terms) {
    return UpstreamSource.watched(
        reactor,
        address,
        known,
        terms,
        configuration.settings().contract().drainGraceNanos(),
        configuration.seed() ^ configuration.name().hashCode());
  }

  @Override
  public UpstreamSource platformSource() {
    return sources.get(OperatorConfiguration.PLATFORM);
  }

  private void retire(ServicePool pool) {
    pool.retire(new CapacityPlan.Allocation(0, capacity.upstreamSockets()));
    retired.add(pool);
    if (!sweepScheduled) {
      sweepScheduled = true;
      loop.schedule(this::sweepRetired, RETIRED_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void sweepRetired() {
    List<ServicePool> finished = retired.stream().filter(ServicePool::finished).toList();
    retired.removeAll(finished);
    finished.forEach(ServicePool::close);
    sweepScheduled = !retired.isEmpty();
    if (sweepScheduled) {
      loop.schedule(this::sweepRetired, RETIRED_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  // Routing

  @Override
  public RequestHandle route(RequestAttributes head) throws InvalidRequest {
    if (!started) {
      throw new InvalidRequest(503, "not started");
    }
    RouteTable.MatchResult found = table.match(head);
    if (found instanceof RouteTable.Malformed malformed) {
      counters.countMalformed();
      throw new InvalidRequest(400, malformed.why());
    }
    if (!(found instanceof RouteTable.Matched matched)) {
      counters.countNoRoute();
      throw new InvalidRequest(404, "no route");
    }
    ServicePool home = home(head);
    ServicePool pool = home == null ? poolFor(matched.route(), head) : home;
    if (!pool.open.tryAcquire(1)) {
      counters.countPoolFull();
      throw new InvalidRequest(503, "this pool is full", retryAfter(pool));
    }
    return new AdmittedRequest(this, matched.route(), pool, home != null, clock.now());
  }

  /** Returns the pool that may have run a request with the same idempotency key, or null. */
  private ServicePool home(RequestAttributes head) throws InvalidRequest {
    boolean noKeys =
        keyAffinity.size() == 0 && (journal == null || journal.memory().size() == 0);
    String key = noKeys ? null : head.header(ClientRequest.IDEMPOTENCY_KEY);
    String home = key == null ? null : keyAffinity.poolOf(key, clock.now());
    if (home == null && key != null && journal != null) {
      home = journal.memory().poolOf(KeyMemory.entryName(Effect.KEYED, "", key), clock.now());
    }
    if (home == null) {
      return null;
    }
    for (ServicePool pool : pools.values()) {
      if (pool.home().equals(home)) {
        return pool;
      }
    }
    for (ServicePool pool : retired) {
      if (pool.home().equals(home)) {
        return pool;
      }
    }
    // Failed, not refused: the request may have run in a pool that no longer exists.
    throw new InvalidRequest(502, "the pool that may have run this key is gone");
  }

  private ServicePool poolFor(Route route, RequestAttributes head) {
    ServicePool first = pools.get(route.split().poolOf(splitKey(route, head)));
    ServicePool second = first.core().readyUpstreams() > 0 ? null : fallbackOf(route, first);
    return second == null ? first : second;
  }

  /** Returns the key that keeps related requests in one pool: the session key, else the idempotency key, else the id. */
  private static String splitKey(Route route, RequestAttributes head) {
    if (route.split().parts().size() == 1) {
      return "";
    }
    String key = head.header("X-Session-Key");
    key = key == null ? head.header(ClientRequest.IDEMPOTENCY_KEY) : key;
    key = key == null ? head.header(ClientRequest.ID) : key;
    return key == null ? "" : key;
  }

  /** Returns the route's fallback pool if it has a ready upstream; else null. */
  ServicePool fallbackOf(Route route, ServicePool first) {
    ServicePool second = route.fallback() == null ? null : pools.get(route.fallback());
    return second == null || second == first || second.core().readyUpstreams() == 0 ? null : second;
  }

  // Used by AdmittedRequest

  Clock clock() {
    return clock;
  }

  long now() {
    return clock.now();
  }

  /** Marks an id as open, which must be unique in the process; false if it is open already. */
  boolean open(String id) {
    return ids.add(id);
  }

  void close(String id) {
    ids.remove(id);
  }

  long retryAfter(ServicePool pool) {
    var limits = pool.settings().limits();
    return pool.residenceTime().retryAfter(limits.retryAfter(), limits.maxRetryAfterNanos());
  }

  /** Records the pool where a keyed request may run. */
  void recordHome(ClientRequest request, ServicePool pool) {
    keyAffinity.recordAccepted(
        request.idempotencyKey(),
        pool.home(),
        clock.now(),
        request.type().dedupWindowNanos() + Math.max(0, request.leftNanos()));
  }

  void forgetHome(ClientRequest request) {
    keyAffinity.recordNotRun(request.idempotencyKey());
  }

  /** Queues work for a pool; false if its queue is full. */
  boolean offer(ServicePool pool, Runnable work) {
    if (!pool.queue.offer(work)) {
      return false;
    }
    if (!queueScheduled) {
      queueScheduled = true;
      loop.execute(this::runQueue);
    }
    return true;
  }

  /** Runs queued work. Rescheduled by a timer, not as a task: tasks run back to back, without reading sockets in between. */
  private void runQueue() {
    fairQueue.run(QUANTUM_NANOS, clock::now);
    queueScheduled = !fairQueue.isIdle();
    if (queueScheduled) {
      loop.schedule(this::runQueue, 1, TimeUnit.NANOSECONDS);
    }
  }

  // Stop

  @Override
  public void limitDeadlines(long nanos) {
    Log.line("requests: " + counters.logLine());
    all().forEach(p -> p.core().limitDeadlines(nanos));
  }

  @Override
  public void answerAll() {
    all().forEach(p -> p.core().answerAll());
  }

  private List<ServicePool> all() {
    List<ServicePool> all = new ArrayList<>(pools.values());
    all.addAll(retired);
    return all;
  }

  /** Returns the names of the pools and the number of routes, for the log. */
  String summary() {
    return new TreeSet<>(pools.keySet()) + " by " + table.routes().size() + " routes";
  }
}
