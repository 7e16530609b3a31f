package pumicekeel.peers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import pumicekeel.peers.Datagram.Kind;

/**
 * Failure detection among a fixed list of peers: one member's side of SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar,
 * Phillips, Currey 2017). No I/O; times are readings of one monotonic clock in nanoseconds; all randomness comes from the seed. Members
 * are numbers of the list, so others can't join. A restart has a higher boot epoch, so updates about an earlier life are ignored.
 */
public final class Membership {

  /** A datagram to send to a member. */
  public record Out(int to, byte[] bytes) {}

  /** The probe of this period, until it is acknowledged. */
  private static final class Probe {
    private final int target;
    private final long sequence;
    private final long sentAt;
    private boolean helped;
    private int nacksDue;

    private Probe(int target, long sequence, long sentAt) {
      this.target = target;
      this.sequence = sequence;
      this.sentAt = sentAt;
    }
  }

  /** A probe on behalf of another member, which answers its PING_REQUEST with ACK or NACK. */
  private record RelayedProbe(
      int asker, long theirSequence, int target, long sequence, long until) {}

  private static final class Suspicion {
    private final long since;
    private final Set<Integer> from = new HashSet<>();

    private Suspicion(long since, int by) {
      this.since = since;
      from.add(by);
    }
  }

  /** An update and how often it was sent. */
  private static final class Broadcast {
    private final GossipUpdate update;
    private int times;

    private Broadcast(GossipUpdate update) {
      this.update = update;
    }
  }

  /** Probes on behalf of others at one time; a flood of requests must not become a flood of probes. */
  private static final int MAX_RELAYED_PROBES = 64;
  /** The part of the probe time after which a helper says that it heard nothing (Lifeguard, section IV.A). */
  private static final double NACK_AFTER_PART = 0.8;

  private final MembershipSettings settings;
  private final int self;
  private final int size;
  private final SplittableRandom random;
  private final GossipUpdate[] table;
  private final Map<Integer, Suspicion> suspicions = new HashMap<>();
  private final Map<Integer, Broadcast> broadcasts = new HashMap<>();
  private final List<RelayedProbe> relayedProbes = new ArrayList<>();
  private final int[] round;
  private int place;
  private Probe probe;
  private long periodEnds;
  private long syncAt;
  private int syncFrom;
  private long sequence;
  private int health;
  private long received;
  private long discarded;
  private long otherVersions;
  private long falseSuspicions;
  private final List<Out> out = new ArrayList<>();

  /** The member of this number in a list of so many; {@code epoch}: the wall clock in milliseconds at the start. */
  public Membership(
      MembershipSettings settings, int self, int size, long epoch, long seed, long now) {
    if (size < 1 || size > Datagram.MAX_MEMBERS || self < 0 || self >= size) {
      throw new IllegalArgumentException(
          "members: expected 1 to " + Datagram.MAX_MEMBERS + ", got " + self + " of " + size);
    }
    this.settings = settings;
    this.self = self;
    this.size = size;
    random = new SplittableRandom(seed);
    table = new GossipUpdate[size];
    for (int i = 0; i < size; i++) {
      table[i] = new GossipUpdate(i, State.UNKNOWN, 0, 0);
    }
    table[self] = new GossipUpdate(
        self, State.ALIVE, Math.max(0, Math.min(epoch, Datagram.MAX_EPOCH - 1)), 0);
    round = new int[size];
    for (int i = 0; i < size; i++) {
      round[i] = i;
    }
    place = size;
    // Members that start together do not probe together.
    periodEnds = now + random.nextLong(settings.periodNanos());
    syncAt = now + random.nextLong(settings.syncNanos());
    broadcast(table[self]);
  }

  // What is known

  /** What is held of a member. */
  public State stateOf(int member) {
    return table[member].state();
  }

  public GossipUpdate updateOf(int member) {
    return table[member];
  }

  /** Members that are alive or suspected, this one among them: a suspicion is no proof. */
  public int live() {
    return (int) Arrays.stream(table)
        .filter(r -> r.state() == State.ALIVE || r.state() == State.SUSPECT)
        .count();
  }

  /** Members of which nothing was ever heard. */
  public int unknown() {
    return (int) Arrays.stream(table).filter(r -> r.state() == State.UNKNOWN).count();
  }

  /** The numbers of those that are alive or suspected. */
  public BitSet liveSet() {
    BitSet set = new BitSet(size);
    for (GossipUpdate r : table) {
      set.set(r.member(), r.state() == State.ALIVE || r.state() == State.SUSPECT);
    }
    return set;
  }

  /** Lifeguard's score of this member's own health: 0 for well. */
  public int health() {
    return health;
  }

  /** Datagrams that were none, or came from another member's address. */
  public long discarded() {
    return discarded;
  }

  /** Those among them that a build of another version sent: a rolling deploy, or a member that was left out of it. */
  public long otherVersions() {
    return otherVersions;
  }

  /** Suspicions of this member that it had to take back. */
  public long refuted() {
    return falseSuspicions;
  }

  public long received() {
    return received;
  }

  // Time

  /** When {@link #tick} has something to do, at the latest. */
  public long nextAt() {
    long next = Math.min(periodEnds, syncAt);
    if (probe != null && !probe.helped) {
      next = Math.min(next, probe.sentAt + probeTime());
    }
    for (RelayedProbe e : relayedProbes) {
      next = Math.min(next, e.until());
    }
    for (Map.Entry<Integer, Suspicion> s : suspicions.entrySet()) {
      next = Math.min(next, endOf(s.getValue()));
    }
    return next;
  }

  private long probeTime() {
    return settings.probeNanos() * (health + 1);
  }

  /** Does what is due, and hands over what is to be sent. */
  public List<Out> tick(long now) {
    if (probe != null && !probe.helped && now - probe.sentAt >= probeTime()) {
      requestIndirectProbes();
    }
    for (Iterator<RelayedProbe> it = relayedProbes.iterator(); it.hasNext(); ) {
      RelayedProbe e = it.next();
      if (now - e.until() >= 0) {
        it.remove();
        send(e.asker(), Kind.NACK, e.theirSequence(), e.target());
      }
    }
    endSuspicions(now);
    if (now - periodEnds >= 0) {
      endPeriod(now);
    }
    if (now - syncAt >= 0) {
      syncAt = now + settings.syncNanos() / 2 + random.nextLong(settings.syncNanos());
      sync();
    }
    return taken();
  }

  private List<Out> taken() {
    List<Out> taken = List.copyOf(out);
    out.clear();
    return taken;
  }

  private void endPeriod(long now) {
    if (probe != null) {
      health = Math.min(settings.healthMost(), health + 1 + probe.nacksDue);
      GossipUpdate of = table[probe.target];
      if (of.state() == State.ALIVE || of.state() == State.SUSPECT) {
        suspect(
            new GossipUpdate(of.member(), State.SUSPECT, of.epoch(), of.incarnation()), self, now);
      }
      probe = null;
    }
    // A clock that jumped or a process that slept starts a new period now, and not as many as it
    // missed.
    periodEnds = now + settings.periodNanos() * (health + 1);
    int target = next();
    if (target >= 0) {
      probe = new Probe(target, ++sequence & 0xffffffffL, now);
      send(target, Kind.PING, probe.sequence, target);
    }
  }

  /** The next of a shuffled round of all that are not dead; members never heard of are asked too, without a consequence. */
  private int next() {
    for (int tries = 0; tries < 2 * size; tries++) {
      if (place == size) {
        place = 0;
        for (int i = size - 1; i > 0; i--) {
          int j = random.nextInt(i + 1);
          int t = round[i];
          round[i] = round[j];
          round[j] = t;
        }
      }
      int member = round[place++];
      if (member != self && table[member].state() != State.DEAD) {
        return member;
      }
    }
    return -1;
  }

  private void requestIndirectProbes() {
    probe.helped = true;
    List<Integer> helpers = new ArrayList<>();
    for (int i = 0; i < size && helpers.size() < settings.helpers(); i++) {
      int member = random.nextInt(size);
      if (member != self
          && member != probe.target
          && table[member].state() == State.ALIVE
          && !helpers.contains(member)) {
        helpers.add(member);
      }
    }
    probe.nacksDue = helpers.size();
    helpers.forEach(h -> send(h, Kind.PING_REQUEST, probe.sequence, probe.target));
  }

  /** A page of the table goes to any member, dead and unknown ones too: so partitions heal and late ones catch up. */
  private void sync() {
    if (size == 1) {
      return;
    }
    int to = random.nextInt(size - 1);
    send(to >= self ? to + 1 : to, Kind.SYNC, 0, self);
  }

  private List<GossipUpdate> page() {
    List<GossipUpdate> page = new ArrayList<>(Datagram.MAX_UPDATES);
    for (int i = 0; i < size && page.size() < Datagram.MAX_UPDATES; i++) {
      syncFrom = (syncFrom + 1) % size;
      if (table[syncFrom].state() != State.UNKNOWN) {
        page.add(table[syncFrom]);
      }
    }
    return page;
  }

  // Suspicion

  private double log() {
    return Math.max(1, Math.log10(Math.max(1, live())));
  }

  /** Lifeguard, section IV.B: from the longest time to the least as independent suspicions come. */
  private long endOf(Suspicion s) {
    double least = settings.suspicionLeast() * log() * settings.periodNanos();
    double most = settings.suspicionMost() * least;
    // No more confirm than there are others beside the suspect and the first; where nobody can, the
    // least it is.
    int wanted = Math.min(settings.confirmations(), live() - 3);
    int confirmed = Math.min(wanted, s.from.size() - 1);
    double part = wanted <= 0 ? 1 : Math.log(confirmed + 1) / Math.log(wanted + 1);
    return s.since + (long) Math.max(least, most - (most - least) * part);
  }

  private void endSuspicions(long now) {
    List<Integer> over = new ArrayList<>();
    suspicions.forEach((member, s) -> {
      if (now - endOf(s) >= 0) {
        over.add(member);
      }
    });
    for (int member : over) {
      suspicions.remove(member);
      GossipUpdate r = table[member];
      if (r.state() == State.SUSPECT) {
        set(new GossipUpdate(member, State.DEAD, r.epoch(), r.incarnation()));
      }
    }
  }

  private void suspect(GossipUpdate update, int by, long now) {
    Suspicion known = suspicions.get(update.member());
    GossipUpdate held = table[update.member()];
    boolean same = held.epoch() == update.epoch() && held.incarnation() == update.incarnation();
    if (held.state() == State.SUSPECT && same && known != null) {
      // Passed on again only while it adds something: the K first, as the paper has it.
      if (known.from.size() <= settings.confirmations() && known.from.add(by)) {
        broadcast(update);
      }
    } else if (update.overrides(held)) {
      suspicions.put(update.member(), new Suspicion(now, by));
      set(update);
    }
  }

  // Messages

  /** Takes a datagram that came from the address of a member, and hands over what is to be sent. */
  public List<Out> receive(int from, byte[] bytes, long now) {
    Datagram d = Datagram.of(bytes, size);
    if (d == null && Datagram.isOtherVersion(bytes)) {
      otherVersions++;
    }
    if (d == null || d.from() != from || from == self) {
      discarded++;
      return List.of();
    }
    GossipUpdate held = table[from];
    GossipUpdate says = new GossipUpdate(from, State.ALIVE, d.epoch(), d.incarnation());
    if (d.epoch() < held.epoch()) {
      // From an earlier life, or replayed: it says nothing of now, and nothing is done for it but
      // to tell its writer. What it
      // says of this member is heard all the same, as it can only raise this one's number: two
      // whose clocks were both set
      // back would else hold each other for dead for ever, each deaf to the word that would mend
      // it.
      discarded++;
      d.updates().stream().filter(r -> r.member() == self).forEach(this::refute);
      if (d.kind() == Kind.PING || d.kind() == Kind.SYNC) {
        sendWith(from, Kind.NACK, d.sequence(), d.target(), List.of(held));
        return taken();
      }
      return List.of();
    }
    received++;
    if (says.overrides(held)) {
      suspicions.remove(from);
      set(says);
    }
    d.updates().forEach(r -> hear(r, from, now));
    answer(d, now);
    return taken();
  }

  private void hear(GossipUpdate r, int by, long now) {
    if (r.member() == self) {
      refute(r);
    } else if (r.state() == State.SUSPECT) {
      suspect(r, by, now);
    } else if (r.overrides(table[r.member()])) {
      suspicions.remove(r.member());
      set(r);
    }
  }

  /** Somebody holds this member for suspect or dead, or knows a later life of it: it says otherwise, above that. */
  private void refute(GossipUpdate r) {
    GossipUpdate mine = table[self];
    if (r.epoch() > mine.epoch()) {
      // A clock set back at the restart: the number of this life has to be the highest all the
      // same.
      set(new GossipUpdate(self, State.ALIVE, Math.min(r.epoch() + 1, Datagram.MAX_EPOCH - 1), 0));
    } else if (r.epoch() == mine.epoch()
        && r.state() != State.ALIVE
        && r.incarnation() >= mine.incarnation()) {
      falseSuspicions++;
      health = Math.min(settings.healthMost(), health + 1);
      set(new GossipUpdate(self, State.ALIVE, mine.epoch(), r.incarnation() + 1));
    }
  }

  private void answer(Datagram d, long now) {
    switch (d.kind()) {
      case PING -> send(d.from(), Kind.ACK, d.sequence(), self);
      case PING_REQUEST -> {
        if (relayedProbes.size() < MAX_RELAYED_PROBES && d.target() != self) {
          RelayedProbe e = new RelayedProbe(
              d.from(),
              d.sequence(),
              d.target(),
              ++sequence & 0xffffffffL,
              now + (long) (NACK_AFTER_PART * settings.probeNanos()));
          relayedProbes.add(e);
          send(e.target(), Kind.PING, e.sequence(), e.target());
        }
      }
      case ACK -> acknowledged(d);
      case NACK -> {
        if (probe != null && probe.sequence == d.sequence() && probe.nacksDue > 0) {
          probe.nacksDue--;
        }
      }
      case SYNC -> sendWith(d.from(), Kind.NACK, 0, self, page());
    }
  }

  private void acknowledged(Datagram d) {
    if (probe != null && probe.sequence == d.sequence() && probe.target == d.target()) {
      probe = null;
      health = Math.max(0, health - 1);
      return;
    }
    for (Iterator<RelayedProbe> it = relayedProbes.iterator(); it.hasNext(); ) {
      RelayedProbe e = it.next();
      if (e.sequence() == d.sequence() && e.target() == d.from()) {
        it.remove();
        send(e.asker(), Kind.ACK, e.theirSequence(), e.target());
        return;
      }
    }
  }

  private void send(int to, Kind kind, long with, int target) {
    sendWith(to, kind, with, target, kind == Kind.SYNC ? page() : List.of());
  }

  private void sendWith(int to, Kind kind, long with, int target, List<GossipUpdate> first) {
    List<GossipUpdate> updates = new ArrayList<>(first);
    // The buddy system (Lifeguard, section IV.C): one that is suspected is told of it by whoever
    // probes it.
    if (kind == Kind.PING
        && table[to].state() != State.ALIVE
        && table[to].state() != State.UNKNOWN
        && !updates.contains(table[to])) {
      updates.add(table[to]);
    }
    int limit = (int) Math.ceil(settings.retransmit() * Math.max(1, Math.log10(live() + 1)));
    broadcasts.values().stream()
        .sorted(Comparator.<Broadcast>comparingInt(t -> t.times)
            .thenComparingInt(t -> t.update.member()))
        .limit(Datagram.MAX_UPDATES)
        .toList()
        .forEach(t -> {
          if (updates.size() < Datagram.MAX_UPDATES && !updates.contains(t.update)) {
            updates.add(t.update);
            if (++t.times >= limit) {
              broadcasts.remove(t.update.member());
            }
          }
        });
    GossipUpdate mine = table[self];
    out.add(new Out(
        to,
        new Datagram(kind, self, mine.epoch(), mine.incarnation(), with, target, updates).bytes()));
  }

  private void set(GossipUpdate r) {
    table[r.member()] = r;
    broadcast(r);
  }

  /** One pending update per member, so the size of the list is the bound. */
  private void broadcast(GossipUpdate r) {
    broadcasts.put(r.member(), new Broadcast(r));
  }
}
