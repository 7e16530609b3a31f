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
import pumicekeel.rig.soak.SoakJudge.Violation;
import pumicekeel.rig.soak.SoakPlan.Disturbance;
import pumicekeel.standin.CallHandling;
import pumicekeel.standin.DiscoveryFaults;
import pumicekeel.standin.StandInDiscovery;

/** Runs one plan with processes, upstreams, clients and faults, then checks the logged events. An object runs its plan once. */
public final class SoakRun {

  /** The counts, violations and logs of a run; {@code wholeLists} counts the complete upstream lists that discovery sent. */
  public record Result(
      SoakPlan plan,
      int requests,
      int served,
      int refused,
      int failed,
      List<Violation> violations,
      List<String> problems,
      Map<CallKind, Long> injected,
      long discoveryCalls,
      int wholeLists,
      long peakResidentKilobytes,
      List<String> report,
      List<String> logs) {

    /** Returns whether no rule was violated and no other problem was found. */
    public boolean passed() {
      return violations.isEmpty() && problems.isEmpty();
    }

    /** Returns the counts of the run in one line. */
    public String summary() {
      return "seed " + plan.seed() + ": " + requests + " requests, " + served + " served, "
          + refused + " refused, " + failed + " failed, " + violations.size() + " broken, "
          + problems.size() + " problems; injected " + injected + "; calls to discovery "
          + discoveryCalls + ", lists written whole " + wholeLists + ", "
          + peakResidentKilobytes / 1024 + " MB resident at most";
    }
  }

  /** Number of upstreams in runs without list trouble; a cold one may join. */
  static final int UPSTREAMS = 6;

  /** Number of upstreams in runs with list trouble, so that some always serve while others drain, are stopped or are cold. */
  private static final int LIST_TROUBLE_UPSTREAMS = 16;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  /** Calls fail in the first part of each period of this length. */
  private static final long FAULT_PERIOD_MILLIS = 2_000;

  /** Time within which a large request that is under way is written. */
  private static final long MAX_UPLOAD_MILLIS = 3_000;

  private static final int MIN_FAULT_MILLIS = 500;
  /** Time between the end of the faults and the check that each process serves again. */
  private static final long RECOVERY_MILLIS = 2_500;

  /** Violations that are reported with the timeline of their request. */
  private static final int MAX_TIMELINES = 6;

  private static final int LATENESS_SAMPLE_MILLIS = 5;

  final SoakPlan plan;
  final RequestLog log = new RequestLog();
  final Random random;
  final EventLoopGroup standIns = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  final EventLoopGroup clientLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  final List<SoakBalancer> balancers = new ArrayList<>();
  final List<SoakUpstream> upstreams = new CopyOnWriteArrayList<>();
  final List<TcpLink> upstreamLinks = new CopyOnWriteArrayList<>();
  final Map<String, Integer> cells = new ConcurrentHashMap<>();
  final ChangeNotifications notifications = new ChangeNotifications();
  /** When each cold upstream was announced, by System.nanoTime. */
  final Map<String, Long> cold = new ConcurrentHashMap<>();

  final List<SoakJudge.Killed> killed = new CopyOnWriteArrayList<>();
  final List<SoakJudge.Stopped> stopped = new CopyOnWriteArrayList<>();
  final List<String> problems = new CopyOnWriteArrayList<>();
  /** Largest lateness of this program's own event loops, in ns. */
  final AtomicLong ownLateness = new AtomicLong();

  /** Most memory that one balancer process had resident, in kB. */
  final AtomicLong peakResidentKilobytes = new AtomicLong();

  final RunQueueWaits runQueueWaits = new RunQueueWaits();
  StandInDiscovery discovery;
  private DiscoveryFaults discoveryFaults = DiscoveryFaults.none();
  Path folder;
  private final Map<CallKind, Long> injected = new EnumMap<>(CallKind.class);

  /** Creates a run of this plan. */
  public SoakRun(SoakPlan plan) {
    this.plan = plan;
    random = new Random(plan.seed() ^ 0x5deece66dL);
  }

  /** Runs the plan and checks the result; all processes have exited when it returns. */
  public Result run() throws IOException, InterruptedException {
    folder = Files.createTempDirectory("soak");
    try {
      startAll();
      runFaults();
      checkRecovery();
      finish();
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

  /** Samples the lateness of the test's own threads. It is added to every limit; else a busy machine would appear as a violation. */
  private void sampleOwnLateness(EventExecutor loop) {
    long due = System.nanoTime() + LATENESS_SAMPLE_MILLIS * NANOS_PER_MILLI;
    loop.schedule(
        () -> {
          ownLateness.accumulateAndGet(System.nanoTime() - due, Math::max);
          sampleOwnLateness(loop);
        },
        LATENESS_SAMPLE_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Returns the delay caused by the machine: of this program's threads, and of the event loop of these clients' balancer. */
  long lateness(String clients, long from, long to) {
    return ownLateness.get() + runQueueWaits.between(clients, from, to);
  }

  private void startAll() throws IOException, InterruptedException {
    if (plan.lists() != null) {
      discoveryFaults =
          new DiscoveryFaults(plan.lists().discoverySettings(plan.balancers(), plan.seed()));
    }
    discovery = new StandInDiscovery(standIns, discoveryFaults);
    for (int i = 0; i < (plan.lists() == null ? UPSTREAMS : LIST_TROUBLE_UPSTREAMS); i++) {
      addUpstream("s" + i, i / 2, 0);
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
    // The first second is without faults: slow answers of code that is not yet compiled are no
    // effect of a fault.
    pause(1_000);
    standIns.forEach(this::sampleOwnLateness);
    clientLoops.forEach(this::sampleOwnLateness);
  }

  /** Adds an upstream behind its own link. */
  void addUpstream(String name, int cell, long sinceMillis) throws InterruptedException {
    SoakUpstream upstream = new SoakUpstream(name, standIns, log);
    TcpLink link = new TcpLink(standIns.next(), upstream.address(), plan.seed() + cell);
    upstream.setSlowAnswers(plan.has(Disturbance.SLOW_ANSWERS) ? plan.slowAnswers() : null);
    upstream.setReadsSlowly(plan.has(Disturbance.SLOW_UPLOADS));
    upstreams.add(upstream);
    upstreamLinks.add(link);
    cells.put(name, cell);
    discovery.announce(name, link.address(), cell, "in_service", sinceMillis);
  }

  /** Changes the status of an upstream in discovery. */
  void changeStatus(int upstream, String status, long sinceMillis) {
    String name = upstreams.get(upstream).name();
    discovery.announce(
        name, upstreamLinks.get(upstream).address(), cells.get(name), status, sinceMillis);
    notifications.changed(name, discovery.index(), System.nanoTime(), !status.equals("in_service"));
  }

  /** Makes discovery accept all calls of the first balancer and never answer them. */
  void ignoreCallsOfFirstBalancer() {
    discoveryFaults.always(caller(balancers.get(0)), CallHandling.IGNORE);
  }

  private static String caller(SoakBalancer balancer) {
    return "127.0.0.1:" + balancer.discoveryLink().address().getPort();
  }

  private void runFaults() throws InterruptedException {
    SoakDisturbances disturbances = new SoakDisturbances(this);
    disturbances.start();
    UpstreamReplacement replacement = plan.lists() == null ? null : new UpstreamReplacement(this);
    long end = System.nanoTime() + plan.seconds() * 1_000 * NANOS_PER_MILLI;
    while (System.nanoTime() - end < 0) {
      int faultMillis =
          MIN_FAULT_MILLIS + random.nextInt((int) FAULT_PERIOD_MILLIS - MIN_FAULT_MILLIS);
      balancers.forEach(b -> plan.rates().forEach(b.faults()::setRate));
      pause(faultMillis);
      balancers.forEach(b -> b.faults().stop());
      pause(Math.min(
          FAULT_PERIOD_MILLIS - faultMillis,
          Math.max(0, (end - System.nanoTime()) / NANOS_PER_MILLI)));
    }
    disturbances.awaitEnd();
    if (replacement != null) {
      replacement.awaitEnd();
    }
  }

  private void checkRecovery() throws IOException, InterruptedException {
    balancers.forEach(b -> b.faults().stop());
    upstreams.forEach(u -> u.setBehaviour(SoakUpstream.Behaviour.SERVE));
    pause(RECOVERY_MILLIS);
    for (SoakBalancer balancer : balancers) {
      balancer.checkServes();
    }
  }

  private void finish() throws IOException, InterruptedException {
    balancers.forEach(b -> b.clients().stopSending());
    boolean slow = plan.has(Disturbance.SLOW_ANSWERS) || plan.has(Disturbance.SLOW_UPLOADS);
    long overtimeMillis = slow ? MAX_UPLOAD_MILLIS + SoakClients.MAX_OVERTIME_MILLIS : 0;
    pause(overtimeMillis
        + plan.settings().longMillis()
        + SoakJudge.ANSWER_SLACK_NANOS / NANOS_PER_MILLI
        + 100);
    for (SoakBalancer balancer : balancers) {
      balancer.checkDescriptors();
      balancer.checkMemory();
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
        .forEach(w ->
            notifications.written(callers.getOrDefault(w.caller(), ""), w.index(), w.atNanos()));
    List<Violation> violations = new SoakJudge(
            log,
            plan.settings(),
            cells,
            notifications,
            cold,
            new SoakJudge.Circumstances(
                killed, stopped, plan.has(Disturbance.CROWD), plan.breaksConnections()),
            this::lateness)
        .judge();
    Map<Integer, Integer> answers = new HashMap<>();
    int requests = 0;
    for (String id : log.ids()) {
      requests++;
      log.of(id).stream()
          .filter(e -> e.type() == RequestLog.EventType.ANSWERED)
          .forEach(e -> answers.merge((int) e.value(), 1, Integer::sum));
    }
    int served = answers.getOrDefault(200, 0);
    int refused = answers.getOrDefault(429, 0) + answers.getOrDefault(503, 0);
    int answered = answers.values().stream().mapToInt(n -> n).sum();
    injected.values().removeIf(n -> n == 0);
    return new Result(
        plan,
        requests,
        served,
        refused,
        answered - served - refused,
        violations,
        List.copyOf(problems),
        injected,
        discoveryFaults.calls(),
        discoveryFaults.written().size(),
        peakResidentKilobytes.get(),
        report(violations),
        lastLines());
  }

  private List<String> lastLines() {
    return balancers.stream().flatMap(b -> b.lastLines().stream()).toList();
  }

  private String slowAnswersOption() {
    if (plan.has(Disturbance.OVERTIME_ANSWERS)) {
      return " --overtime-answers";
    }
    return plan.has(Disturbance.SLOW_ANSWERS) ? " --slow-peers" : "";
  }

  private List<String> report(List<Violation> violations) {
    List<String> lines = new ArrayList<>();
    if (violations.isEmpty() && problems.isEmpty()) {
      return lines;
    }
    String lists = plan.lists() == null
        ? ""
        : " --lists " + plan.lists() + " --balancers " + plan.balancers() + " --seconds "
            + plan.seconds() + (plan.peers() ? " --peers" : "");
    lines.add("reproduce with: rig soak --seed " + plan.seed() + " --runs 1" + slowAnswersOption()
        + lists + "; plan " + plan);
    lines.add("own lateness at most " + ownLateness.get() / NANOS_PER_MILLI + " ms");
    problems.forEach(p -> lines.add("problem: " + p));
    violations.stream().limit(MAX_TIMELINES).forEach(v -> {
      lines.add(v.rule() + " " + v.id() + ": " + v.detail());
      lines.addAll(log.timeline(v.id()));
    });
    Map<SoakJudge.Rule, Integer> counts = new EnumMap<>(SoakJudge.Rule.class);
    violations.forEach(v -> counts.merge(v.rule(), 1, Integer::sum));
    lines.add("broken: " + counts);
    lines.addAll(lastLines());
    return lines;
  }
}
