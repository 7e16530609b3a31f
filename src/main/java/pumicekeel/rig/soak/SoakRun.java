package pumicekeel.rig.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import pumicekeel.mesh.TcpLink;
import pumicekeel.rig.soak.SoakJudge.Broken;
import pumicekeel.rig.soak.SoakPlan.Disturbance;
import pumicekeel.standin.CallFate;
import pumicekeel.standin.DiscoveryFaults;
import pumicekeel.standin.StandInDiscovery;

/** Plays one plan: processes, upstreams, clients and faults, and the judgement of what was seen. One use. */
public final class SoakRun {

  /** What came of it. */
  public record Result(
      SoakPlan plan,
      int requests,
      int served,
      int refused,
      int failed,
      List<Broken> broken,
      List<String> problems,
      Map<CallKind, Long> injected,
      long discoveryCalls,
      int wholeLists,
      List<String> report,
      List<String> logs) {

    /** Whether no rule was broken and every process came back. */
    public boolean passed() {
      return broken.isEmpty() && problems.isEmpty();
    }

    /** A line of figures. */
    public String summary() {
      return "seed " + plan.seed() + ": " + requests + " requests, " + served + " served, "
          + refused + " refused, " + failed + " failed, " + broken.size() + " broken, "
          + problems.size() + " problems; injected " + injected + "; calls to discovery "
          + discoveryCalls + ", lists written whole " + wholeLists;
    }
  }

  static final int UPSTREAMS = 6;
  /** Where lists are in trouble, so that some always serve while others drain, are gone or cold. */
  private static final int REPLACED_UPSTREAMS = 16;

  private static final long MS = 1_000_000L;
  /** Calls fail in the first part of each period. */
  private static final long PERIOD_MILLIS = 2_000;

  private static final int LEAST_FAULT_MILLIS = 500;
  /** After the faults' end, before each process is asked whether it serves again. */
  private static final long RECOVERY_MILLIS = 2_500;

  private static final int MOST_TIMELINES = 6;
  private static final int LAG_PERIOD_MILLIS = 5;

  final SoakPlan plan;
  final RequestLog log = new RequestLog();
  final Random random;
  final EventLoopGroup standIns = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  final EventLoopGroup clientLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  final List<SoakBalancer> balancers = new ArrayList<>();
  final List<SoakUpstream> upstreams = new CopyOnWriteArrayList<>();
  final List<TcpLink> upstreamLinks = new CopyOnWriteArrayList<>();
  final Map<String, Integer> cells = new ConcurrentHashMap<>();
  final ToldChanges told = new ToldChanges();
  final Map<String, Long> cold = new ConcurrentHashMap<>();
  final List<SoakJudge.Killed> killed = new CopyOnWriteArrayList<>();
  final List<String> problems = new CopyOnWriteArrayList<>();
  final AtomicLong ownLag = new AtomicLong();
  final ProcessorWaits waits = new ProcessorWaits();
  StandInDiscovery discovery;
  private DiscoveryFaults discoveryFaults = DiscoveryFaults.none();
  Path folder;
  private final Map<CallKind, Long> injected = new EnumMap<>(CallKind.class);

  /** A run of this plan. */
  public SoakRun(SoakPlan plan) {
    this.plan = plan;
    random = new Random(plan.seed() ^ 0x5deece66dL);
  }

  /** Plays it and judges; all processes have ended when it returns. */
  public Result run() throws IOException, InterruptedException {
    folder = Files.createTempDirectory("soak");
    try {
      begin();
      faults();
      recover();
      end();
      return judge();
    } finally {
      for (SoakBalancer balancer : balancers) {
        balancer.close();
      }
      upstreamLinks.forEach(TcpLink::close);
      upstreams.forEach(SoakUpstream::close);
      if (discovery != null) {
        discovery.close();
      }
      standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      clientLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      delete(folder);
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    }
  }

  /** The test's own lateness widens every limit, or a busy machine would be told as a broken rule. */
  private void watchOwnLag(EventExecutor loop) {
    long due = System.nanoTime() + LAG_PERIOD_MILLIS * MS;
    loop.schedule(
        () -> {
          ownLag.accumulateAndGet(System.nanoTime() - due, Math::max);
          watchOwnLag(loop);
        },
        LAG_PERIOD_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** What the machine took: of this program's threads, and of the balancer's loop that these clients ask. */
  long lateness(String clients, long from, long to) {
    return ownLag.get() + waits.between(clients, from, to);
  }

  private void begin() throws IOException, InterruptedException {
    if (plan.lists() != null) {
      discoveryFaults = new DiscoveryFaults(plan.lists().terms(plan.balancers(), plan.seed()));
    }
    discovery = new StandInDiscovery(standIns, discoveryFaults);
    for (int i = 0; i < (plan.lists() == null ? UPSTREAMS : REPLACED_UPSTREAMS); i++) {
      add("s" + i, i / 2, 0);
    }
    for (int i = 0; i < plan.balancers(); i++) {
      balancers.add(new SoakBalancer(this, "n" + i, i));
    }
    for (SoakBalancer balancer : balancers) {
      balancer.start();
    }
    for (SoakBalancer balancer : balancers) {
      balancer.awaitServing();
    }
    // Warm code and connections first: what is judged is what faults do.
    pause(1_000);
    standIns.forEach(this::watchOwnLag);
    clientLoops.forEach(this::watchOwnLag);
  }

  /** An upstream joins, behind a link of its own. */
  void add(String name, int cell, long sinceMillis) throws InterruptedException {
    SoakUpstream upstream = new SoakUpstream(name, standIns, log);
    TcpLink link = new TcpLink(standIns.next(), upstream.address(), plan.seed() + cell);
    upstreams.add(upstream);
    upstreamLinks.add(link);
    cells.put(name, cell);
    discovery.tell(name, link.address(), cell, "in_service", sinceMillis);
  }

  /** An upstream's status is another from now on. */
  void change(int upstream, String status, long sinceMillis) {
    String name = upstreams.get(upstream).name();
    discovery.tell(
        name, upstreamLinks.get(upstream).address(), cells.get(name), status, sinceMillis);
    told.changed(name, discovery.index(), System.nanoTime(), !status.equals("in_service"));
  }

  /** All calls of the first balancer end so from now on. */
  void ignoreFirstBalancer() {
    discoveryFaults.always(caller(balancers.get(0)), CallFate.IGNORE);
  }

  private static String caller(SoakBalancer balancer) {
    return "127.0.0.1:" + balancer.discoveryLink().address().getPort();
  }

  private void faults() throws InterruptedException {
    SoakDisturbances disturbances = new SoakDisturbances(this);
    disturbances.start();
    UpstreamReplacement replacement = plan.lists() == null ? null : new UpstreamReplacement(this);
    long end = System.nanoTime() + plan.seconds() * 1_000 * MS;
    while (System.nanoTime() - end < 0) {
      int on = LEAST_FAULT_MILLIS + random.nextInt((int) PERIOD_MILLIS - LEAST_FAULT_MILLIS);
      balancers.forEach(b -> plan.rates().forEach(b.faults()::rate));
      pause(on);
      balancers.forEach(b -> b.faults().stop());
      pause(Math.min(PERIOD_MILLIS - on, Math.max(0, (end - System.nanoTime()) / MS)));
    }
    disturbances.awaitEnd();
    if (replacement != null) {
      replacement.awaitEnd();
    }
  }

  private void recover() throws IOException, InterruptedException {
    balancers.forEach(b -> b.faults().stop());
    upstreams.forEach(u -> u.behave(SoakUpstream.Behaviour.SERVE));
    pause(RECOVERY_MILLIS);
    for (SoakBalancer balancer : balancers) {
      balancer.checkServes();
    }
  }

  private void end() throws IOException, InterruptedException {
    balancers.forEach(b -> b.clients().rest());
    pause(plan.settings().longMillis() + SoakJudge.LATE_NANOS / MS + 100);
    for (SoakBalancer balancer : balancers) {
      balancer.checkDescriptors();
      balancer.checkGuard();
      balancer.faults().injected().forEach((kind, n) -> injected.merge(kind, n, Long::sum));
    }
  }

  static void pause(long millis) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
  }

  private Result judge() {
    Map<String, String> callers = new HashMap<>();
    balancers.forEach(b -> callers.put(caller(b), b.name()));
    discoveryFaults
        .written()
        .forEach(w -> told.written(callers.getOrDefault(w.caller(), ""), w.index(), w.atNanos()));
    List<Broken> broken = new SoakJudge(
            log,
            plan.settings(),
            cells,
            told,
            cold,
            killed,
            plan.has(Disturbance.CROWD),
            this::lateness)
        .judge();
    Map<Integer, Integer> answers = new HashMap<>();
    int requests = 0;
    for (String id : log.ids()) {
      requests++;
      log.of(id).stream()
          .filter(e -> e.what() == RequestLog.Happening.ANSWERED)
          .forEach(e -> answers.merge((int) e.value(), 1, Integer::sum));
    }
    int served = answers.getOrDefault(200, 0);
    int refused = answers.getOrDefault(429, 0) + answers.getOrDefault(503, 0);
    int all = answers.values().stream().mapToInt(n -> n).sum();
    injected.values().removeIf(n -> n == 0);
    return new Result(
        plan,
        requests,
        served,
        refused,
        all - served - refused,
        broken,
        List.copyOf(problems),
        injected,
        discoveryFaults.calls(),
        discoveryFaults.written().size(),
        report(broken),
        lastLines());
  }

  private List<String> lastLines() {
    return balancers.stream().flatMap(b -> b.lastLines().stream()).toList();
  }

  private List<String> report(List<Broken> broken) {
    List<String> lines = new ArrayList<>();
    if (broken.isEmpty() && problems.isEmpty()) {
      return lines;
    }
    String lists = plan.lists() == null
        ? ""
        : " --lists " + plan.lists() + " --balancers " + plan.balancers() + " --seconds "
            + plan.seconds() + (plan.peers() ? " --peers" : "");
    lines.add("repeat by: rig soak --seed " + plan.seed() + " --runs 1" + lists + "; plan " + plan);
    lines.add("own lag at most " + ownLag.get() / MS + " ms");
    problems.forEach(p -> lines.add("problem: " + p));
    broken.stream().limit(MOST_TIMELINES).forEach(b -> {
      lines.add(b.rule() + " " + b.id() + ": " + b.detail());
      lines.addAll(log.timeline(b.id()));
    });
    Map<SoakJudge.Rule, Integer> counts = new EnumMap<>(SoakJudge.Rule.class);
    broken.forEach(b -> counts.merge(b.rule(), 1, Integer::sum));
    lines.add("broken: " + counts);
    lines.addAll(lastLines());
    return lines;
  }
}
