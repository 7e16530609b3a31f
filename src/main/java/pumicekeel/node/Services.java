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
import pumicekeel.call.ClientRequest.Bad;
import pumicekeel.call.Facts;
import pumicekeel.config.Configuration;
import pumicekeel.config.Operator;
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
 * The pools of an operator file, one generation at a time. A reload swaps routes and pools at once, between two events
 * of the loop; a request goes on in the pool that took it, and a pool that is not wanted any more ends with its last one.
 */
final class Services implements Serving, RequestRouter {

  /** A run of waiting work; short against any aim, long against the cost of going round the loop. */
  private static final long QUANTUM_NANOS = 1_000_000L;
  /** Pools of earlier generations with something open: each holds a module instance, so a reload waits for some to end. */
  static final int MOST_RETIRED = 64;

  private static final long RETIRED_MILLIS = 20;

  private volatile Configuration configuration;
  private final Reactor on;
  private final EventLoop loop;
  private final Clock clock;
  private final Rooms rooms;
  private final Operator.Process process;
  private final ServicePool.Shared shared;
  private final FairQueue fairQueue = new FairQueue();
  private final KeyAffinity keyAffinity = new KeyAffinity(KeyAffinity.MAX_KEYS);
  private final RequestCounters counters = new RequestCounters();
  private final Set<String> ids = new HashSet<>();
  private final Map<String, UpstreamSource> sources = new LinkedHashMap<>();
  private final Map<String, ServicePool> pools = new LinkedHashMap<>();
  private final List<ServicePool> retired = new ArrayList<>();
  /** Replaced on the loop; read by the thread that reloads as well, and so is the configuration. */
  private volatile Operator operator;

  private final Operator first;
  private RouteTable table;
  private InetSocketAddress platformDiscovery;
  private JournalLog journal;
  private LentQuotas lending;
  private boolean turning;
  private boolean sweeping;
  private boolean started;
  private long made;

  /** Checks the first generation against the platform's figures; an IllegalArgumentException says what does not fit. */
  Services(
      Configuration configuration,
      Operator operator,
      Reactor on,
      LoopLag lag,
      Consumer<RuntimeException> defect) {
    this.configuration = configuration;
    this.on = on;
    loop = on.loop();
    clock = on.clock();
    process = operator.process();
    platformDiscovery = configuration.discovery();
    rooms = Rooms.of(configuration, process);
    shared = new ServicePool.Shared(
        on,
        lag,
        new UpstreamSockets(rooms.upstreamSockets()),
        new SharedCapacity(rooms.openRequests()),
        new SharedCapacity(rooms.bodyBytes()),
        fairQueue,
        new SharedUpstreams<>(),
        defect);
    check(operator);
    this.operator = operator;
    first = operator;
  }

  Rooms rooms() {
    return rooms;
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

  /** Keeps a record from now on; null for none. */
  void journal(JournalLog log) {
    journal = log;
  }

  JournalLog journal() {
    return journal;
  }

  /** Whether a request's attempts go on record. */
  boolean records(ClientRequest request, ServicePool pool) {
    return journal != null && pool.spec().journal().covers(request.type());
  }

  /** An advice that a pool's clients honour. */
  long longest(ServicePool pool, long nanos) {
    var limits = pool.settings().limits();
    return limits.retryAfter() ? Math.min(nanos, limits.maxRetryAfterNanos()) : 0;
  }

  /** What the file may not say on this platform, for a command that starts nothing. */
  static void check(Configuration configuration, Operator next) {
    check(configuration, Rooms.of(configuration, next.process()), next);
  }

  /** What the file may not say on this platform; made by any thread. */
  void check(Operator next) {
    check(configuration, rooms, next);
  }

  private static void check(Configuration configuration, Rooms rooms, Operator next) {
    plan("open-requests", rooms.openRequests(), next, Operator.Pool::open);
    plan("sockets", rooms.upstreamSockets(), next, Operator.Pool::sockets);
    plan("body-memory-kib", rooms.bodyBytes(), next, Operator.Pool::body);
    Listeners.plan(rooms.clientSockets(), next);
    Map<String, Set<Effect>> effects = new HashMap<>();
    for (Operator.Pool pool : next.pools().values()) {
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

  /** A method's class has to be some pool's, and a keyed one needs its key: no call of it could ever be taken. */
  private static void checkMethods(Map<String, Set<Effect>> effects, Operator next) {
    for (Operator.Listener listener : next.listeners().values()) {
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

  private Settings settingsOf(Operator.Pool pool) {
    return settingsOf(configuration, pool);
  }

  private static Settings settingsOf(Configuration configuration, Operator.Pool pool) {
    try {
      return pool.overrides().over(configuration.settings());
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("pools." + pool.name() + ": " + e.getMessage());
    }
  }

  private static List<CapacityPlan.Allocation> plan(
      String what,
      long total,
      Operator next,
      java.util.function.Function<Operator.Pool, Operator.Room> room) {
    return CapacityPlan.of(
        what,
        total,
        next.pools().values().stream()
            .map(p -> new CapacityPlan.Demand(
                p.name(), room.apply(p).guaranteed(), room.apply(p).most()))
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
    check(next, rooms, operator);
  }

  @Override
  public void reload(Configuration next) {
    configuration = next;
    pools.values().forEach(p -> p.retune(settingsOf(p.spec())));
    quotasChanged();
    platformDiscovery = next.discovery();
    sources
        .values()
        .forEach(s ->
            s.retune(WatchTerms.of(next.settings()), next.settings().contract().drainGraceNanos()));
    UpstreamSource source = sources.get(Operator.PLATFORM);
    if (source != null) {
      source.moveTo(platformDiscovery);
    }
  }

  /** Whether another generation may be taken over now; otherwise why not. */
  String objection(Operator next) {
    return retired.size() >= MOST_RETIRED && !next.pools().equals(operator.pools())
        ? retired.size() + " pools of earlier generations still have requests open"
        : null;
  }

  /** Settings of the file that count at a start only, and that the next one has otherwise. */
  List<String> needRestart(Operator next) {
    List<String> out = new ArrayList<>();
    Operator.Process now = process;
    Operator.Process then = next.process();
    note(out, "process.client-sockets", now.clientSockets(), then.clientSockets());
    note(out, "process.upstream-sockets", now.upstreamSockets(), then.upstreamSockets());
    note(out, "process.open-requests", now.openRequests(), then.openRequests());
    note(out, "process.body-memory-kib", now.bodyBytes(), then.bodyBytes());
    if (!Objects.equals(first.journal(), next.journal())) {
      out.add("journal");
    }
    if (!first.peers().equals(next.peers())) {
      out.add("peers");
    }
    return out;
  }

  private static void note(List<String> out, String key, Long now, Long then) {
    if (!Objects.equals(now, then)) {
      out.add(key);
    }
  }

  /** Takes a generation over that has passed {@link #check}. */
  void apply(Operator next) {
    Map<String, UpstreamSource> before = new LinkedHashMap<>(sources);
    applySources(next);
    List<ServicePool> fresh = new ArrayList<>();
    Map<String, ServicePool> after = new LinkedHashMap<>();
    for (Operator.Pool spec : next.pools().values()) {
      Settings settings = settingsOf(spec);
      ServicePool pool = pools.get(spec.name());
      if (pool == null || !sameUpstreams(pool, spec, before) || !retuned(pool, settings)) {
        pool = newPool(spec, settings);
        fresh.add(pool);
      }
      pool.spec(spec);
      pool.lend(lending);
      after.put(spec.name(), pool);
    }
    List<CapacityPlan.Allocation> socketParts =
        plan("sockets", rooms.upstreamSockets(), next, Operator.Pool::sockets);
    pools.values().stream().filter(p -> after.get(p.name()) != p).forEach(this::retire);
    pools.clear();
    pools.putAll(after);
    resize(next, socketParts);
    operator = next;
    table = new RouteTable(next.routes());
    quotasChanged();
    fresh.forEach(ServicePool::start);
    sources.keySet().removeIf(name -> !next.sources().containsKey(name));
  }

  private boolean sameUpstreams(
      ServicePool pool, Operator.Pool spec, Map<String, UpstreamSource> before) {
    Operator.Pool was = pool.spec();
    return sources.get(spec.source()) == before.get(spec.source())
        && was.source().equals(spec.source())
        && was.select().equals(spec.select())
        && Objects.equals(was.rpc(), spec.rpc());
  }

  /** Has a pool work by other settings where its module can go on with them; false where it needs a new one. */
  private static boolean retuned(ServicePool pool, Settings next) {
    Settings now = pool.settings();
    if (now.equals(next)) {
      return true;
    }
    if (!withTenants(now, next.tenants()).equals(next)) {
      return false;
    }
    pool.retune(next);
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

  private ServicePool newPool(Operator.Pool spec, Settings settings) {
    return new ServicePool(
        spec,
        settings,
        configuration.seed() + made++,
        shared,
        sources.get(spec.source()),
        others -> others.forEach(ServicePool::retell));
  }

  /** Has tenants' quotas lent and borrowed between the members of the fleet from now on; null for even parts. */
  void lend(LentQuotas quotas) {
    lending = quotas;
    pools.values().forEach(p -> p.lend(quotas));
    quotasChanged();
  }

  LentQuotas lending() {
    return lending;
  }

  private void quotasChanged() {
    if (lending != null) {
      lending.pools(pools.values());
    }
  }

  private void resize(Operator next, List<CapacityPlan.Allocation> sockets) {
    List<CapacityPlan.Allocation> open =
        plan("open-requests", rooms.openRequests(), next, Operator.Pool::open);
    List<CapacityPlan.Allocation> body =
        plan("body-memory-kib", rooms.bodyBytes(), next, Operator.Pool::body);
    int i = 0;
    for (Operator.Pool spec : next.pools().values()) {
      pools
          .get(spec.name())
          .resize(open.get(i), sockets.get(i), body.get(i), spec.connectionsPerUpstream());
      i++;
    }
  }

  private void applySources(Operator next) {
    next.sources().forEach((name, spec) -> {
      UpstreamSource now = sources.get(name);
      Operator.Source was = operator.sources().get(name);
      if (now != null && spec.equals(was)) {
        return;
      }
      if (spec instanceof Operator.Fixed fixed && now != null && now.fixed()) {
        now.replace(fixed.hosts());
      } else if (spec instanceof Operator.Watched watched && now != null && !now.fixed()) {
        now.moveTo(watched.address());
      } else {
        sources.put(name, source(spec));
      }
    });
  }

  private UpstreamSource source(Operator.Source spec) {
    if (spec instanceof Operator.Fixed fixed) {
      return UpstreamSource.fixed(fixed.hosts());
    }
    WatchTerms terms = WatchTerms.of(configuration.settings());
    return spec instanceof Operator.Watched watched
        ? watched(watched.address(), new HostList(0, true, List.of()), terms)
        : watched(platformDiscovery, configuration.known(), terms);
  }

  private UpstreamSource watched(InetSocketAddress address, HostList known, WatchTerms terms) {
    return UpstreamSource.watched(
        on,
        address,
        known,
        terms,
        configuration.settings().contract().drainGraceNanos(),
        configuration.seed() ^ configuration.name().hashCode());
  }

  @Override
  public UpstreamSource platformSource() {
    return sources.get(Operator.PLATFORM);
  }

  private void retire(ServicePool pool) {
    pool.retire(new CapacityPlan.Allocation(0, rooms.upstreamSockets()));
    retired.add(pool);
    if (!sweeping) {
      sweeping = true;
      loop.schedule(this::sweepRetired, RETIRED_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void sweepRetired() {
    List<ServicePool> over = retired.stream().filter(ServicePool::over).toList();
    retired.removeAll(over);
    over.forEach(ServicePool::close);
    sweeping = !retired.isEmpty();
    if (sweeping) {
      loop.schedule(this::sweepRetired, RETIRED_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  // The router

  @Override
  public RequestHandle route(Facts head) throws Bad {
    if (!started) {
      throw new Bad(503, "not started");
    }
    RouteTable.MatchResult found = table.match(head);
    if (found instanceof RouteTable.Malformed malformed) {
      counters.countMalformed();
      throw new Bad(400, malformed.why());
    }
    if (!(found instanceof RouteTable.Matched taken)) {
      counters.countNoRoute();
      throw new Bad(404, "no route");
    }
    ServicePool home = home(head);
    ServicePool pool = home == null ? poolFor(taken.route(), head) : home;
    if (!pool.open.tryAcquire(1)) {
      counters.countPoolFull();
      throw new Bad(503, "this pool is full", retryAfter(pool));
    }
    return new Admission(this, taken.route(), pool, home != null, clock.now());
  }

  /** The pool that may have run a request of the same idempotency key, or null. */
  private ServicePool home(Facts head) throws Bad {
    boolean none =
        keyAffinity.size() == 0 && (journal == null || journal.memory().size() == 0);
    String key = none ? null : head.header(ClientRequest.IDEMPOTENCY_KEY);
    String home = key == null ? null : keyAffinity.poolOf(key, clock.now());
    if (home == null && key != null && journal != null) {
      home = journal.memory().homeOf(KeyMemory.nameOf(Effect.KEYED, "", key), clock.now());
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
    // Failed, not refused: it may have run where nothing is asked any more.
    throw new Bad(502, "the pool that may have run this key is gone");
  }

  private ServicePool poolFor(Route route, Facts head) {
    ServicePool first = pools.get(route.split().poolOf(splitKey(route, head)));
    ServicePool second = first.core().ready() > 0 ? null : fallbackOf(route, first);
    return second == null ? first : second;
  }

  /** What a request is about, so that it finds the same pool again: its session, else what makes a repeat of it. */
  private static String splitKey(Route route, Facts head) {
    if (route.split().parts().size() == 1) {
      return "";
    }
    String key = head.header("X-Session-Key");
    key = key == null ? head.header(ClientRequest.IDEMPOTENCY_KEY) : key;
    key = key == null ? head.header(ClientRequest.ID) : key;
    return key == null ? "" : key;
  }

  /** The route's second pool, if it has an upstream that is ready; else null. */
  ServicePool fallbackOf(Route route, ServicePool first) {
    ServicePool second = route.fallback() == null ? null : pools.get(route.fallback());
    return second == null || second == first || second.core().ready() == 0 ? null : second;
  }

  // What admissions ask for

  Clock clock() {
    return clock;
  }

  long now() {
    return clock.now();
  }

  /** An id is open once in the whole process; false where it is already. */
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

  /** Notes where a keyed request may run from now on. */
  void noteHome(ClientRequest request, ServicePool pool) {
    keyAffinity.recordAccepted(
        request.idempotencyKey(),
        pool.home(),
        clock.now(),
        request.type().dedupWindowNanos() + Math.max(0, request.leftNanos()));
  }

  void forgetHome(ClientRequest request) {
    keyAffinity.recordNotRun(request.idempotencyKey());
  }

  /** Lines work up for a pool's turn; false where too much waits. */
  boolean offer(ServicePool pool, Runnable work) {
    if (!pool.turn.offer(work)) {
      return false;
    }
    if (!turning) {
      turning = true;
      loop.execute(this::turn);
    }
    return true;
  }

  /** By a timer, not a task: tasks are run one after the other, and the sockets would not be read between them. */
  private void turn() {
    fairQueue.run(QUANTUM_NANOS, clock::now);
    turning = !fairQueue.isIdle();
    if (turning) {
      loop.schedule(this::turn, 1, TimeUnit.NANOSECONDS);
    }
  }

  // The end

  @Override
  public void endBy(long nanos) {
    Log.line("requests: " + counters.logLine());
    all().forEach(p -> p.core().endBy(nanos));
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

  /** The names in use, for the log. */
  String summary() {
    return new TreeSet<>(pools.keySet()) + " by " + table.routes().size() + " routes";
  }
}
