package pumicekeel.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import pumicekeel.lab.world.EventScheduler;
import pumicekeel.lab.world.FaultSpec;
import pumicekeel.lab.world.RandomStream;
import pumicekeel.lab.world.RequestKind;
import pumicekeel.lab.world.Traffic;
import pumicekeel.lab.world.Traffic.Arrival;
import pumicekeel.lab.world.WorldSpec;

/**
 * The clients and the front layer that distributes them over the balancers. Chooses the balancer of each try, retries after a failure or
 * a refusal, and accounts for the worth of answers in time. A retry counts for the client's first try; by the operators' requirements an
 * answer after the class's aim earns nothing.
 */
final class ClientPopulation {

  /** Purpose of the random stream. It determines the draws: another name would change the runs of recorded seeds. */
  private static final String RANDOM_STREAM = "customers";

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;

  /** Length of the windows for the goal's "worst ten seconds". */
  private static final int WINDOW_SECONDS = 10;

  /** Maximum wait before a retry by a client that ignores Retry-After. */
  private static final long MAX_OWN_WAIT_NANOS = 500 * MS;

  /** Weights of the goal by which the operators evaluate a run, from their requirements. */
  private static final double WHOLE_RUN_WEIGHT = 0.55;

  private static final double WORST_TEN_SECONDS_WEIGHT = 0.15;
  private static final double WORST_CLASS_WEIGHT = 0.05;
  private static final double WORST_TENANT_WEIGHT = 0.25;
  private static final long MAX_LATENCY_MICROS = 60_000_000L;

  private final FleetRun run;
  private final EventScheduler scheduler;
  private final WorldSpec spec;
  private final RandomStream random;
  private final List<Host> assumedUp = new ArrayList<>();
  private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 3);
  private final double[] offeredBySecond;
  private final double[] earnedBySecond;
  private final double[] offeredByClass = new double[RequestKind.STANDARD_MIX.size()];
  private final double[] earnedByClass = new double[RequestKind.STANDARD_MIX.size()];
  private final double[] offeredByTenant = new double[Traffic.TENANTS.size()];
  private final double[] earnedByTenant = new double[Traffic.TENANTS.size()];
  private long requests;
  private long tries;
  private long served;
  private long refused;
  private long failed;
  private long unreachable;

  ClientPopulation(FleetRun run, long seed) {
    this.run = run;
    scheduler = run.scheduler();
    spec = run.spec();
    random = new RandomStream(seed, RANDOM_STREAM);
    offeredBySecond = new double[(int) spec.seconds() + 1];
    earnedBySecond = new double[(int) spec.seconds() + 1];
  }

  // Front layer

  /** Sends clients to a balancer from now on. */
  void balancerUp(Host host) {
    if (!assumedUp.contains(host)) {
      assumedUp.add(host);
    }
  }

  /** Handles the crash of a balancer. The front layer detects it after a delay. */
  void balancerDown(Host host) {
    scheduler.in((long) (spec.maxFrontDelayNanos() * random.between(0.5, 1)), () -> {
      if (!host.up()) {
        assumedUp.remove(host);
      }
    });
  }

  // Requests

  /** Sends a new request. */
  void submit(Arrival arrival) {
    requests++;
    double worth = worth(arrival);
    offeredBySecond[second()] += worth;
    offeredByClass[RequestKind.STANDARD_MIX.indexOf(arrival.kind())] += worth;
    offeredByTenant[arrival.tenant()] += worth;
    send(arrival, 0, scheduler.now());
  }

  private int second() {
    return (int) Math.min(offeredBySecond.length - 1, scheduler.now() / SECOND);
  }

  private static double worth(Arrival arrival) {
    return arrival.kind().requestClass().worth() * arrival.work();
  }

  private void send(Arrival arrival, int number, long firstSentAt) {
    tries++;
    ClientTry clientTry =
        new ClientTry(arrival, number, firstSentAt, scheduler.now() + arrival.timeoutNanos());
    Host host = assumedUp.isEmpty() ? null : assumedUp.get(random.below(assumedUp.size()));
    run.trace(
        clientTry,
        "sent to "
            + (host == null ? "no balancer: none is known to be up" : "balancer " + host.number)
            + ", " + arrival.kind().requestClass().name() + " with " + arrival.work() / 1e6
            + " ms of work, timeout "
            + arrival.timeoutNanos() / MS + " ms");
    if (host == null || !host.up()) {
      scheduler.in(MS, () -> recordUnreachable(clientTry));
    } else {
      host.accept(clientTry);
    }
  }

  // Answers

  void recordServed(ClientTry clientTry) {
    served++;
    long latencyNanos = scheduler.now() - clientTry.firstSentAt;
    latency.recordValue(Math.min(MAX_LATENCY_MICROS, latencyNanos / 1_000));
    boolean withinAim = latencyNanos <= clientTry.arrival.kind().requestClass().aimNanos();
    run.trace(
        clientTry,
        "served after " + latencyNanos / MS + " ms" + (withinAim ? "" : ", after its aim"));
    if (withinAim) {
      double worth = worth(clientTry.arrival);
      earnedBySecond[(int) Math.min(earnedBySecond.length - 1, clientTry.firstSentAt / SECOND)] +=
          worth;
      earnedByClass[RequestKind.STANDARD_MIX.indexOf(clientTry.arrival.kind())] += worth;
      earnedByTenant[clientTry.arrival.tenant()] += worth;
    }
  }

  void recordRefused(ClientTry clientTry, long retryAfterNanos) {
    refused++;
    retry(clientTry, retryAfterNanos);
  }

  void recordFailed(ClientTry clientTry) {
    failed++;
    retry(clientTry, 0);
  }

  /** Handles a try whose balancer was down or crashed before it answered. */
  void recordUnreachable(ClientTry clientTry) {
    unreachable++;
    run.trace(clientTry, "its balancer was down or crashed");
    retry(clientTry, 0);
  }

  private void retry(ClientTry clientTry, long retryAfterNanos) {
    int stormRetries = stormRetries();
    int maxRetries = stormRetries > 0 ? stormRetries : clientTry.arrival.retriesOnce() ? 1 : 0;
    if (clientTry.number >= maxRetries) {
      return;
    }
    long ownWait = stormRetries > 0 ? MS : (long) (MAX_OWN_WAIT_NANOS * random.between(0.2, 1));
    long wait = stormRetries == 0 && clientTry.arrival.honorsRetryAfter() && retryAfterNanos > 0
        ? retryAfterNanos
        : ownWait;
    scheduler.in(wait, () -> send(clientTry.arrival, clientTry.number + 1, clientTry.firstSentAt));
  }

  /** Returns the maximum number of retries in a current retry storm, or 0. */
  private int stormRetries() {
    double second = scheduler.now() / 1e9;
    for (FaultSpec fault : spec.faults()) {
      if (fault instanceof FaultSpec.RetryStorm s && second >= s.start() && second < s.end()) {
        return s.maxRetries();
      }
    }
    return 0;
  }

  // Results

  /** Returns the figures of the run. */
  Figures figures(
      RuleChecker checker,
      FleetRun.Counters counters,
      double wasted,
      double utilization,
      long events) {
    double wholeRun = share(sum(earnedBySecond), sum(offeredBySecond));
    double worstTenSeconds = worstTenSeconds();
    double byClass = worst(earnedByClass, offeredByClass);
    double byTenant = worst(earnedByTenant, offeredByTenant);
    double goal = WHOLE_RUN_WEIGHT * wholeRun
        + WORST_TEN_SECONDS_WEIGHT * worstTenSeconds
        + WORST_CLASS_WEIGHT * byClass
        + WORST_TENANT_WEIGHT * byTenant;
    return new Figures(
        wholeRun,
        goal,
        worstTenSeconds,
        byClass,
        byTenant,
        requests,
        tries,
        served,
        refused,
        failed,
        unreachable,
        latency.getValueAtPercentile(50) / 1e3,
        latency.getValueAtPercentile(99) / 1e3,
        counters.attempts(),
        counters.connections(),
        wasted,
        utilization,
        checker.coldShare(),
        checker.violations(),
        checker.firstViolation(),
        events);
  }

  private double worstTenSeconds() {
    double worst = 1;
    for (int from = 0; from + WINDOW_SECONDS <= (int) spec.seconds(); from++) {
      double earned = 0;
      double offered = 0;
      for (int s = from; s < from + WINDOW_SECONDS; s++) {
        earned += earnedBySecond[s];
        offered += offeredBySecond[s];
      }
      worst = Math.min(worst, share(earned, offered));
    }
    return worst;
  }

  private static double worst(double[] earned, double[] offered) {
    double worst = 1;
    for (int i = 0; i < offered.length; i++) {
      worst = Math.min(worst, share(earned[i], offered[i]));
    }
    return worst;
  }

  private static double share(double earned, double offered) {
    return offered == 0 ? 1 : earned / offered;
  }

  private static double sum(double[] values) {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum;
  }
}
