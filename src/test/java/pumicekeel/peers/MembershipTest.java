package pumicekeel.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.peers.Datagram.Kind;

/** Tests one member in virtual time; the test plays all others. */
class MembershipTest {

  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long EPOCH = 1_000;

  private final Membership member = new Membership(MembershipSettings.DEFAULTS, 0, 8, EPOCH, 1, 0);
  private long now;

  private List<Datagram> tickUntil(long end) {
    List<Datagram> out = new ArrayList<>();
    while (member.nextAt() <= end) {
      now = Math.max(now, member.nextAt());
      member.tick(now).forEach(o -> out.add(Datagram.of(o.bytes(), 8)));
    }
    now = end;
    return out;
  }

  private List<Datagram> receive(
      int from,
      Kind kind,
      long epoch,
      long incarnation,
      long sequence,
      int target,
      GossipUpdate... updates) {
    return member
        .receive(
            from,
            new Datagram(kind, from, epoch, incarnation, sequence, target, List.of(updates))
                .bytes(),
            now)
        .stream()
        .map(o -> Datagram.of(o.bytes(), 8))
        .toList();
  }

  private static GossipUpdate update(int member, State state, long epoch, long incarnation) {
    return new GossipUpdate(member, state, epoch, incarnation);
  }

  /** Makes member 0 consider all others alive. */
  private void markAllAlive() {
    for (int i = 1; i < 8; i++) {
      receive(i, Kind.ACK, 500, 0, 9_999, i);
    }
    assertEquals(8, member.live());
  }

  @Test
  void memberIsUnknownUntilAnUpdateArrivesAndAliveOnAnyMessageOfItsOwn() {
    assertEquals(1, member.live());
    assertEquals(7, member.unknown());
    receive(
        3, Kind.PING, 500, 0, 1, 0, update(4, State.ALIVE, 600, 0), update(5, State.DEAD, 700, 2));
    assertEquals(State.ALIVE, member.stateOf(3));
    assertEquals(State.ALIVE, member.stateOf(4));
    assertEquals(State.DEAD, member.stateOf(5));
    assertEquals(3, member.live());
  }

  @Test
  void unknownMemberIsProbedWithoutAConsequence() {
    List<Datagram> out = tickUntil(60 * SECOND_NANOS);
    assertTrue(out.stream().anyMatch(d -> d.kind() == Kind.PING));
    for (int i = 1; i < 8; i++) {
      assertEquals(State.UNKNOWN, member.stateOf(i));
    }
  }

  @Test
  void pingIsAcknowledgedWithItsSequenceNumber() {
    Datagram ack = receive(2, Kind.PING, 500, 0, 77, 0).get(0);
    assertEquals(Kind.ACK, ack.kind());
    assertEquals(77, ack.sequence());
    assertEquals(0, ack.target());
  }

  @Test
  void silenceLeadsToIndirectProbesThenSuspicionThenDeathAndAMessageOfItsOwnClearsIt() {
    markAllAlive();
    Datagram ping = tickUntil(now + 1 * SECOND_NANOS).stream()
        .filter(d -> d.kind() == Kind.PING)
        .findFirst()
        .orElseThrow();
    List<Datagram> indirect = tickUntil(now + SECOND_NANOS / 2 + SECOND_NANOS / 10);
    assertTrue(indirect.stream()
        .filter(d -> d.kind() == Kind.PING_REQUEST)
        .allMatch(d -> d.target() == ping.target()));
    tickUntil(now + 3 * SECOND_NANOS);
    assertEquals(State.SUSPECT, member.stateOf(ping.target()));
    // It announces itself with the next incarnation.
    receive(ping.target(), Kind.PING, 500, 1, 1, 0);
    assertEquals(State.ALIVE, member.stateOf(ping.target()));
    tickUntil(now + 600 * SECOND_NANOS);
    assertEquals(State.DEAD, member.stateOf(ping.target()));
    assertEquals(1, member.live(), "no member responds any more");
  }

  @Test
  void independentSuspicionsShortenTheTimeoutAndRepeatedOnesDoNot() {
    long[] ends = new long[3];
    for (int variant = 0; variant < 3; variant++) {
      Membership one = new Membership(MembershipSettings.DEFAULTS, 0, 8, EPOCH, 1, 0);
      for (int i = 1; i < 8; i++) {
        one.receive(i, new Datagram(Kind.ACK, i, 500, 0, 9_999, i, List.of()).bytes(), 0);
      }
      int[] from = variant == 0
          ? new int[] {1}
          : variant == 1 ? new int[] {1, 1, 1, 1} : new int[] {1, 2, 3, 4};
      for (int f : from) {
        one.receive(
            f,
            new Datagram(Kind.NACK, f, 500, 0, 0, f, List.of(update(7, State.SUSPECT, 500, 0)))
                .bytes(),
            0);
      }
      long at = 0;
      while (one.stateOf(7) != State.DEAD) {
        // All other members respond, so that only member 7 is ever suspected.
        at = one.nextAt();
        for (Membership.OutgoingDatagram o : one.tick(at)) {
          Datagram d = Datagram.of(o.bytes(), 8);
          if (d.kind() == Kind.PING && o.to() != 7) {
            one.receive(
                o.to(),
                new Datagram(Kind.ACK, o.to(), 500, 0, d.sequence(), o.to(), List.of()).bytes(),
                at);
          }
        }
      }
      ends[variant] = at;
    }
    assertEquals(ends[0], ends[1], "four suspicions by one member count once");
    // A factor of beta in the paper; this member's own probes add one confirmation to each variant.
    assertTrue(ends[2] < ends[0] / 2, ends[2] + " after " + ends[0]);
  }

  @Test
  void suspicionOfTheMemberItselfIsRefutedWithAHigherIncarnation() {
    List<Datagram> out = receive(2, Kind.PING, 500, 0, 1, 0, update(0, State.SUSPECT, EPOCH, 0));
    assertEquals(1, out.get(0).incarnation());
    assertTrue(out.get(0).updates().contains(update(0, State.ALIVE, EPOCH, 1)));
    assertEquals(1, member.refuted());
    assertEquals(1, member.health());
    receive(2, Kind.PING, 500, 0, 2, 0, update(0, State.DEAD, EPOCH, 5));
    assertEquals(6, member.updateOf(0).incarnation());
  }

  @Test
  void restartAfterAClockSetBackGetsAHigherEpoch() {
    receive(2, Kind.PING, 500, 0, 1, 0, update(0, State.DEAD, EPOCH + 3_600_000, 4));
    assertEquals(State.ALIVE, member.updateOf(0).state());
    assertEquals(EPOCH + 3_600_001, member.updateOf(0).epoch());
  }

  @Test
  void outdatedEpochsAndReplayedMessagesAreIgnored() {
    receive(3, Kind.PING, 900, 5, 1, 0);
    long before = member.discarded();
    List<Datagram> replies = receive(3, Kind.PING, 500, 9, 1, 0, update(4, State.DEAD, 9_999, 9));
    assertEquals(before + 1, member.discarded());
    assertEquals(
        State.UNKNOWN,
        member.stateOf(4),
        "updates about others with an outdated epoch are ignored too");
    assertEquals(900, member.updateOf(3).epoch());
    assertTrue(
        replies.get(0).updates().contains(member.updateOf(3)),
        "but the sender is notified of the newer epoch");
    receive(5, Kind.ACK, 500, 0, 1, 5, update(3, State.DEAD, 500, 99));
    assertEquals(State.ALIVE, member.stateOf(3));
  }

  /** Each member knows the other's previous run, which had a later clock, as dead. */
  @Test
  void twoMembersWhoseClocksWereSetBackDiscoverEachOther() {
    Membership one = new Membership(MembershipSettings.DEFAULTS, 0, 2, 100, 1, 0);
    Membership other = new Membership(MembershipSettings.DEFAULTS, 1, 2, 100, 2, 0);
    one.receive(1, new Datagram(Kind.ACK, 1, 900, 0, 1, 1, List.of()).bytes(), 0);
    other.receive(0, new Datagram(Kind.ACK, 0, 900, 0, 1, 0, List.of()).bytes(), 0);
    long at = 0;
    for (int i = 0;
        i < 1_000 && (one.updateOf(1).epoch() <= 900 || other.updateOf(0).epoch() <= 900);
        i++) {
      at = Math.min(one.nextAt(), other.nextAt());
      for (Membership.OutgoingDatagram o :
          one.nextAt() <= at ? one.tick(at) : List.<Membership.OutgoingDatagram>of()) {
        for (Membership.OutgoingDatagram back : other.receive(0, o.bytes(), at)) {
          one.receive(1, back.bytes(), at);
        }
      }
      for (Membership.OutgoingDatagram o :
          other.nextAt() <= at ? other.tick(at) : List.<Membership.OutgoingDatagram>of()) {
        for (Membership.OutgoingDatagram back : one.receive(1, o.bytes(), at)) {
          other.receive(0, back.bytes(), at);
        }
      }
    }
    assertEquals(List.of(State.ALIVE, State.ALIVE), List.of(one.stateOf(1), other.stateOf(0)));
    assertTrue(one.updateOf(1).epoch() > 900 && other.updateOf(0).epoch() > 900);
  }

  @Test
  void spoofedOwnAndEmptyDatagramsAreDiscarded() {
    byte[] of3 = new Datagram(Kind.PING, 3, 500, 0, 1, 0, List.of()).bytes();
    assertEquals(List.of(), member.receive(4, of3, now));
    assertEquals(
        List.of(),
        member.receive(0, new Datagram(Kind.PING, 0, 500, 0, 1, 0, List.of()).bytes(), now));
    assertEquals(List.of(), member.receive(3, new byte[0], now));
    assertEquals(3, member.discarded());
    assertEquals(State.UNKNOWN, member.stateOf(3));
  }

  @Test
  void floodOfProbeRequestsCausesNoFloodOfProbes() {
    markAllAlive();
    int probes = 0;
    for (int i = 0; i < 10_000; i++) {
      probes += receive(1, Kind.PING_REQUEST, 500, 0, i, 2).stream()
          .filter(d -> d.kind() == Kind.PING)
          .count();
    }
    assertTrue(probes <= 64, probes + " probes");
    // After the timeout the requesters get a NACK.
    assertTrue(tickUntil(now + SECOND_NANOS).stream()
            .filter(d -> d.kind() == Kind.NACK)
            .count()
        >= 64);
  }

  @Test
  void relayingMemberForwardsTheAckWithTheRequestersSequence() {
    markAllAlive();
    Datagram ping = receive(1, Kind.PING_REQUEST, 500, 0, 55, 2).stream()
        .filter(d -> d.kind() == Kind.PING)
        .findFirst()
        .orElseThrow();
    Datagram back = receive(2, Kind.ACK, 500, 0, ping.sequence(), 2).get(0);
    assertEquals(Kind.ACK, back.kind());
    assertEquals(55, back.sequence());
    assertEquals(2, back.target());
  }

  @Test
  void missedPeriodsAreNotMadeUpAfterAClockJump() {
    markAllAlive();
    tickUntil(2 * SECOND_NANOS);
    now = 3_600 * SECOND_NANOS;
    int sent = member.tick(now).size() + member.tick(now).size();
    assertTrue(sent <= 6, sent + " datagrams at once after an hour");
  }
}
