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
 * The clients and the front layer that spreads them over the balancers: which balancer is asked, retries after a failure or a refusal,
 * and the value earned by answers in time. Retries belong to the client's first attempt; an answer after the wanted time earns nothing
 * (BRIEF).
 */
final class ClientPopulation {

  /** The name decides the draws; a new one would change what a recorded seed plays. */
  private static final String RANDOM_STREAM = "customers";

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  /** Windows of the goal's "worst ten seconds". */
  private static final int WINDOW_SECONDS = 10;
  /** A client that does not follow what it was told waits as long as this at the most. */
  private static final long OWN_WAIT = 500 * MS;
  /** The operators' mix (BRIEF, "How we count"). */
  private static final double WHOLE = 0.55;

  private static final double WORST_TEN = 0.15;
  private static final double WORST_CLASS = 0.05;
  private static final double WORST_TENANT = 0.25;
  private static final long LONGEST_MICROS = 60_000_000L;

  private final FleetRun run;
  private final EventScheduler scheduler;
  private final WorldSpec spec;
  private final RandomStream random;
  private final List<Host> believed = new ArrayList<>();
  private final Histogram latency = new Histogram(LONGEST_MICROS, 3);
  private final double[] askedBySecond;
  private final double[] earnedBySecond;
  private final double[] askedByClass = new double[RequestKind.STANDARD_MIX.size()];
  private final double[] earnedByClass = new double[RequestKind.STANDARD_MIX.size()];
  private final double[] askedByTenant = new double[Traffic.TENANTS.size()];
  private final double[] earnedByTenant = new double[Traffic.TENANTS.size()];
  private long asked;
  private long tries;
  private long served;
  private long refused;
  private long failed;
  private long unreached;

  ClientPopulation(FleetRun run, long seed) {
    this.run = run;
    scheduler = run.scheduler();
    spec = run.spec();
    random = new RandomStream(seed, RANDOM_STREAM);
    askedBySecond = new double[(int) spec.seconds() + 1];
    earnedBySecond = new double[(int) spec.seconds() + 1];
  }

  // The front layer

  void up(Host host) {
    if (!believed.contains(host)) {
      believed.add(host);
    }
  }

  /** It is dead, and the front layer finds out some time later. */
  void down(Host host) {
    scheduler.in((long) (spec.maxFrontDelayNanos() * random.between(0.5, 1)), () -> {
      if (!host.up()) {
        believed.remove(host);
      }
    });
  }

  // Asking

  void ask(Arrival ask) {
    asked++;
    double worth = worth(ask);
    askedBySecond[second()] += worth;
    askedByClass[RequestKind.STANDARD_MIX.indexOf(ask.kind())] += worth;
    askedByTenant[ask.tenant()] += worth;
    go(ask, 0, scheduler.now());
  }

  private int second() {
    return (int) Math.min(askedBySecond.length - 1, scheduler.now() / SECOND);
  }

  private static double worth(Arrival ask) {
    return ask.kind().requestClass().worth() * ask.work();
  }

  private void go(Arrival ask, int number, long askedAt) {
    tries++;
    ClientAttempt t = new ClientAttempt(ask, number, askedAt, scheduler.now() + ask.timeoutNanos());
    Host host = believed.isEmpty() ? null : believed.get(random.below(believed.size()));
    run.trace(
        t,
        "asks "
            + (host == null
                ? "nobody: no balancer is known to be there"
                : "balancer " + host.number)
            + ", " + ask.kind().requestClass().name() + " of " + ask.work() / 1e6
            + " ms of work, waits "
            + ask.timeoutNanos() / MS + " ms");
    if (host == null || !host.up()) {
      scheduler.in(MS, () -> unreached(t));
    } else {
      host.take(t);
    }
  }

  // Answers

  void served(ClientAttempt t) {
    served++;
    long took = scheduler.now() - t.askedAt;
    latency.recordValue(Math.min(LONGEST_MICROS, took / 1_000));
    boolean inTime = took <= t.ask.kind().requestClass().aimNanos();
    run.trace(t, "served after " + took / MS + " ms" + (inTime ? "" : ", too late"));
    if (inTime) {
      double worth = worth(t.ask);
      earnedBySecond[(int) Math.min(earnedBySecond.length - 1, t.askedAt / SECOND)] += worth;
      earnedByClass[RequestKind.STANDARD_MIX.indexOf(t.ask.kind())] += worth;
      earnedByTenant[t.ask.tenant()] += worth;
    }
  }

  void refused(ClientAttempt t, long retryAfter) {
    refused++;
    again(t, retryAfter);
  }

  void failed(ClientAttempt t) {
    failed++;
    again(t, 0);
  }

  /** No balancer was there, or it died with the request. */
  void unreached(ClientAttempt t) {
    unreached++;
    run.trace(t, "its balancer was not there");
    again(t, 0);
  }

  private void again(ClientAttempt t, long told) {
    int storm = storm();
    int most = storm > 0 ? storm : t.ask.retriesOnce() ? 1 : 0;
    if (t.number >= most) {
      return;
    }
    long own = storm > 0 ? MS : (long) (OWN_WAIT * random.between(0.2, 1));
    long wait = storm == 0 && t.ask.honorsRetryAfter() && told > 0 ? told : own;
    scheduler.in(wait, () -> go(t.ask, t.number + 1, t.askedAt));
  }

  private int storm() {
    double second = scheduler.now() / 1e9;
    for (FaultSpec fault : spec.faults()) {
      if (fault instanceof FaultSpec.RetryStorm s && second >= s.start() && second < s.end()) {
        return s.maxRetries();
      }
    }
    return 0;
  }

  // Results

  Figures figures(
      Judge judge, FleetRun.Count count, double wasted, double utilization, long events) {
    double whole = share(sum(earnedBySecond), sum(askedBySecond));
    double ten = worstTen();
    double byClass = worst(earnedByClass, askedByClass);
    double byTenant = worst(earnedByTenant, askedByTenant);
    double goal = WHOLE * whole + WORST_TEN * ten + WORST_CLASS * byClass + WORST_TENANT * byTenant;
    return new Figures(
        whole,
        goal,
        ten,
        byClass,
        byTenant,
        asked,
        tries,
        served,
        refused,
        failed,
        unreached,
        latency.getValueAtPercentile(50) / 1e3,
        latency.getValueAtPercentile(99) / 1e3,
        count.attempts(),
        count.connections(),
        wasted,
        utilization,
        judge.coldShare(),
        judge.all(),
        judge.first(),
        events);
  }

  private double worstTen() {
    double worst = 1;
    for (int from = 0; from + WINDOW_SECONDS <= (int) spec.seconds(); from++) {
      double earned = 0;
      double all = 0;
      for (int s = from; s < from + WINDOW_SECONDS; s++) {
        earned += earnedBySecond[s];
        all += askedBySecond[s];
      }
      worst = Math.min(worst, share(earned, all));
    }
    return worst;
  }

  private static double worst(double[] earned, double[] asked) {
    double worst = 1;
    for (int i = 0; i < asked.length; i++) {
      worst = Math.min(worst, share(earned[i], asked[i]));
    }
    return worst;
  }

  private static double share(double earned, double asked) {
    return asked == 0 ? 1 : earned / asked;
  }

  private static double sum(double[] all) {
    double sum = 0;
    for (double a : all) {
      sum += a;
    }
    return sum;
  }
}
