package pumicekeel.peers;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import pumicekeel.peers.Datagram.Kind;
import pumicekeel.peers.RelayedProbes.RelayedProbe;

/**
 * Failure detection among a fixed list of peers: one member's side of SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar,
 * Phillips, Currey 2017). No I/O; times are readings of one monotonic clock in nanoseconds; all randomness comes from the seed. Members
 * are numbers of the list, so others can't join. A restart has a higher boot epoch, so updates about an earlier life are ignored.
 */
public final class Membership {

  /** A datagram to send to a member. */
  public record OutgoingDatagram(int to, byte[] bytes) {}

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

  /** The part of the probe time after which a helper says that it heard nothing (Lifeguard, section IV.A). */
  private static final double NACK_AFTER_PART = 0.8;
  /** Sequence numbers take four bytes of a datagram. */
  private static final long MAX_SEQUENCE = 0xffffffffL;

  private final MembershipSettings settings;
  private final int self;
  private final int size;
  private final SplittableRandom random;
  private final MembershipTable table;
  private final SuspicionTimers suspicions;
  private final BroadcastQueue broadcasts;
  private final ProbeSchedule schedule;
  private final RelayedProbes relayedProbes = new RelayedProbes();
  private Probe probe;
  private long periodEnds;
  private long syncAt;
  private long sequence;
  private int health;
  private long received;
  private long discarded;
  private long otherVersions;
  private long falseSuspicions;
  private final List<OutgoingDatagram> out = new ArrayList<>();

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
    table = new MembershipTable(size);
    suspicions = new SuspicionTimers(settings);
    broadcasts = new BroadcastQueue(settings.retransmit());
    schedule = new ProbeSchedule(size, random);
    set(new GossipUpdate(
        self, State.ALIVE, Math.max(0, Math.min(epoch, Datagram.MAX_EPOCH - 1)), 0));
    // Members that start together do not probe together.
    periodEnds = now + random.nextLong(settings.periodNanos());
    syncAt = now + random.nextLong(settings.syncNanos());
  }

  // What is known

  /** The state of a member, as far as this one knows. */
  public State stateOf(int member) {
    return table.stateOf(member);
  }

  /** The newest update about a member. */
  public GossipUpdate updateOf(int member) {
    return table.get(member);
  }

  /** Members that are alive or suspected, this one among them: a suspicion is no proof. */
  public int live() {
    return table.live();
  }

  /** Members of which nothing was ever heard. */
  public int unknown() {
    return table.unknown();
  }

  /** The numbers of those that are alive or suspected. */
  public BitSet liveSet() {
    return table.liveSet();
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
    next = Math.min(next, relayedProbes.nextAt());
    if (!suspicions.isEmpty()) {
      next = Math.min(next, suspicions.nextAt(table.live()));
    }
    return next;
  }

  private long probeTime() {
    return settings.probeNanos() * (health + 1);
  }

  /** Does what is due, and hands over what is to be sent. */
  public List<OutgoingDatagram> tick(long now) {
    if (probe != null && !probe.helped && now - probe.sentAt >= probeTime()) {
      requestIndirectProbes();
    }
    for (RelayedProbe expired : relayedProbes.takeExpired(now)) {
      send(expired.requester(), Kind.NACK, expired.requesterSequence(), expired.target());
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

  private List<OutgoingDatagram> taken() {
    List<OutgoingDatagram> taken = List.copyOf(out);
    out.clear();
    return taken;
  }

  private void endPeriod(long now) {
    if (probe != null) {
      health = Math.min(settings.healthMost(), health + 1 + probe.nacksDue);
      GossipUpdate of = table.get(probe.target);
      if (table.isLive(probe.target)) {
        suspect(
            new GossipUpdate(of.member(), State.SUSPECT, of.epoch(), of.incarnation()), self, now);
      }
      probe = null;
    }
    // A clock that jumped or a process that slept starts a new period now, and not as many as it
    // missed.
    periodEnds = now + settings.periodNanos() * (health + 1);
    int target = schedule.next(this::mayBeProbed);
    if (target >= 0) {
      probe = new Probe(target, nextSequence(), now);
      send(target, Kind.PING, probe.sequence, target);
    }
  }

  /** All that are not dead; members never heard of are probed too, without a consequence. */
  private boolean mayBeProbed(int member) {
    return member != self && table.stateOf(member) != State.DEAD;
  }

  private void requestIndirectProbes() {
    probe.helped = true;
    List<Integer> helpers = new ArrayList<>();
    for (int i = 0; i < size && helpers.size() < settings.helpers(); i++) {
      int member = random.nextInt(size);
      if (member != self
          && member != probe.target
          && table.stateOf(member) == State.ALIVE
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

  // Suspicion

  private void endSuspicions(long now) {
    if (suspicions.isEmpty()) {
      return;
    }
    for (int member : suspicions.takeExpired(now, table.live())) {
      GossipUpdate update = table.get(member);
      if (update.state() == State.SUSPECT) {
        set(new GossipUpdate(member, State.DEAD, update.epoch(), update.incarnation()));
      }
    }
  }

  private void suspect(GossipUpdate update, int by, long now) {
    int member = update.member();
    GossipUpdate held = table.get(member);
    boolean same = held.epoch() == update.epoch() && held.incarnation() == update.incarnation();
    if (held.state() == State.SUSPECT && same && suspicions.isRunning(member)) {
      // Sent again only while it adds something: the K first, as the paper has it.
      if (suspicions.confirm(member, by)) {
        broadcasts.add(update);
      }
    } else if (update.overrides(held)) {
      suspicions.start(member, by, now);
      set(update);
    }
  }

  // Messages

  /** Takes a datagram that came from the address of a member, and hands over what is to be sent. */
  public List<OutgoingDatagram> receive(int from, byte[] bytes, long now) {
    Datagram d = Datagram.of(bytes, size);
    if (d == null && Datagram.isOtherVersion(bytes)) {
      otherVersions++;
    }
    if (d == null || d.from() != from || from == self) {
      discarded++;
      return List.of();
    }
    GossipUpdate held = table.get(from);
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
      suspicions.cancel(from);
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
    } else if (r.overrides(table.get(r.member()))) {
      suspicions.cancel(r.member());
      set(r);
    }
  }

  /** Somebody holds this member for suspect or dead, or knows a later life of it: it says otherwise, above that. */
  private void refute(GossipUpdate r) {
    GossipUpdate mine = table.get(self);
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
        if (!relayedProbes.isFull() && d.target() != self) {
          relay(d, now);
        }
      }
      case ACK -> acknowledged(d);
      case NACK -> {
        if (probe != null && probe.sequence == d.sequence() && probe.nacksDue > 0) {
          probe.nacksDue--;
        }
      }
      case SYNC -> sendWith(d.from(), Kind.NACK, 0, self, table.nextPage());
    }
  }

  private void relay(Datagram request, long now) {
    RelayedProbe relayed = new RelayedProbe(
        request.from(),
        request.sequence(),
        request.target(),
        nextSequence(),
        now + (long) (NACK_AFTER_PART * settings.probeNanos()));
    relayedProbes.add(relayed);
    send(relayed.target(), Kind.PING, relayed.sequence(), relayed.target());
  }

  private void acknowledged(Datagram d) {
    if (probe != null && probe.sequence == d.sequence() && probe.target == d.target()) {
      probe = null;
      health = Math.max(0, health - 1);
      return;
    }
    RelayedProbe answered = relayedProbes.takeAnswered(d.from(), d.sequence());
    if (answered != null) {
      send(answered.requester(), Kind.ACK, answered.requesterSequence(), answered.target());
    }
  }

  private long nextSequence() {
    return ++sequence & MAX_SEQUENCE;
  }

  private void send(int to, Kind kind, long with, int target) {
    sendWith(to, kind, with, target, kind == Kind.SYNC ? table.nextPage() : List.of());
  }

  private void sendWith(int to, Kind kind, long with, int target, List<GossipUpdate> first) {
    List<GossipUpdate> updates = new ArrayList<>(first);
    // The buddy system (Lifeguard, section IV.C): a suspected member is told of it by whoever
    // probes it.
    GossipUpdate receiver = table.get(to);
    if (kind == Kind.PING
        && receiver.state() != State.ALIVE
        && receiver.state() != State.UNKNOWN
        && !updates.contains(receiver)) {
      updates.add(receiver);
    }
    broadcasts.fill(updates, table.live());
    GossipUpdate mine = table.get(self);
    out.add(new OutgoingDatagram(
        to,
        new Datagram(kind, self, mine.epoch(), mine.incarnation(), with, target, updates).bytes()));
  }

  private void set(GossipUpdate r) {
    table.put(r);
    broadcasts.add(r);
  }
}
