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
 * Simulates how a whole fleet shares its tenants' quotas, in virtual time and one thread. A seed determines the demand at each
 * member, the faults and the network, so that the same seed and size give the same run. Checks at every step that all members
 * together never may admit more of a tenant than its quota, in partitions, with wrong views, and with members that pause, crash and
 * restart. Measures the share of the admissible demand that is admitted, in comparison with a fixed even division.
 */
public final class QuotaSim {

  /** One millisecond of virtual time, in nanoseconds. */
  private static final long MS = 1_000_000L;

  private static final long SECOND = 1_000 * MS;
  private static final long STEP_NANOS = 50 * MS;
  private static final long FAULTS_UNTIL_NANOS = 40 * SECOND;
  private static final long END_NANOS = 60 * SECOND;
  /** Time from the start and from the last fault to the measurement: shares held back and leases of departed members expire first. */
  private static final long SETTLING_NANOS = 8 * SECOND;

  private static final Map<String, Double> QUOTAS = Map.of("a", 1_000.0, "b", 300.0, "c", 40.0);
  /** Tolerance for the rounding of sums of doubles. */
  private static final double ROUNDING_TOLERANCE = 1 + 1e-9;

  /** How demand and network behave during a run. */
  public enum Course {
    /** Faults, and abrupt changes of demand. */
    FAULTS,
    /** Abrupt changes of demand without faults. */
    CALM,
    /** Demand that rises in small steps at one member, without faults. */
    RISING
  }

  /** Largest rise of the demand in a step of {@link Course#RISING}, as a share of the quota. */
  private static final double MAX_RISE = 0.02;

  /**
   * Results of a run; {@code fault} is null if the quotas were never exceeded. {@code shared} and {@code fixed} are shares of the
   * demand of running members that the quotas would have admitted: with lending, and with fixed even parts.
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

  private record Arrival(long at, long sequence, int to, int from, byte[] bytes)
      implements Comparable<Arrival> {
    @Override
    public int compareTo(Arrival other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
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
  private final List<byte[]> recordedDatagrams = new ArrayList<>();
  private long now;
  private long sequence;
  private long incarnations;
  private long datagrams;
  private long bytes;
  /** Sums over the measured steps: demand within the quotas, and the parts of it admitted with lending and with fixed even parts. */
  private double admissible;

  private double shared;
  private double fixed;
  private String fault;

  /** Creates a fleet of this size. */
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

  /** Runs the simulation. */
  public Report run(Course course) {
    boolean faults = course == Course.FAULTS;
    for (int i = 0; i < size; i++) {
      start(i);
    }
    int member = random.nextInt(size);
    if (course != Course.RISING) {
      shiftDemand();
    }
    long shiftAt = course == Course.RISING ? 0 : 10 * SECOND;
    long faultAt = SECOND;
    while (now < END_NANOS && fault == null) {
      now += STEP_NANOS;
      if (now >= shiftAt && course == Course.RISING) {
        raiseDemand(member);
        shiftAt = now + 250 * MS;
      } else if (now >= shiftAt) {
        shiftDemand();
        shiftAt = now + 5 * SECOND + random.nextLong(10 * SECOND);
      }
      if (faults && now >= faultAt && now < FAULTS_UNTIL_NANOS) {
        injectFault();
        faultAt = now + random.nextLong(3 * SECOND);
      } else if (now >= FAULTS_UNTIL_NANOS && now < FAULTS_UNTIL_NANOS + STEP_NANOS) {
        endFaults();
      }
      step();
    }
    return new Report(
        seed,
        size,
        fault,
        admissible == 0 ? 1 : shared / admissible,
        admissible == 0 ? 1 : fixed / admissible,
        datagrams,
        bytes,
        now);
  }

  private void step() {
    for (int i = 0; i < size; i++) {
      if (isUp(i)) {
        for (int t = 0; t < names.size(); t++) {
          members[i].recordRequests(names.get(t), poisson(demand[i][t] * STEP_NANOS / SECOND), now);
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
        // The datagram waits in the socket until the process resumes.
        arrivals.add(new Arrival(pausedUntil[a.to()] + 1, sequence++, a.to(), a.from(), a.bytes()));
        continue;
      }
      send(
          a.to(), members[a.to()].receive(a.from(), a.bytes(), Math.max(a.at(), now - STEP_NANOS)));
      checkQuotas();
    }
    checkQuotas();
    if (now >= SETTLING_NANOS
        && (now < FAULTS_UNTIL_NANOS || now >= FAULTS_UNTIL_NANOS + SETTLING_NANOS)) {
      measure();
    }
  }

  private boolean isUp(int i) {
    return running[i] && pausedUntil[i] <= now;
  }

  /** Returns a member's view of the running members, one time in 50 with a random error, as views can be outdated. */
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
      if (recordedDatagrams.size() < 500 && random.nextInt(20) == 0) {
        recordedDatagrams.add(o.bytes());
      }
      for (int i = network.copies(from, o.to()); i > 0; i--) {
        arrivals.add(new Arrival(now + network.delay(), sequence++, o.to(), from, o.bytes()));
      }
    }
  }

  // Demand and faults

  private void start(int i) {
    if (!running[i]) {
      running[i] = true;
      pausedUntil[i] = 0;
      members[i] = new QuotaExchange(
          QuotaSettings.DEFAULTS,
          i,
          size,
          1_700_000_000_000L + now / MS + incarnations++,
          random.nextLong(),
          now);
      members[i].setQuotas(QUOTAS, now);
    }
  }

  /** Sets the demand of each tenant to 0.3 to 1.5 times its quota, over all members, over a quarter of them, or at one. */
  private void shiftDemand() {
    for (int t = 0; t < names.size(); t++) {
      double total = QUOTAS.get(names.get(t)) * (0.3 + 1.2 * random.nextDouble());
      double[] weight = new double[size];
      double sum = 0;
      int loadedMembers = switch (random.nextInt(3)) {
        case 0 -> size;
        case 1 -> Math.max(1, size / 4);
        default -> 1;
      };
      for (int i = 0; i < loadedMembers; i++) {
        int at = loadedMembers == size ? i : random.nextInt(size);
        double w = 0.5 + random.nextDouble();
        weight[at] += w;
        sum += w;
      }
      for (int i = 0; i < size; i++) {
        demand[i][t] = total * weight[i] / sum;
      }
    }
  }

  /** Raises the demand at one member by a small step, up to the whole quota; the others stay idle. */
  private void raiseDemand(int member) {
    for (int t = 0; t < names.size(); t++) {
      double quota = QUOTAS.get(names.get(t));
      demand[member][t] =
          Math.min(quota, demand[member][t] + MAX_RISE * quota * random.nextDouble());
    }
  }

  private void injectFault() {
    int member = random.nextInt(size);
    switch (random.nextInt(10)) {
      case 0 -> running[member] = false;
      case 1, 2 -> start(member);
      case 3 -> {
        // A crash with an immediate restart: what the earlier process has lent is still in force.
        running[member] = false;
        start(member);
      }
      case 4 -> pausedUntil[member] = now + random.nextLong(10 * SECOND);
      case 5 ->
        network.setConditions(
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
      case 7 -> network.clearFaults();
      case 8 -> {
        for (int i = 0; i < size; i += 2) {
          running[i] = false;
          start(i);
        }
      }
      default -> replay(member);
    }
  }

  /** Injects an old datagram, intact or corrupted, with a random sender. */
  private void replay(int to) {
    if (!recordedDatagrams.isEmpty()) {
      byte[] datagram =
          recordedDatagrams.get(random.nextInt(recordedDatagrams.size())).clone();
      if (random.nextBoolean()) {
        datagram[0] ^= 1;
      }
      arrivals.add(new Arrival(now, sequence++, to, random.nextInt(size), datagram));
    }
  }

  private void endFaults() {
    network.clearFaults();
    for (int i = 0; i < size; i++) {
      pausedUntil[i] = 0;
      start(i);
    }
  }

  /** Draws from a Poisson distribution: Knuth's product method for small means, the normal approximation beyond. */
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

  // Checks and measurements

  private void checkQuotas() {
    for (String name : names) {
      double sum = 0;
      for (int i = 0; i < size; i++) {
        sum += isUp(i) ? members[i].rate(name, now) : 0;
      }
      if (sum > QUOTAS.get(name) * ROUNDING_TOLERANCE && fault == null) {
        fault = String.format(
            "all members together may admit %.1f per second of a quota of %.0f at %d ms",
            sum, QUOTAS.get(name), now / MS);
      }
    }
  }

  private void measure() {
    for (int t = 0; t < names.size(); t++) {
      double quota = QUOTAS.get(names.get(t));
      double all = 0;
      for (int i = 0; i < size; i++) {
        if (isUp(i)) {
          all += demand[i][t];
          shared += Math.min(demand[i][t], members[i].rate(names.get(t), now));
          fixed += Math.min(demand[i][t], quota / size);
        }
      }
      admissible += Math.min(all, quota);
    }
  }
}
