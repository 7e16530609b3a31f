package pumicekeel.sim;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import pumicekeel.peers.Datagram;
import pumicekeel.peers.Membership;
import pumicekeel.peers.MembershipSettings;
import pumicekeel.peers.State;

/**
 * Simulates the membership protocol of a whole fleet in virtual time and one thread. A seed determines the faults and the network,
 * so that the same seed and size give the same run. Checks that no member is declared dead while there are no faults, that every
 * view is correct within a fixed time after the last fault, and that no datagram exceeds the size limit.
 */
public final class FleetSim {

  /** One millisecond of virtual time, in nanoseconds. */
  private static final long MS = 1_000_000L;

  private static final long SECOND = 1_000 * MS;
  /**
   * Protocol periods from the last fault to the check of the views. Cover the longest suspicion that can be pending when the faults end,
   * one round of probes, and the dissemination.
   */
  private static final long SETTLING_PERIODS = 70;

  /**
   * Results of a run; {@code fault} is null if all checks passed. {@code firstDetections} and {@code allDetections} are the times from each
   * kill until the first and until every running member considers the killed one dead; {@code falseDeaths} counts running members that
   * were declared dead, {@code refuted} suspicions that the suspected member refuted.
   */
  public record Report(
      long seed,
      int size,
      String fault,
      long datagrams,
      long bytes,
      long virtualNanos,
      List<Long> firstDetections,
      List<Long> allDetections,
      long falseDeaths,
      long refuted) {}

  /** Arrival of a datagram; the wake-up of a member if {@code bytes} is null. */
  private record Event(long at, long sequence, int to, int from, byte[] bytes)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }

  private final MembershipSettings settings = MembershipSettings.DEFAULTS;
  private final long seed;
  private final int size;
  private final SplittableRandom random;
  private final FleetNetwork network;
  private final Membership[] members;
  private final boolean[] running;
  private final long[] pausedUntil;
  private final long[] killedAt;
  private final boolean[] countedFalseDeath;
  private final long[] wakesAt;
  private final int[] incarnations;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<byte[]> recordedDatagrams = new ArrayList<>();
  private final List<Long> firstDetections = new ArrayList<>();
  private final List<Long> allDetections = new ArrayList<>();
  private long now;
  private long sequence;
  private long datagrams;
  private long bytes;
  private long falseDeaths;
  private long refuted;
  private long workNanos;
  private long quietWorkNanos;
  private String fault;

  /** Creates a fleet of this size. */
  public FleetSim(long seed, int size) {
    this.seed = seed;
    this.size = size;
    random = new SplittableRandom(seed);
    network = new FleetNetwork(random.split(), size);
    members = new Membership[size];
    running = new boolean[size];
    pausedUntil = new long[size];
    killedAt = new long[size];
    countedFalseDeath = new boolean[size];
    wakesAt = new long[size];
    incarnations = new int[size];
  }

  // Runs

  /** Injects faults of every kind, ends them, waits until the fleet has settled, and checks every view. */
  public Report faults() {
    for (int i = 0; i < size; i++) {
      if (random.nextInt(4) > 0) {
        start(i);
      }
    }
    long end = 60 * SECOND;
    while (now < end && fault == null) {
      injectFault();
      run(now + random.nextLong(6 * SECOND), false);
    }
    network.clearFaults();
    for (int i = 0; i < size; i++) {
      pausedUntil[i] = 0;
      if (members[i] != null) {
        schedule(i);
      }
    }
    run(now + SETTLING_PERIODS * settings.periodNanos(), false);
    checkViews();
    return report();
  }

  /** Counts running members that are declared dead under datagram loss, then kills members one by one and measures the detection times. */
  public Report detection(double loss, int kills, long quietNanos) {
    for (int i = 0; i < size; i++) {
      start(i);
    }
    network.setConditions(loss, 0, 20 * MS);
    run(now + 30 * SECOND, false);
    datagrams = 0;
    bytes = 0;
    workNanos = 0;
    long from = now;
    run(now + quietNanos, true);
    quietWorkNanos = workNanos;
    long quietDatagrams = datagrams;
    long quietBytes = bytes;
    for (int k = 0; k < kills && fault == null; k++) {
      int killed = random.nextInt(size);
      if (!running[killed] || runningCount() < 3) {
        continue;
      }
      kill(killed);
      long at = now;
      long first = -1;
      while (now - at < 120 * SECOND && viewsWithDead(killed) < runningCount()) {
        run(now + 50 * MS, false);
        first = first < 0 && viewsWithDead(killed) > 0 ? now - at : first;
      }
      firstDetections.add(first);
      allDetections.add(now - at);
    }
    Report r = report();
    return new Report(
        r.seed(),
        size,
        fault,
        quietDatagrams,
        quietBytes,
        quietNanos == 0 ? now - from : quietNanos,
        r.firstDetections(),
        r.allDetections(),
        falseDeaths,
        refuted);
  }

  private Report report() {
    for (Membership m : members) {
      refuted += m == null ? 0 : m.refuted();
    }
    return new Report(
        seed,
        size,
        fault,
        datagrams,
        bytes,
        now,
        List.copyOf(firstDetections),
        List.copyOf(allDetections),
        falseDeaths,
        refuted);
  }

  /** Returns the real time that all members spent in the protocol before the first kill; the only result that a seed does not determine. */
  public long quietWorkNanos() {
    return quietWorkNanos;
  }

  // Faults

  private void injectFault() {
    int member = random.nextInt(size);
    switch (random.nextInt(11)) {
      case 0 -> kill(member);
      case 1 -> {
        // A restart with the wall clock set back by an hour.
        kill(member);
        start(member, -3_600_000);
      }
      case 2 -> start(member);
      case 3 -> pausedUntil[member] = now + random.nextLong(10 * SECOND);
      case 4 ->
        network.setConditions(
            random.nextDouble() * 0.5, random.nextDouble() * 0.3, (1 + random.nextLong(200)) * MS);
      case 5 -> network.partition(randomSide(random.nextInt(size + 1)));
      case 6 -> network.blockOneWay(member, random.nextInt(size));
      case 7 -> network.clearFaults();
      case 8 -> restartMany(true);
      case 9 -> restartMany(false);
      default -> injectDatagram(member);
    }
  }

  private BitSet randomSide(int count) {
    BitSet side = new BitSet(size);
    for (int i = 0; i < count; i++) {
      side.set(random.nextInt(size));
    }
    return side;
  }

  /** Kills all members, or those with even numbers, at once and restarts them a second later. */
  private void restartMany(boolean all) {
    List<Integer> stopped = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      if (running[i] && (all || i % 2 == 0)) {
        kill(i);
        stopped.add(i);
      }
    }
    run(now + SECOND, false);
    stopped.forEach(this::start);
  }

  /** Injects a datagram: random bytes, a truncated one, a corrupted one or an old one, each with a random sender. */
  private void injectDatagram(int to) {
    byte[] recorded = recordedDatagrams.isEmpty()
        ? new byte[0]
        : recordedDatagrams.get(random.nextInt(recordedDatagrams.size())).clone();
    byte[] datagram = switch (random.nextInt(4)) {
      case 0 -> noise();
      case 1 -> java.util.Arrays.copyOf(recorded, random.nextInt(recorded.length + 1));
      case 2 -> corrupted(recorded);
      default -> recorded;
    };
    events.add(new Event(now + 1, sequence++, to, random.nextInt(size), datagram));
  }

  private byte[] noise() {
    byte[] noise = new byte[random.nextInt(300)];
    for (int i = 0; i < noise.length; i++) {
      noise[i] = (byte) random.nextInt(256);
    }
    return noise;
  }

  /** Corrupts only the first byte: without a signature, a well-formed forgery cannot be distinguished from a real datagram. */
  private static byte[] corrupted(byte[] bytes) {
    if (bytes.length > 0) {
      bytes[0] ^= 1;
    }
    return bytes;
  }

  private void start(int i) {
    start(i, 0);
  }

  private void start(int i, long clockOffsetMillis) {
    if (!running[i]) {
      running[i] = true;
      pausedUntil[i] = 0;
      countedFalseDeath[i] = false;
      long epoch = 1_700_000_000_000L + now / MS + clockOffsetMillis;
      refuted += members[i] == null ? 0 : members[i].refuted();
      members[i] =
          new Membership(settings, i, size, epoch, random.nextLong() + incarnations[i]++, now);
      wakesAt[i] = Long.MAX_VALUE;
      schedule(i);
    }
  }

  private void kill(int i) {
    running[i] = false;
    killedAt[i] = now;
  }

  // Time

  private void run(long until, boolean faultless) {
    while (fault == null && !events.isEmpty() && events.peek().at() < until) {
      Event e = events.poll();
      now = Math.max(now, e.at());
      if (e.bytes() != null) {
        deliver(e);
      } else {
        wake(e.to(), e.at());
      }
      if (faultless && e.bytes() == null) {
        countFalseDeaths(e.to());
      }
    }
    now = Math.max(now, until);
  }

  private void wake(int i, long at) {
    if (!running[i] || wakesAt[i] != at) {
      // The member has stopped, or its wake-up was rescheduled.
      return;
    }
    wakesAt[i] = Long.MAX_VALUE;
    if (pausedUntil[i] <= now && members[i].nextAt() <= now) {
      long from = System.nanoTime();
      List<Membership.OutgoingDatagram> out = members[i].tick(now);
      workNanos += System.nanoTime() - from;
      send(i, out);
    }
    schedule(i);
  }

  /** Schedules the next wake-up of a member. */
  private void schedule(int i) {
    long due = Math.max(now, Math.max(members[i].nextAt(), pausedUntil[i]));
    if (running[i] && due < wakesAt[i]) {
      wakesAt[i] = due;
      events.add(new Event(due, sequence++, i, i, null));
    }
  }

  private void deliver(Event e) {
    int to = e.to();
    if (!running[to]) {
      return;
    }
    if (pausedUntil[to] > now) {
      // The datagram waits in the socket until the process resumes.
      events.add(new Event(pausedUntil[to] + 1, sequence++, to, e.from(), e.bytes()));
      return;
    }
    long from = System.nanoTime();
    List<Membership.OutgoingDatagram> out = members[to].receive(e.from(), e.bytes(), now);
    workNanos += System.nanoTime() - from;
    send(to, out);
    schedule(to);
  }

  private void send(int from, List<Membership.OutgoingDatagram> out) {
    for (Membership.OutgoingDatagram o : out) {
      datagrams++;
      bytes += o.bytes().length;
      if (o.bytes().length > Datagram.MAX_BYTES) {
        fault = "datagram too large: " + o.bytes().length + " bytes";
      }
      if (recordedDatagrams.size() < 1_000 && random.nextInt(50) == 0) {
        recordedDatagrams.add(o.bytes());
      }
      for (int i = network.copies(from, o.to()); i > 0; i--) {
        events.add(new Event(now + network.delay(), sequence++, o.to(), from, o.bytes()));
      }
    }
  }

  // Checks

  private int runningCount() {
    int count = 0;
    for (boolean r : running) {
      count += r ? 1 : 0;
    }
    return count;
  }

  /** Returns the number of views in which a member is dead. */
  private int viewsWithDead(int killed) {
    int dead = 0;
    for (int i = 0; i < size; i++) {
      dead += running[i] && members[i].stateOf(killed) == State.DEAD ? 1 : 0;
    }
    return dead;
  }

  private void countFalseDeaths(int member) {
    if (!running[member]) {
      return;
    }
    for (int j = 0; j < size; j++) {
      if (running[j] && members[member].stateOf(j) == State.DEAD && !countedFalseDeath[j]) {
        countedFalseDeath[j] = true;
        falseDeaths++;
      }
    }
  }

  private void checkViews() {
    for (int i = 0; i < size && fault == null; i++) {
      for (int j = 0; j < size && running[i] && fault == null; j++) {
        State state = members[i].stateOf(j);
        boolean correct = running[j]
            ? state == State.ALIVE || state == State.SUSPECT
            : state == State.DEAD || state == State.UNKNOWN;
        if (!correct) {
          fault = "member " + i + " considers " + j + " to be " + state + ", which "
              + (running[j]
                  ? "is running"
                  : "has been down for " + (now - killedAt[j]) / SECOND + " s")
              + "; replay: sim fleet --seed " + seed + " --size " + size;
        }
      }
    }
  }
}
