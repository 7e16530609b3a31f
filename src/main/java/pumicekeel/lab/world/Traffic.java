package pumicekeel.lab.world;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;

/**
 * What clients ask for, drawn from the seed alone: an open loop (Poisson) whose arrivals do not wait for answers, with classes by
 * their part, tenants by their share and keys by Zipf's law. Work is log-normal about its class's mean (sigma 0.5, an assumption: the
 * brief gives means only).
 */
public final class Traffic {

  /** A request as its client means it, before any balancer knows of it. */
  public record Arrival(
      long number,
      RequestKind kind,
      int tenant,
      String key,
      double work,
      long waitNanos,
      long hintNanos,
      long patience,
      boolean retries,
      boolean follows) {}

  /** Tenants and their shares, as the brief has them. */
  public static final List<String> TENANTS = List.of("steppe-auto", "agro-tehnika", "kaspi-trucks");

  public static final double[] SHARES = {0.48, 0.35, 0.17};
  private static final double WORK_SIGMA = 0.5;
  private static final double HINT_SIGMA = 0.2;

  private final EventScheduler scheduler;
  private final WorldSpec spec;
  private final List<RequestKind> kinds;
  private final double perSecond;
  private final RandomStream random;
  private final DiscreteSampler keys;
  private final Consumer<Arrival> to;
  private long number;
  private long origin;

  /** {@code capacity}: work that all upstreams can do in a second. */
  public Traffic(
      EventScheduler scheduler,
      WorldSpec spec,
      List<RequestKind> kinds,
      double capacity,
      long seed,
      Consumer<Arrival> to) {
    this.scheduler = scheduler;
    this.spec = spec;
    this.kinds = kinds;
    this.to = to;
    perSecond = spec.load() * capacity / RequestKind.meanWork(kinds);
    random = new RandomStream(seed, "traffic");
    int count = (int) Math.min(10_000_000, spec.keysPerServer() * spec.servers());
    keys =
        count < 1 ? null : RejectionInversionZipfSampler.of(random.source(), count, spec.keySkew());
  }

  /** Requests a second while nothing is the matter. */
  public double perSecond() {
    return perSecond;
  }

  public void start() {
    start(scheduler.now());
  }

  /** Begins at a moment from which the world's seconds count. */
  public void start(long from) {
    origin = from;
    next();
  }

  private void next() {
    double peak = IntStream.range(0, spec.faults().size())
        .mapToDouble(i -> spec.faults().get(i) instanceof FaultSpec.Burst b ? b.times() : 1)
        .filter(t -> t > 1)
        .reduce(1, (a, b) -> a * b);
    // Thinning (Lewis, Shedler 1979): arrivals at the peak's rate, of which the present rate's part
    // is kept.
    scheduler.in((long) (random.exponential() * 1e9 / (perSecond * peak)), () -> {
      boolean comes = random.uniform() * peak < factor((scheduler.now() - origin) / 1e9);
      Arrival ask = draw();
      if (scheduler.now() - origin < spec.seconds() * 1e9) {
        if (comes) {
          to.accept(ask);
        }
        next();
      }
    });
  }

  /** How much of the usual comes at a moment. */
  private double factor(double second) {
    double factor = 1;
    for (FaultSpec t : spec.faults()) {
      if (t instanceof FaultSpec.Burst b && second >= b.from() && second < b.to()) {
        factor *= b.times();
      } else if (t instanceof FaultSpec.Shrink s && second >= s.from()) {
        factor *= 1 - (1 - s.to()) * Math.min(1, (second - s.from()) / s.lasts());
      }
    }
    return factor;
  }

  private Arrival draw() {
    RequestKind kind =
        kinds.get(pick(kinds.stream().mapToDouble(RequestKind::part).toArray()));
    int tenant = pick(SHARES);
    String key = keys == null ? null : "k" + keys.sample();
    double size = random.lognormal(WORK_SIGMA);
    double work = kind.workNanos() * size;
    long hint = (long) (work * random.lognormal(HINT_SIGMA));
    long wait = (long) (kind.waitNanos() * random.between(0.7, 1.3));
    long patience = (long) (kind.type().deadlineNanos() * random.between(0.7, 1));
    boolean retries = random.uniform() < spec.retryPart();
    return new Arrival(
        number++,
        kind,
        tenant,
        key,
        work,
        wait,
        hint,
        patience,
        retries,
        random.uniform() < spec.followPart());
  }

  private int pick(double[] parts) {
    double left = random.uniform();
    for (int i = 0; i < parts.length - 1; i++) {
      left -= parts[i];
      if (left < 0) {
        return i;
      }
    }
    return parts.length - 1;
  }
}
