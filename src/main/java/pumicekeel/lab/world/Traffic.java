package pumicekeel.lab.world;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;

/**
 * The requests of all clients, drawn from the seed alone: an open loop with Poisson arrivals that do not wait for answers. Classes and
 * tenants are drawn by their shares and session keys by Zipf's law. Work is log-normal around the class's mean with a sigma of 0.5; this
 * is an assumption, as the operators' requirements state means only.
 */
public final class Traffic {

  /**
   * A request as its client creates it, before it is sent to a balancer.
   *
   * @param work in nanoseconds on a core of the reference speed
   * @param waitNanos time in which it waits for other systems at the upstream
   * @param hintNanos the client's estimate of the work
   * @param timeoutNanos how long the client waits for an answer to each try
   * @param retriesOnce whether the client retries once after a failure or a refusal
   * @param honorsRetryAfter whether a retry waits for the time given in Retry-After
   */
  public record Arrival(
      long number,
      RequestKind kind,
      int tenant,
      String sessionKey,
      double work,
      long waitNanos,
      long hintNanos,
      long timeoutNanos,
      boolean retriesOnce,
      boolean honorsRetryAfter) {}

  /** The tenants in the operators' requirements. */
  public static final List<String> TENANTS = List.of("steppe-auto", "agro-tehnika", "kaspi-trucks");

  /** Share of each tenant in all requests. */
  public static final double[] TENANT_SHARES = {0.48, 0.35, 0.17};

  private static final double WORK_SIGMA = 0.5;
  private static final double HINT_SIGMA = 0.2;

  private final EventScheduler scheduler;
  private final WorldSpec spec;
  private final List<RequestKind> kinds;
  private final double requestsPerSecond;
  private final RandomStream random;
  private final DiscreteSampler keys;
  private final Consumer<Arrival> receiver;
  private long nextNumber;
  private long startNanos;

  /** Creates the traffic of a world; {@code capacity} is the work that all upstreams together can do per second. */
  public Traffic(
      EventScheduler scheduler,
      WorldSpec spec,
      List<RequestKind> kinds,
      double capacity,
      long seed,
      Consumer<Arrival> receiver) {
    this.scheduler = scheduler;
    this.spec = spec;
    this.kinds = kinds;
    this.receiver = receiver;
    requestsPerSecond = spec.load() * capacity / RequestKind.meanWork(kinds);
    random = new RandomStream(seed, "traffic");
    int count = (int) Math.min(10_000_000, spec.keysPerServer() * spec.servers());
    keys =
        count < 1 ? null : RejectionInversionZipfSampler.of(random.source(), count, spec.keySkew());
  }

  /** Returns the request rate outside of faults. */
  public double requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Starts the arrivals now. */
  public void start() {
    start(scheduler.now());
  }

  /** Starts the arrivals; the world's time counts from {@code at}. */
  public void start(long at) {
    startNanos = at;
    scheduleNext();
  }

  private void scheduleNext() {
    double peak = IntStream.range(0, spec.faults().size())
        .mapToDouble(i -> spec.faults().get(i) instanceof FaultSpec.Burst b ? b.factor() : 1)
        .filter(rateFactor -> rateFactor > 1)
        .reduce(1, (a, b) -> a * b);
    // Thinning (Lewis, Shedler 1979): arrivals come at the peak rate, and each is kept with the
    // probability current rate / peak rate.
    scheduler.in((long) (random.exponential() * 1e9 / (requestsPerSecond * peak)), () -> {
      boolean kept = random.uniform() * peak < rateFactor((scheduler.now() - startNanos) / 1e9);
      Arrival arrival = drawArrival();
      if (scheduler.now() - startNanos < spec.seconds() * 1e9) {
        if (kept) {
          receiver.accept(arrival);
        }
        scheduleNext();
      }
    });
  }

  /** Returns the ratio of the request rate at a time to the rate outside of faults. */
  private double rateFactor(double second) {
    double rateFactor = 1;
    for (FaultSpec fault : spec.faults()) {
      if (fault instanceof FaultSpec.Burst b && second >= b.start() && second < b.end()) {
        rateFactor *= b.factor();
      } else if (fault instanceof FaultSpec.Shrink s && second >= s.start()) {
        rateFactor *=
            1 - (1 - s.remainingShare()) * Math.min(1, (second - s.start()) / s.duration());
      }
    }
    return rateFactor;
  }

  private Arrival drawArrival() {
    RequestKind kind =
        kinds.get(pick(kinds.stream().mapToDouble(RequestKind::share).toArray()));
    int tenant = pick(TENANT_SHARES);
    String sessionKey = keys == null ? null : "k" + keys.sample();
    double size = random.lognormal(WORK_SIGMA);
    double work = kind.workNanos() * size;
    long hintNanos = (long) (work * random.lognormal(HINT_SIGMA));
    long waitNanos = (long) (kind.waitNanos() * random.between(0.7, 1.3));
    long timeoutNanos = (long) (kind.requestClass().deadlineNanos() * random.between(0.7, 1));
    boolean retriesOnce = random.uniform() < spec.retryShare();
    return new Arrival(
        nextNumber++,
        kind,
        tenant,
        sessionKey,
        work,
        waitNanos,
        hintNanos,
        timeoutNanos,
        retriesOnce,
        random.uniform() < spec.honorRetryAfterShare());
  }

  private int pick(double[] shares) {
    double remaining = random.uniform();
    for (int i = 0; i < shares.length - 1; i++) {
      remaining -= shares[i];
      if (remaining < 0) {
        return i;
      }
    }
    return shares.length - 1;
  }
}
