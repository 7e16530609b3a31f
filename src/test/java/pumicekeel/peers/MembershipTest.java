package pumicekeel.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.peers.Datagram.Kind;

/** One member, to which a test speaks for all others, in virtual time. */
class MembershipTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long EPOCH = 1_000;

  private final Membership m = new Membership(MembershipSettings.DEFAULTS, 0, 8, EPOCH, 1, 0);
  private long now;

  private List<Datagram> tickUntil(long end) {
    List<Datagram> out = new ArrayList<>();
    while (m.nextAt() <= end) {
      now = Math.max(now, m.nextAt());
      m.tick(now).forEach(o -> out.add(Datagram.of(o.bytes(), 8)));
    }
    now = end;
    return out;
  }

  private List<Datagram> hear(
      int from,
      Kind kind,
      long epoch,
      long incarnation,
      long sequence,
      int target,
      GossipUpdate... updates) {
    return m
        .receive(
            from,
            new Datagram(kind, from, epoch, incarnation, sequence, target, List.of(updates))
                .bytes(),
            now)
        .stream()
        .map(o -> Datagram.of(o.bytes(), 8))
        .toList();
  }

  private static GossipUpdate says(int member, State state, long epoch, long incarnation) {
    return new GossipUpdate(member, state, epoch, incarnation);
  }

  /** All others are alive as far as member 0 knows. */
  private void allAlive() {
    for (int i = 1; i < 8; i++) {
      hear(i, Kind.ACK, 500, 0, 9_999, i);
    }
    assertEquals(8, m.live());
  }

  @Test
  void nobodyIsKnownUntilHeardOfAndAnyWordOfItsOwnMakesAMemberAlive() {
    assertEquals(1, m.live());
    assertEquals(7, m.unknown());
    hear(3, Kind.PING, 500, 0, 1, 0, says(4, State.ALIVE, 600, 0), says(5, State.DEAD, 700, 2));
    assertEquals(State.ALIVE, m.stateOf(3));
    assertEquals(State.ALIVE, m.stateOf(4));
    assertEquals(State.DEAD, m.stateOf(5));
    assertEquals(3, m.live());
  }

  @Test
  void memberNeverHeardOfIsProbedWithoutAConsequence() {
    List<Datagram> out = tickUntil(60 * SECOND);
    assertTrue(out.stream().anyMatch(d -> d.kind() == Kind.PING));
    for (int i = 1; i < 8; i++) {
      assertEquals(State.UNKNOWN, m.stateOf(i));
    }
  }

  @Test
  void pingIsAnsweredAndItsSequenceComesBack() {
    Datagram ack = hear(2, Kind.PING, 500, 0, 77, 0).get(0);
    assertEquals(Kind.ACK, ack.kind());
    assertEquals(77, ack.sequence());
    assertEquals(0, ack.target());
  }

  @Test
  void silenceLeadsToHelpThenSuspicionThenDeathAndAWordOfItsOwnEndsIt() {
    allAlive();
    Datagram ping = tickUntil(now + 1 * SECOND).stream()
        .filter(d -> d.kind() == Kind.PING)
        .findFirst()
        .orElseThrow();
    List<Datagram> helped = tickUntil(now + SECOND / 2 + SECOND / 10);
    assertTrue(helped.stream()
        .filter(d -> d.kind() == Kind.PING_REQUEST)
        .allMatch(d -> d.target() == ping.target()));
    tickUntil(now + 3 * SECOND);
    assertEquals(State.SUSPECT, m.stateOf(ping.target()));
    // It says that it is there, one incarnation up.
    hear(ping.target(), Kind.PING, 500, 1, 1, 0);
    assertEquals(State.ALIVE, m.stateOf(ping.target()));
    tickUntil(now + 600 * SECOND);
    assertEquals(State.DEAD, m.stateOf(ping.target()));
    assertEquals(1, m.live(), "nobody answers any more");
  }

  @Test
  void independentSuspicionsShortenItAndRepeatsOfOneDoNot() {
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
            new Datagram(Kind.NACK, f, 500, 0, 0, f, List.of(says(7, State.SUSPECT, 500, 0)))
                .bytes(),
            0);
      }
      long at = 0;
      while (one.stateOf(7) != State.DEAD) {
        // Its silence towards this one must not count here: nobody else is silent.
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
    assertEquals(ends[0], ends[1], "one that says it four times is one");
    // A factor of beta in the paper; probes of its own add one confirmation to each.
    assertTrue(ends[2] < ends[0] / 2, ends[2] + " after " + ends[0]);
  }

  @Test
  void ownSuspicionIsTakenBackAboveIt() {
    List<Datagram> out = hear(2, Kind.PING, 500, 0, 1, 0, says(0, State.SUSPECT, EPOCH, 0));
    assertEquals(1, out.get(0).incarnation());
    assertTrue(out.get(0).updates().contains(says(0, State.ALIVE, EPOCH, 1)));
    assertEquals(1, m.refuted());
    assertEquals(1, m.health());
    hear(2, Kind.PING, 500, 0, 2, 0, says(0, State.DEAD, EPOCH, 5));
    assertEquals(6, m.updateOf(0).incarnation());
  }

  @Test
  void lifeAfterAClockSetBackOutranksTheOneBefore() {
    hear(2, Kind.PING, 500, 0, 1, 0, says(0, State.DEAD, EPOCH + 3_600_000, 4));
    assertEquals(State.ALIVE, m.updateOf(0).state());
    assertEquals(EPOCH + 3_600_001, m.updateOf(0).epoch());
  }

  @Test
  void earlierLifeAndReplayedWordsCountForNothing() {
    hear(3, Kind.PING, 900, 5, 1, 0);
    long before = m.discarded();
    List<Datagram> told = hear(3, Kind.PING, 500, 9, 1, 0, says(4, State.DEAD, 9_999, 9));
    assertEquals(before + 1, m.discarded());
    assertEquals(
        State.UNKNOWN, m.stateOf(4), "what an earlier life says of others is not heard either");
    assertEquals(900, m.updateOf(3).epoch());
    assertTrue(
        told.get(0).updates().contains(m.updateOf(3)),
        "but its writer is told of what outranks it");
    hear(5, Kind.ACK, 500, 0, 1, 5, says(3, State.DEAD, 500, 99));
    assertEquals(State.ALIVE, m.stateOf(3));
  }

  /** Each holds the other's last life, which had a later clock, for dead. */
  @Test
  void twoWhoseClocksWereBothSetBackFindEachOther() {
    Membership one = new Membership(MembershipSettings.DEFAULTS, 0, 2, 100, 1, 0);
    Membership other = new Membership(MembershipSettings.DEFAULTS, 1, 2, 100, 2, 0);
    one.receive(1, new Datagram(Kind.ACK, 1, 900, 0, 1, 1, List.of()).bytes(), 0);
    other.receive(0, new Datagram(Kind.ACK, 0, 900, 0, 1, 0, List.of()).bytes(), 0);
    long at = 0;
    for (int i = 0;
        i < 1_000 && (one.updateOf(1).epoch() <= 900 || other.updateOf(0).epoch() <= 900);
        i++) {
      at = Math.min(one.nextAt(), other.nextAt());
      for (Membership.OutgoingDatagram o : one.nextAt() <= at ? one.tick(at) : List.<Membership.OutgoingDatagram>of()) {
        for (Membership.OutgoingDatagram back : other.receive(0, o.bytes(), at)) {
          one.receive(1, back.bytes(), at);
        }
      }
      for (Membership.OutgoingDatagram o : other.nextAt() <= at ? other.tick(at) : List.<Membership.OutgoingDatagram>of()) {
        for (Membership.OutgoingDatagram back : one.receive(1, o.bytes(), at)) {
          other.receive(0, back.bytes(), at);
        }
      }
    }
    assertEquals(List.of(State.ALIVE, State.ALIVE), List.of(one.stateOf(1), other.stateOf(0)));
    assertTrue(one.updateOf(1).epoch() > 900 && other.updateOf(0).epoch() > 900);
  }

  @Test
  void anothersNameAndOnesOwnAreDiscarded() {
    byte[] of3 = new Datagram(Kind.PING, 3, 500, 0, 1, 0, List.of()).bytes();
    assertEquals(List.of(), m.receive(4, of3, now));
    assertEquals(
        List.of(), m.receive(0, new Datagram(Kind.PING, 0, 500, 0, 1, 0, List.of()).bytes(), now));
    assertEquals(List.of(), m.receive(3, new byte[0], now));
    assertEquals(3, m.discarded());
    assertEquals(State.UNKNOWN, m.stateOf(3));
  }

  @Test
  void floodOfRequestsForHelpIsNoFloodOfProbes() {
    allAlive();
    int probes = 0;
    for (int i = 0; i < 10_000; i++) {
      probes += hear(1, Kind.PING_REQUEST, 500, 0, i, 2).stream()
          .filter(d -> d.kind() == Kind.PING)
          .count();
    }
    assertTrue(probes <= 64, probes + " probes");
    // And after a time those that asked are told that nothing was heard.
    assertTrue(
        tickUntil(now + SECOND).stream().filter(d -> d.kind() == Kind.NACK).count() >= 64);
  }

  @Test
  void helperPassesTheAnswerOnWithTheAskersSequence() {
    allAlive();
    Datagram ping = hear(1, Kind.PING_REQUEST, 500, 0, 55, 2).stream()
        .filter(d -> d.kind() == Kind.PING)
        .findFirst()
        .orElseThrow();
    Datagram back = hear(2, Kind.ACK, 500, 0, ping.sequence(), 2).get(0);
    assertEquals(Kind.ACK, back.kind());
    assertEquals(55, back.sequence());
    assertEquals(2, back.target());
  }

  @Test
  void clockThatJumpsDoesNotMakeUpForWhatItMissed() {
    allAlive();
    tickUntil(2 * SECOND);
    now = 3_600 * SECOND;
    int sent = m.tick(now).size() + m.tick(now).size();
    assertTrue(sent <= 6, sent + " datagrams at once after an hour");
  }
}
