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
 * are identified by their position in the list, so others cannot join. A restart has a higher boot epoch, so updates about an earlier run
 * of a member are ignored.
 */
public final class Membership {

  /** A datagram to send to a member. */
  public record OutgoingDatagram(int to, byte[] bytes) {}

  /** The probe of the current period, until it is acknowledged. */
  private static final class Probe {
    private final int target;
    private final long sequence;
    private final long sentAt;
    private boolean indirect;
    private int pendingNacks;

    private Probe(int target, long sequence, long sentAt) {
      this.target = target;
      this.sequence = sequence;
      this.sentAt = sentAt;
    }
  }

  /** Fraction of the probe timeout after which a relaying member reports that it got no response (Lifeguard, section IV.A). */
  private static final double NACK_AFTER_FRACTION = 0.8;
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
  private long periodEndsAt;
  private long nextSyncAt;
  private long sequence;
  private int health;
  private long received;
  private long discarded;
  private long otherVersions;
  private long refuted;
  private final List<OutgoingDatagram> outgoing = new ArrayList<>();

  /** Creates member {@code self} of a list of {@code size}; {@code epoch} is the wall-clock time at start-up in milliseconds. */
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
    // Random offsets, so that members that start together do not probe at the same time.
    periodEndsAt = now + random.nextLong(settings.periodNanos());
    nextSyncAt = now + random.nextLong(settings.syncNanos());
  }

  // Current view

  /** Returns the state of a member as known here. */
  public State stateOf(int member) {
    return table.stateOf(member);
  }

  /** Returns the newest update about a member. */
  public GossipUpdate updateOf(int member) {
    return table.get(member);
  }

  /** Returns the number of members that are alive or suspected, including this one: a suspicion does not prove a failure. */
  public int live() {
    return table.live();
  }

  /** Returns the number of members of which nothing has ever been received. */
  public int unknown() {
    return table.unknown();
  }

  /** Returns the numbers of the members that are alive or suspected. */
  public BitSet liveSet() {
    return table.liveSet();
  }

  /** Returns Lifeguard's local health score of this member: 0 is healthy. */
  public int health() {
    return health;
  }

  /** Returns the number of datagrams that were invalid, stale or sent from another member's address. */
  public long discarded() {
    return discarded;
  }

  /** Returns how many of the discarded datagrams have another protocol version: sent during a rolling deploy, or by a member it missed. */
  public long otherVersions() {
    return otherVersions;
  }

  /** Returns the number of suspicions of this member that it has refuted. */
  public long refuted() {
    return refuted;
  }

  public long received() {
    return received;
  }

  // Timers

  /** Returns the time at which {@link #tick} is due at the latest. */
  public long nextAt() {
    long next = Math.min(periodEndsAt, nextSyncAt);
    if (probe != null && !probe.indirect) {
      next = Math.min(next, probe.sentAt + probeTimeoutNanos());
    }
    next = Math.min(next, relayedProbes.nextAt());
    if (!suspicions.isEmpty()) {
      next = Math.min(next, suspicions.nextAt(table.live()));
    }
    return next;
  }

  private long probeTimeoutNanos() {
    return settings.probeNanos() * (health + 1);
  }

  /** Performs the actions that are due and returns the datagrams to send. */
  public List<OutgoingDatagram> tick(long now) {
    if (probe != null && !probe.indirect && now - probe.sentAt >= probeTimeoutNanos()) {
      requestIndirectProbes();
    }
    for (RelayedProbe expired : relayedProbes.takeExpired(now)) {
      send(expired.requester(), Kind.NACK, expired.requesterSequence(), expired.target());
    }
    expireSuspicions(now);
    if (now - periodEndsAt >= 0) {
      endPeriod(now);
    }
    if (now - nextSyncAt >= 0) {
      nextSyncAt = now + settings.syncNanos() / 2 + random.nextLong(settings.syncNanos());
      sync();
    }
    return drainOutgoing();
  }

  private List<OutgoingDatagram> drainOutgoing() {
    List<OutgoingDatagram> drained = List.copyOf(outgoing);
    outgoing.clear();
    return drained;
  }

  private void endPeriod(long now) {
    if (probe != null) {
      health = Math.min(settings.maxHealthScore(), health + 1 + probe.pendingNacks);
      GossipUpdate known = table.get(probe.target);
      if (table.isLive(probe.target)) {
        suspect(
            new GossipUpdate(known.member(), State.SUSPECT, known.epoch(), known.incarnation()),
            self,
            now);
      }
      probe = null;
    }
    // After a clock jump or a suspension one new period starts now; missed periods are not made up.
    periodEndsAt = now + settings.periodNanos() * (health + 1);
    int target = schedule.next(this::mayBeProbed);
    if (target >= 0) {
      probe = new Probe(target, nextSequence(), now);
      send(target, Kind.PING, probe.sequence, target);
    }
  }

  /** Returns true for all but dead members; unknown members are probed too, but a missing response has no consequence. */
  private boolean mayBeProbed(int member) {
    return member != self && table.stateOf(member) != State.DEAD;
  }

  private void requestIndirectProbes() {
    probe.indirect = true;
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
    probe.pendingNacks = helpers.size();
    helpers.forEach(h -> send(h, Kind.PING_REQUEST, probe.sequence, probe.target));
  }

  /** Sends a page of the table to a random member, dead and unknown ones included, so that partitions heal and late starters catch up. */
  private void sync() {
    if (size == 1) {
      return;
    }
    int to = random.nextInt(size - 1);
    send(to >= self ? to + 1 : to, Kind.SYNC, 0, self);
  }

  // Suspicion

  private void expireSuspicions(long now) {
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
    GossipUpdate known = table.get(member);
    boolean same = known.epoch() == update.epoch() && known.incarnation() == update.incarnation();
    if (known.state() == State.SUSPECT && same && suspicions.isRunning(member)) {
      // Only the first K confirmations are gossiped, as the paper specifies: later ones no longer
      // shorten the timeout.
      if (suspicions.confirm(member, by)) {
        broadcasts.add(update);
      }
    } else if (update.overrides(known)) {
      suspicions.start(member, by, now);
      set(update);
    }
  }

  // Messages

  /** Handles a datagram received from the address of a member and returns the datagrams to send. */
  public List<OutgoingDatagram> receive(int from, byte[] bytes, long now) {
    Datagram d = Datagram.of(bytes, size);
    if (d == null && Datagram.isOtherVersion(bytes)) {
      otherVersions++;
    }
    if (d == null || d.from() != from || from == self) {
      discarded++;
      return List.of();
    }
    GossipUpdate known = table.get(from);
    GossipUpdate announced = new GossipUpdate(from, State.ALIVE, d.epoch(), d.incarnation());
    if (d.epoch() < known.epoch()) {
      // Sent before the sender's last restart, or replayed: it is outdated and only answered with
      // the known epoch. Its updates about this member are applied all the same, as they can only
      // raise this member's epoch or incarnation: otherwise two members whose clocks were both set
      // back would consider each other dead permanently, as each would ignore the update that
      // corrects it.
      discarded++;
      d.updates().stream().filter(r -> r.member() == self).forEach(this::refute);
      if (d.kind() == Kind.PING || d.kind() == Kind.SYNC) {
        sendWith(from, Kind.NACK, d.sequence(), d.target(), List.of(known));
        return drainOutgoing();
      }
      return List.of();
    }
    received++;
    if (announced.overrides(known)) {
      suspicions.cancel(from);
      set(announced);
    }
    d.updates().forEach(r -> apply(r, from, now));
    respond(d, now);
    return drainOutgoing();
  }

  private void apply(GossipUpdate r, int by, long now) {
    if (r.member() == self) {
      refute(r);
    } else if (r.state() == State.SUSPECT) {
      suspect(r, by, now);
    } else if (r.overrides(table.get(r.member()))) {
      suspicions.cancel(r.member());
      set(r);
    }
  }

  /** Refutes an update that declares this member suspect or dead, or has a later epoch of it, by one that supersedes it. */
  private void refute(GossipUpdate r) {
    GossipUpdate mine = table.get(self);
    if (r.epoch() > mine.epoch()) {
      // The clock was set back before the restart; the epoch of this run has to be the highest
      // nevertheless.
      set(new GossipUpdate(self, State.ALIVE, Math.min(r.epoch() + 1, Datagram.MAX_EPOCH - 1), 0));
    } else if (r.epoch() == mine.epoch()
        && r.state() != State.ALIVE
        && r.incarnation() >= mine.incarnation()) {
      refuted++;
      health = Math.min(settings.maxHealthScore(), health + 1);
      set(new GossipUpdate(self, State.ALIVE, mine.epoch(), r.incarnation() + 1));
    }
  }

  private void respond(Datagram d, long now) {
    switch (d.kind()) {
      case PING -> send(d.from(), Kind.ACK, d.sequence(), self);
      case PING_REQUEST -> {
        if (!relayedProbes.isFull() && d.target() != self) {
          relay(d, now);
        }
      }
      case ACK -> acknowledge(d);
      case NACK -> {
        if (probe != null && probe.sequence == d.sequence() && probe.pendingNacks > 0) {
          probe.pendingNacks--;
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
        now + (long) (NACK_AFTER_FRACTION * settings.probeNanos()));
    relayedProbes.add(relayed);
    send(relayed.target(), Kind.PING, relayed.sequence(), relayed.target());
  }

  private void acknowledge(Datagram d) {
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

  private void send(int to, Kind kind, long sequenceNumber, int target) {
    sendWith(to, kind, sequenceNumber, target, kind == Kind.SYNC ? table.nextPage() : List.of());
  }

  private void sendWith(
      int to, Kind kind, long sequenceNumber, int target, List<GossipUpdate> first) {
    List<GossipUpdate> updates = new ArrayList<>(first);
    // The buddy system (Lifeguard, section IV.C): whoever probes a suspected member notifies it of
    // the suspicion.
    GossipUpdate receiver = table.get(to);
    if (kind == Kind.PING
        && receiver.state() != State.ALIVE
        && receiver.state() != State.UNKNOWN
        && !updates.contains(receiver)) {
      updates.add(receiver);
    }
    broadcasts.fill(updates, table.live());
    GossipUpdate mine = table.get(self);
    outgoing.add(new OutgoingDatagram(
        to,
        new Datagram(kind, self, mine.epoch(), mine.incarnation(), sequenceNumber, target, updates)
            .bytes()));
  }

  private void set(GossipUpdate r) {
    table.put(r);
    broadcasts.add(r);
  }
}
