package pumicekeel.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import pumicekeel.Balancer;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;
import pumicekeel.lab.policy.Oracle;
import pumicekeel.lab.policy.Policies;
import pumicekeel.lab.world.EventScheduler;
import pumicekeel.lab.world.RequestKind;
import pumicekeel.lab.world.Server;
import pumicekeel.lab.world.Traffic;
import pumicekeel.lab.world.WorldSpec;

/**
 * One run of a world with a policy and a seed, in virtual time and on one thread. The same three always give exactly the same figures.
 * The properties of the deployment come from the operators' requirements; values that they state as ranges are drawn by the seed.
 */
public final class FleetRun {

  /** Receives the events of each request, for {@code lab explain}. */
  public interface Trace {
    /** Reports an event of the request with the given number. */
    void line(long number, long atNanos, String event);
  }

  /** Counters of what the balancers sent. */
  static final class Counters {
    private long attempts;
    private long connections;
    private double usefulWork;

    void addAttempt() {
      attempts++;
    }

    void addConnection() {
      connections++;
    }

    void addUsefulWork(double work) {
      usefulWork += work;
    }

    long attempts() {
      return attempts;
    }

    long connections() {
      return connections;
    }
  }

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;

  /** Time after the last arrival in which all requests are answered: two tries with the longest deadline, and the wait between them. */
  private static final long TAIL_NANOS = 15 * SECOND;

  /** Maximum age of the true state that a policy sees through its oracle. */
  private static final long ORACLE_AGE_NANOS = 100 * MS;

  private final WorldSpec spec;
  private final Policies.Factory factory;
  private final long seed;
  private final Trace trace;
  private final EventScheduler scheduler = new EventScheduler();
  private final Deployment deployment;
  private final Map<Long, Server> serversById;
  private final Map<Long, Integer> incarnations = new HashMap<>();
  private final List<Host> hosts = new ArrayList<>();
  private final Map<Long, Double> sampledLoads = new HashMap<>();
  private final Counters counters = new Counters();
  private final SimulatedDiscovery discovery;
  private final Settings settings;
  private final RuleChecker checker;
  private final ClientPopulation clients;
  private final double capacity;

  /** Creates a run; {@code trace} may be null. */
  public FleetRun(WorldSpec spec, Policies.Factory factory, long seed, Trace trace) {
    this.spec = spec;
    this.factory = factory;
    this.seed = seed;
    this.trace = trace;
    deployment = new Deployment(spec, scheduler, seed);
    serversById = deployment.servers();
    capacity = deployment.capacity();
    discovery = new SimulatedDiscovery(scheduler, seed, hosts, spec.maxListDelayNanos());
    serversById.values().forEach(discovery::addInitial);
    settings = deployment.settings(0, Deployment.zone(0));
    checker = new RuleChecker(settings.contract(), RequestKind.meanWork(RequestKind.STANDARD_MIX));
    for (int i = 0; i < spec.balancers(); i++) {
      hosts.add(new Host(i, this, Deployment.zone(i % spec.zones()), seed));
    }
    clients = new ClientPopulation(this, seed);
  }

  // Access for the other parts of the run

  EventScheduler scheduler() {
    return scheduler;
  }

  WorldSpec spec() {
    return spec;
  }

  Settings settings() {
    return settings;
  }

  RuleChecker checker() {
    return checker;
  }

  ClientPopulation clients() {
    return clients;
  }

  SimulatedDiscovery discovery() {
    return discovery;
  }

  Counters counters() {
    return counters;
  }

  List<Host> hosts() {
    return hosts;
  }

  List<Server> servers() {
    return new ArrayList<>(serversById.values());
  }

  Server server(long id) {
    return serversById.get(id);
  }

  int incarnationOf(Server server) {
    return incarnations.getOrDefault(server.id, 0);
  }

  String tenant(int number) {
    return Traffic.TENANTS.get(number);
  }

  void trace(ClientTry clientTry, String event) {
    if (trace != null) {
      trace.line(clientTry.arrival.number(), scheduler.now(), clientTry.id + ": " + event);
    }
  }

  Balancer policyOf(Host host, long policySeed) {
    Oracle oracle = id -> sampledLoads.getOrDefault(id, 0.0);
    return factory.make(deployment.settings(host.number, host.zone()), policySeed, oracle);
  }

  // Upstreams

  /** Crashes an upstream; the requests that it holds are lost. */
  void crash(Server server) {
    server.crash();
    incarnations.merge(server.id, 1, Integer::sum);
  }

  /** Restarts an upstream with the same id, cold. */
  void restart(Server server) {
    server.restart();
    discovery.change(server, State.READY);
  }

  /** Starts a cold replacement with a new id for an upstream that has ended. */
  void replace(Server server) {
    discovery.change(deployment.addReplacement(server), State.READY);
  }

  /** Crashes a cold upstream that was sent more than its budget; it stays down. */
  void overload(Server server) {
    crash(server);
    discovery.change(server, State.GONE);
  }

  // Run

  /** Plays the run. Returns its figures, or null if {@code stop} ended it early. */
  public Figures play(BooleanSupplier stop) {
    hosts.forEach(host -> {
      host.start(discovery.entries());
      clients.balancerUp(host);
    });
    Traffic traffic =
        new Traffic(scheduler, spec, RequestKind.STANDARD_MIX, capacity, seed, clients::submit);
    traffic.start();
    new FaultInjector(this, seed).schedule(spec.faults());
    sampleLoads();
    long end = (long) (spec.seconds() * SECOND);
    if (!scheduler.run(end, stop)) {
      return null;
    }
    double workDone =
        serversById.values().stream().mapToDouble(Server::workDone).sum();
    double utilization = workDone / (capacity * spec.seconds());
    if (!scheduler.run(end + TAIL_NANOS, stop)) {
      return null;
    }
    workDone = serversById.values().stream().mapToDouble(Server::workDone).sum();
    double wasted = Math.max(0, 1 - counters.usefulWork / Math.max(1, workDone));
    return clients.figures(checker, counters, wasted, utilization, scheduler.processedEvents());
  }

  private void sampleLoads() {
    for (Server server : serversById.values()) {
      sampledLoads.put(
          server.id,
          server.up()
              ? server.held() / (server.spec().capacity() * server.warmth(scheduler.now()) / 1e9)
              : Double.POSITIVE_INFINITY);
    }
    if (scheduler.now() < spec.seconds() * SECOND) {
      scheduler.in(ORACLE_AGE_NANOS, this::sampleLoads);
    }
  }
}
