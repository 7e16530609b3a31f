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
 * The membership of a whole fleet in virtual time and one thread. A seed decides the size, the faults and the network, and
 * gives the same run again. Held against it: while nothing is wrong nobody is taken for dead; once all faults are over, within
 * a stated time, every view is the truth; no datagram is larger than the platform carries.
 */
public final class FleetSim {

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  /** Longest suspicion that can run at the end of the faults, a round of probes, and what spreads it; see the note. */
  private static final long SETTLE_PERIODS = 70;

  /** A run's figures; {@code fault} is null where all held. */
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

  /** A datagram that arrives; a member that has something to do where {@code bytes} is null. */
  private record Event(long at, long order, int to, int from, byte[] bytes)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
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
  private final boolean[] seenDead;
  private final long[] wakesAt;
  private final int[] lives;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<byte[]> old = new ArrayList<>();
  private final List<Long> firstDetections = new ArrayList<>();
  private final List<Long> allDetections = new ArrayList<>();
  private long now;
  private long order;
  private long datagrams;
  private long bytes;
  private long falseDeaths;
  private long refuted;
  private long workNanos;
  private long quietWorkNanos;
  private String fault;

  /** A fleet of this size. */
  public FleetSim(long seed, int size) {
    this.seed = seed;
    this.size = size;
    random = new SplittableRandom(seed);
    network = new FleetNetwork(random.split(), size);
    members = new Membership[size];
    running = new boolean[size];
    pausedUntil = new long[size];
    killedAt = new long[size];
    seenDead = new boolean[size];
    wakesAt = new long[size];
    lives = new int[size];
  }

  // Runs

  /** Faults of every kind by the seed, then quiet, then the truth in every view. */
  public Report faults() {
    for (int i = 0; i < size; i++) {
      if (random.nextInt(4) > 0) {
        start(i);
      }
    }
    long end = 60 * SECOND;
    while (now < end && fault == null) {
      disturb();
      run(now + random.nextLong(6 * SECOND), false);
    }
    network.heal();
    for (int i = 0; i < size; i++) {
      pausedUntil[i] = 0;
      if (members[i] != null) {
        schedule(i);
      }
    }
    run(now + SETTLE_PERIODS * settings.periodNanos(), false);
    checkTruth();
    return report();
  }

  /** Nothing wrong but some loss: nobody is taken for dead. Then one after the other is killed and the time is taken. */
  public Report detection(double loss, int kills, long quietNanos) {
    for (int i = 0; i < size; i++) {
      start(i);
    }
    network.weather(loss, 0, 20 * MS);
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
      int victim = random.nextInt(size);
      if (!running[victim] || count() < 3) {
        continue;
      }
      kill(victim);
      long at = now;
      long first = -1;
      while (now - at < 120 * SECOND && dead(victim) < count()) {
        run(now + 50 * MS, false);
        first = first < 0 && dead(victim) > 0 ? now - at : first;
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

  /** Real time that all members spent in their decisions while nothing was wrong; no part of the run, which is the seed's. */
  public long quietWorkNanos() {
    return quietWorkNanos;
  }

  // Faults

  private void disturb() {
    int one = random.nextInt(size);
    switch (random.nextInt(11)) {
      case 0 -> kill(one);
      case 1 -> {
        // A restart whose wall clock was set back by an hour.
        kill(one);
        start(one, -3_600_000);
      }
      case 2 -> start(one);
      case 3 -> pausedUntil[one] = now + random.nextLong(10 * SECOND);
      case 4 ->
        network.weather(
            random.nextDouble() * 0.5, random.nextDouble() * 0.3, (1 + random.nextLong(200)) * MS);
      case 5 -> network.partition(side(random.nextInt(size + 1)));
      case 6 -> network.cutOneWay(one, random.nextInt(size));
      case 7 -> network.heal();
      case 8 -> half(true);
      case 9 -> half(false);
      default -> forge(one);
    }
  }

  private BitSet side(int count) {
    BitSet side = new BitSet(size);
    for (int i = 0; i < count; i++) {
      side.set(random.nextInt(size));
    }
    return side;
  }

  /** Half of all, or all, die at once and are back a second later. */
  private void half(boolean all) {
    List<Integer> gone = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      if (running[i] && (all || i % 2 == 0)) {
        kill(i);
        gone.add(i);
      }
    }
    run(now + SECOND, false);
    gone.forEach(this::start);
  }

  /** Noise, a cut datagram, another's name, one of an hour ago. */
  private void forge(int to) {
    byte[] some =
        old.isEmpty() ? new byte[0] : old.get(random.nextInt(old.size())).clone();
    byte[] what = switch (random.nextInt(4)) {
      case 0 -> noise();
      case 1 -> java.util.Arrays.copyOf(some, random.nextInt(some.length + 1));
      case 2 -> flipped(some);
      default -> some;
    };
    events.add(new Event(now + 1, order++, to, random.nextInt(size), what));
  }

  private byte[] noise() {
    byte[] noise = new byte[random.nextInt(300)];
    for (int i = 0; i < noise.length; i++) {
      noise[i] = (byte) random.nextInt(256);
    }
    return noise;
  }

  /** Only in its first byte: what is forged well can't be told from what is true without a signature. */
  private static byte[] flipped(byte[] bytes) {
    if (bytes.length > 0) {
      bytes[0] ^= 1;
    }
    return bytes;
  }

  private void start(int i) {
    start(i, 0);
  }

  private void start(int i, long clockOffMillis) {
    if (!running[i]) {
      running[i] = true;
      pausedUntil[i] = 0;
      seenDead[i] = false;
      long epoch = 1_700_000_000_000L + now / MS + clockOffMillis;
      refuted += members[i] == null ? 0 : members[i].refuted();
      members[i] = new Membership(settings, i, size, epoch, random.nextLong() + lives[i]++, now);
      wakesAt[i] = Long.MAX_VALUE;
      schedule(i);
    }
  }

  private void kill(int i) {
    running[i] = false;
    killedAt[i] = now;
  }

  // Time

  private void run(long until, boolean calm) {
    while (fault == null && !events.isEmpty() && events.peek().at() < until) {
      Event e = events.poll();
      now = Math.max(now, e.at());
      if (e.bytes() != null) {
        deliver(e);
      } else {
        wake(e.to(), e.at());
      }
      if (calm && e.bytes() == null) {
        checkCalm(e.to());
      }
    }
    now = Math.max(now, until);
  }

  private void wake(int i, long at) {
    if (!running[i] || wakesAt[i] != at) {
      // Gone, or it has something to do at another time by now.
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

  /** Has a member looked at when it next has something to do. */
  private void schedule(int i) {
    long due = Math.max(now, Math.max(members[i].nextAt(), pausedUntil[i]));
    if (running[i] && due < wakesAt[i]) {
      wakesAt[i] = due;
      events.add(new Event(due, order++, i, i, null));
    }
  }

  private void deliver(Event e) {
    int to = e.to();
    if (!running[to]) {
      return;
    }
    if (pausedUntil[to] > now) {
      // It waits in the socket until the process goes on.
      events.add(new Event(pausedUntil[to] + 1, order++, to, e.from(), e.bytes()));
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
        fault = "a datagram of " + o.bytes().length + " bytes";
      }
      if (old.size() < 1_000 && random.nextInt(50) == 0) {
        old.add(o.bytes());
      }
      for (int i = network.copies(from, o.to()); i > 0; i--) {
        events.add(new Event(now + network.delay(), order++, o.to(), from, o.bytes()));
      }
    }
  }

  // The rules

  private int count() {
    int count = 0;
    for (boolean r : running) {
      count += r ? 1 : 0;
    }
    return count;
  }

  /** Views in which a member is dead. */
  private int dead(int victim) {
    int dead = 0;
    for (int i = 0; i < size; i++) {
      dead += running[i] && members[i].stateOf(victim) == State.DEAD ? 1 : 0;
    }
    return dead;
  }

  private void checkCalm(int who) {
    if (!running[who]) {
      return;
    }
    for (int j = 0; j < size; j++) {
      if (running[j] && members[who].stateOf(j) == State.DEAD && !seenDead[j]) {
        seenDead[j] = true;
        falseDeaths++;
      }
    }
  }

  private void checkTruth() {
    for (int i = 0; i < size && fault == null; i++) {
      for (int j = 0; j < size && running[i] && fault == null; j++) {
        State held = members[i].stateOf(j);
        boolean right = running[j]
            ? held == State.ALIVE || held == State.SUSPECT
            : held == State.DEAD || held == State.UNKNOWN;
        if (!right) {
          fault = "member " + i + " holds " + j + " for " + held + ", which "
              + (running[j] ? "runs" : "is gone since " + (now - killedAt[j]) / SECOND + " s")
              + "; again: sim fleet --seed " + seed + " --size " + size;
        }
      }
    }
  }
}
