package pumicekeel.sim;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import pumicekeel.quota.QuotaExchange;
import pumicekeel.quota.QuotaSettings;

/**
 * How a whole fleet shares its tenants' quotas, in virtual time and one thread. A seed decides the size, who is asked how much,
 * the faults and the network, and gives the same run again. Held against it at every step: what all members together may admit
 * of a tenant is never more than its quota, in partitions, with wrong views, with members that sleep, die and return. Measured:
 * how much of what could be admitted is, beside fixed even parts.
 */
public final class QuotaSim {

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final long STEP = 50 * MS;
  private static final long FAULTS_UNTIL = 40 * SECOND;
  private static final long END = 60 * SECOND;
  /** After faults, and after the start, before use is measured: parts kept back, and leases of those that are gone. */
  private static final long SETTLE = 8 * SECOND;

  private static final Map<String, Double> QUOTAS = Map.of("a", 1_000.0, "b", 300.0, "c", 40.0);
  /** Sums of doubles. */
  private static final double GRAIN = 1 + 1e-9;

  /** What a run has: faults and demand that jumps, demand that jumps, or demand that rises in small steps at one member. */
  public enum Course {
    FAULTS,
    CALM,
    RISING
  }

  /** By so much of the quota the one member's demand rises in each step, at the most. */
  private static final double RISE = 0.02;

  /**
   * A run's figures; {@code fault} is null where all held. Shares are of what the quotas and the demand of members that run would
   * have let through.
   */
  public record Report(
      long seed,
      int size,
      String fault,
      double shared,
      double fixed,
      long datagrams,
      long bytes,
      long virtualNanos) {}

  private record Arrival(long at, long order, int to, int from, byte[] bytes)
      implements Comparable<Arrival> {
    @Override
    public int compareTo(Arrival other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private final long seed;
  private final int size;
  private final SplittableRandom random;
  private final FleetNetwork network;
  private final QuotaExchange[] members;
  private final boolean[] running;
  private final long[] pausedUntil;
  private final List<String> names = QUOTAS.keySet().stream().sorted().toList();
  private final double[][] demand;
  private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>();
  private final List<byte[]> old = new ArrayList<>();
  private long now;
  private long order;
  private long lives;
  private long datagrams;
  private long bytes;
  private double could;
  private double shared;
  private double fixed;
  private String fault;

  /** A fleet of this size. */
  public QuotaSim(long seed, int size) {
    this.seed = seed;
    this.size = size;
    random = new SplittableRandom(seed);
    network = new FleetNetwork(random.split(), size);
    members = new QuotaExchange[size];
    running = new boolean[size];
    pausedUntil = new long[size];
    demand = new double[size][names.size()];
  }

  /** Plays the seed. */
  public Report run(Course course) {
    boolean faults = course == Course.FAULTS;
    for (int i = 0; i < size; i++) {
      start(i);
    }
    int one = random.nextInt(size);
    if (course != Course.RISING) {
      shiftDemand();
    }
    long shiftAt = course == Course.RISING ? 0 : 10 * SECOND;
    long faultAt = SECOND;
    while (now < END && fault == null) {
      now += STEP;
      if (now >= shiftAt && course == Course.RISING) {
        riseAt(one);
        shiftAt = now + 250 * MS;
      } else if (now >= shiftAt) {
        shiftDemand();
        shiftAt = now + 5 * SECOND + random.nextLong(10 * SECOND);
      }
      if (faults && now >= faultAt && now < FAULTS_UNTIL) {
        disturb();
        faultAt = now + random.nextLong(3 * SECOND);
      } else if (now >= FAULTS_UNTIL && now < FAULTS_UNTIL + STEP) {
        heal();
      }
      step();
    }
    return new Report(
        seed,
        size,
        fault,
        could == 0 ? 1 : shared / could,
        could == 0 ? 1 : fixed / could,
        datagrams,
        bytes,
        now);
  }

  private void step() {
    for (int i = 0; i < size; i++) {
      if (up(i)) {
        for (int t = 0; t < names.size(); t++) {
          members[i].recordRequests(names.get(t), poisson(demand[i][t] * STEP / SECOND), now);
        }
        send(i, members[i].tick(now, view(i)));
      }
    }
    while (!arrivals.isEmpty() && arrivals.peek().at() <= now) {
      Arrival a = arrivals.poll();
      if (!running[a.to()]) {
        continue;
      }
      if (pausedUntil[a.to()] > now) {
        // It waits in the socket until the process goes on.
        arrivals.add(new Arrival(pausedUntil[a.to()] + 1, order++, a.to(), a.from(), a.bytes()));
        continue;
      }
      send(a.to(), members[a.to()].receive(a.from(), a.bytes(), Math.max(a.at(), now - STEP)));
      judge();
    }
    judge();
    if (now >= SETTLE && (now < FAULTS_UNTIL || now >= FAULTS_UNTIL + SETTLE)) {
      measure();
    }
  }

  private boolean up(int i) {
    return running[i] && pausedUntil[i] <= now;
  }

  /** Mostly who runs; now and then anybody, as views are late and wrong. */
  private BitSet view(int of) {
    BitSet view = new BitSet(size);
    for (int i = 0; i < size; i++) {
      view.set(i, running[i]);
    }
    if (random.nextInt(50) == 0) {
      view.flip(random.nextInt(size));
    }
    view.clear(of);
    return view;
  }

  private void send(int from, List<QuotaExchange.OutgoingDatagram> out) {
    for (QuotaExchange.OutgoingDatagram o : out) {
      datagrams++;
      bytes += o.bytes().length;
      if (old.size() < 500 && random.nextInt(20) == 0) {
        old.add(o.bytes());
      }
      for (int i = network.copies(from, o.to()); i > 0; i--) {
        arrivals.add(new Arrival(now + network.delay(), order++, o.to(), from, o.bytes()));
      }
    }
  }

  // What happens

  private void start(int i) {
    if (!running[i]) {
      running[i] = true;
      pausedUntil[i] = 0;
      members[i] = new QuotaExchange(
          QuotaSettings.DEFAULTS,
          i,
          size,
          1_700_000_000_000L + now / MS + lives++,
          random.nextLong(),
          now);
      members[i].setQuotas(QUOTAS, now);
    }
  }

  /** All demand of a tenant is some factor of its quota, spread evenly, over a few, or all at one. */
  private void shiftDemand() {
    for (int t = 0; t < names.size(); t++) {
      double total = QUOTAS.get(names.get(t)) * (0.3 + 1.2 * random.nextDouble());
      double[] weight = new double[size];
      double sum = 0;
      int few = switch (random.nextInt(3)) {
        case 0 -> size;
        case 1 -> Math.max(1, size / 4);
        default -> 1;
      };
      for (int i = 0; i < few; i++) {
        int at = few == size ? i : random.nextInt(size);
        double w = 0.5 + random.nextDouble();
        weight[at] += w;
        sum += w;
      }
      for (int i = 0; i < size; i++) {
        demand[i][t] = total * weight[i] / sum;
      }
    }
  }

  /** A little more at one member, up to the whole quota; the others stay idle. */
  private void riseAt(int one) {
    for (int t = 0; t < names.size(); t++) {
      double quota = QUOTAS.get(names.get(t));
      demand[one][t] = Math.min(quota, demand[one][t] + RISE * quota * random.nextDouble());
    }
  }

  private void disturb() {
    int one = random.nextInt(size);
    switch (random.nextInt(10)) {
      case 0 -> running[one] = false;
      case 1, 2 -> start(one);
      case 3 -> {
        // Dies and is back at once: what its earlier life has lent still runs.
        running[one] = false;
        start(one);
      }
      case 4 -> pausedUntil[one] = now + random.nextLong(10 * SECOND);
      case 5 ->
        network.weather(
            random.nextDouble() * 0.4,
            random.nextDouble() * 0.4,
            (1 + random.nextLong(2_000)) * MS);
      case 6 -> {
        BitSet side = new BitSet(size);
        for (int i = random.nextInt(size + 1); i > 0; i--) {
          side.set(random.nextInt(size));
        }
        network.partition(side);
      }
      case 7 -> network.heal();
      case 8 -> {
        for (int i = 0; i < size; i += 2) {
          running[i] = false;
          start(i);
        }
      }
      default -> replay(one);
    }
  }

  /** One of some time ago, or noise; from any address. */
  private void replay(int to) {
    if (!old.isEmpty()) {
      byte[] some = old.get(random.nextInt(old.size())).clone();
      if (random.nextBoolean()) {
        some[0] ^= 1;
      }
      arrivals.add(new Arrival(now, order++, to, random.nextInt(size), some));
    }
  }

  private void heal() {
    network.heal();
    for (int i = 0; i < size; i++) {
      pausedUntil[i] = 0;
      start(i);
    }
  }

  /** Knuth's product for small means, the normal law beyond. */
  private double poisson(double mean) {
    if (mean > 30) {
      return Math.max(0, Math.rint(mean + Math.sqrt(mean) * random.nextGaussian()));
    }
    double limit = Math.exp(-mean);
    double product = random.nextDouble();
    int n = 0;
    while (product > limit) {
      product *= random.nextDouble();
      n++;
    }
    return n;
  }

  // The rule and the figures

  private void judge() {
    for (String name : names) {
      double sum = 0;
      for (int i = 0; i < size; i++) {
        sum += up(i) ? members[i].rate(name, now) : 0;
      }
      if (sum > QUOTAS.get(name) * GRAIN && fault == null) {
        fault = String.format(
            "all together may admit %.1f a second of a quota of %.0f at %d ms",
            sum, QUOTAS.get(name), now / MS);
      }
    }
  }

  private void measure() {
    for (int t = 0; t < names.size(); t++) {
      double quota = QUOTAS.get(names.get(t));
      double all = 0;
      for (int i = 0; i < size; i++) {
        if (up(i)) {
          all += demand[i][t];
          shared += Math.min(demand[i][t], members[i].rate(names.get(t), now));
          fixed += Math.min(demand[i][t], quota / size);
        }
      }
      could += Math.min(all, quota);
    }
  }
}
