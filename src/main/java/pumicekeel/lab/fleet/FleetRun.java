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
 * One run: a world, a policy and a seed, in virtual time and one thread. The same three give the same run to the last figure. The
 * limits of the deployment are the brief's; what it gives as a range is drawn by the seed.
 */
public final class FleetRun {

  /** Notes what becomes of one request, for {@code lab explain}. */
  public interface Trace {
    /** A line about a request, by its number. */
    void line(long number, long atNanos, String what);
  }

  /** Counts of what was sent. */
  static final class Count {
    private long attempts;
    private long connections;
    private double useful;

    void attempt() {
      attempts++;
    }

    void connection() {
      connections++;
    }

    void useful(double work) {
      useful += work;
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
  /** After the last arrival a day runs on until all is answered: the longest deadline twice, and its waits. */
  private static final long TAIL = 15 * SECOND;
  /** How old the true state is that the policy with an oracle sees. */
  private static final long ORACLE_AGE = 100 * MS;

  private final WorldSpec spec;
  private final Policies.Maker maker;
  private final long seed;
  private final Trace trace;
  private final EventScheduler scheduler = new EventScheduler();
  private final Deployment deployment;
  private final Map<Long, Server> byId;
  private final Map<Long, Integer> lives = new HashMap<>();
  private final List<Host> hosts = new ArrayList<>();
  private final Map<Long, Double> crowds = new HashMap<>();
  private final Count count = new Count();
  private final NodeList list;
  private final Settings settings;
  private final Judge judge;
  private final ClientPopulation clients;
  private final double capacity;

  /** A run; {@code trace} may be null. */
  public FleetRun(WorldSpec spec, Policies.Maker maker, long seed, Trace trace) {
    this.spec = spec;
    this.maker = maker;
    this.seed = seed;
    this.trace = trace;
    deployment = new Deployment(spec, scheduler, seed);
    byId = deployment.servers();
    capacity = deployment.capacity();
    list = new NodeList(scheduler, seed, hosts, spec.maxListDelayNanos());
    byId.values().forEach(list::enter);
    settings = deployment.settings(0, Deployment.zone(0));
    judge = new Judge(settings.contract(), RequestKind.meanWork(RequestKind.STANDARD_MIX));
    for (int i = 0; i < spec.balancers(); i++) {
      hosts.add(new Host(i, this, Deployment.zone(i % spec.zones()), seed));
    }
    clients = new ClientPopulation(this, seed);
  }

  // For those that play in it

  EventScheduler scheduler() {
    return scheduler;
  }

  WorldSpec spec() {
    return spec;
  }

  Settings settings() {
    return settings;
  }

  Judge judge() {
    return judge;
  }

  ClientPopulation clients() {
    return clients;
  }

  NodeList list() {
    return list;
  }

  Count count() {
    return count;
  }

  List<Host> hosts() {
    return hosts;
  }

  List<Server> servers() {
    return new ArrayList<>(byId.values());
  }

  Server server(long id) {
    return byId.get(id);
  }

  int lifeOf(Server s) {
    return lives.getOrDefault(s.id, 0);
  }

  String tenant(int number) {
    return Traffic.TENANTS.get(number);
  }

  void trace(ClientAttempt t, String what) {
    if (trace != null) {
      trace.line(t.ask.number(), scheduler.now(), t.id + ": " + what);
    }
  }

  Balancer policyOf(Host host, long itsSeed) {
    Oracle oracle = id -> crowds.getOrDefault(id, 0.0);
    return maker.make(deployment.settings(host.number, host.zone()), itsSeed, oracle);
  }

  // Upstreams

  /** Its process ends, with all that it holds. */
  void end(Server s) {
    s.crash();
    lives.merge(s.id, 1, Integer::sum);
  }

  /** It is back under its id, cold. */
  void begin(Server s) {
    s.restart();
    list.change(s, State.READY);
  }

  /** A cold successor under a new id takes the place of one that has gone; it remembers nothing, not even repeats. */
  void replace(Server s) {
    list.change(deployment.successor(s), State.READY);
  }

  /** Pushed over by all together: it stays down. */
  void fall(Server s) {
    end(s);
    list.change(s, State.GONE);
  }

  // The run

  /** Plays it; null where {@code stop} ended it early. */
  public Figures play(BooleanSupplier stop) {
    hosts.forEach(h -> {
      h.start(list.lines());
      clients.up(h);
    });
    Traffic traffic =
        new Traffic(scheduler, spec, RequestKind.STANDARD_MIX, capacity, seed, clients::ask);
    traffic.start();
    new FaultInjector(this, seed).plan(spec.faults());
    look();
    long end = (long) (spec.seconds() * SECOND);
    if (!scheduler.run(end, stop)) {
      return null;
    }
    double done = byId.values().stream().mapToDouble(Server::workDone).sum();
    double utilization = done / (capacity * spec.seconds());
    if (!scheduler.run(end + TAIL, stop)) {
      return null;
    }
    done = byId.values().stream().mapToDouble(Server::workDone).sum();
    double wasted = Math.max(0, 1 - count.useful / Math.max(1, done));
    return clients.figures(judge, count, wasted, utilization, scheduler.processedEvents());
  }

  private void look() {
    for (Server s : byId.values()) {
      crowds.put(
          s.id,
          s.up()
              ? s.held() / (s.spec().capacity() * s.warmth(scheduler.now()) / 1e9)
              : Double.POSITIVE_INFINITY);
    }
    if (scheduler.now() < spec.seconds() * SECOND) {
      scheduler.in(ORACLE_AGE, this::look);
    }
  }
}
