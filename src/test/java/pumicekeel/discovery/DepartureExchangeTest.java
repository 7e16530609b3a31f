package pumicekeel.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pumicekeel.discovery.DepartureMessage.Kind;
import pumicekeel.discovery.HostTable.Changes;

/** Fleets in virtual time whose datagrams are delayed, lost or repeated, driven by a seed. */
class DepartureExchangeTest {

  private static final long MS = 1_000_000L;
  private static final long TICK = 20 * MS;
  private static final long S1 = HostList.idOf("s-1");

  private static final class Member {
    private final ListCurrency currency;
    private final DepartureExchange exchange;
    private final Set<Long> departed = new HashSet<>();

    private Member(int size, long version, long seed) {
      currency = new ListCurrency(false, 2_000 * MS, 0);
      exchange = new DepartureExchange(currency, size, seed);
      exchange.start(version);
    }
  }

  private record Delivery(long at, int to, int from, byte[] bytes) {}

  private final List<Member> members = new ArrayList<>();
  private final PriorityQueue<Delivery> deliveries =
      new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
  private SplittableRandom random;
  private double loss;
  private long now;
  private int sent;
  private int largest;

  private void fleet(int size, long version, long seed) {
    members.clear();
    deliveries.clear();
    random = new SplittableRandom(seed);
    now = 0;
    sent = 0;
    for (int i = 0; i < size; i++) {
      members.add(new Member(size, version, seed * 1_000 + i));
    }
  }

  private void until(long end, int... membersWithDiscovery) {
    for (; now < end; now += TICK) {
      for (int i : membersWithDiscovery) {
        members.get(i).currency.markCurrent(now);
      }
      while (!deliveries.isEmpty() && deliveries.peek().at() <= now) {
        Delivery delivery = deliveries.poll();
        Member to = members.get(delivery.to());
        to.departed.addAll(to.exchange.receive(delivery.from(), delivery.bytes(), now));
      }
      for (int i = 0; i < members.size(); i++) {
        send(i, members.get(i).exchange.tick(now));
      }
    }
  }

  private void send(int from, List<byte[]> datagrams) {
    for (byte[] bytes : datagrams) {
      sent++;
      largest = Math.max(largest, bytes.length);
      for (int to = 0; to < members.size(); to++) {
        if (to != from && random.nextDouble() >= loss) {
          deliveries.add(new Delivery(now + MS + random.nextLong(20 * MS), to, from, bytes));
        }
      }
    }
  }

  private static DepartureMessage.Departure away(long id) {
    return new DepartureMessage.Departure(id, DepartureMessage.AWAY);
  }

  private static int[] first(int count) {
    int[] all = new int[count];
    Arrays.setAll(all, i -> i);
    return all;
  }

  @Test
  void balancerCutOffFromDiscoveryLearnsOfDeparturesFromPeers() {
    for (long seed = 1; seed <= 50; seed++) {
      fleet(100, 8, seed);
      loss = 0.3;
      until(3_000 * MS, first(30));
      for (int i = 0; i < 30; i++) {
        members.get(i).exchange.listUpdated(9, false, new Changes(Set.of(S1), Set.of()), now);
      }
      until(6_000 * MS, first(30));
      for (int i = 30; i < 100; i++) {
        assertTrue(members.get(i).exchange.hasDeparted(S1), "member " + i + ", seed " + seed);
        assertTrue(members.get(i).currency.age(now) < 3_500 * MS, "member " + i + ", seed " + seed);
      }
    }
  }

  @Test
  void balancerStartedLaterQueriesForDeparturesMissingFromItsList() {
    for (long seed = 1; seed <= 50; seed++) {
      fleet(3, 8, seed);
      loss = 0;
      members.get(0).currency.markCurrent(0);
      members.get(0).exchange.listUpdated(9, false, new Changes(Set.of(S1), Set.of()), now);
      until(5_000 * MS, 0);
      members.set(2, new Member(3, 8, seed));
      members.get(2).currency.confirmedByPeer(now);
      until(6_000 * MS, 0);
      assertTrue(members.get(2).exchange.hasDeparted(S1), "seed " + seed);
    }
  }

  @Test
  void numberOfReportsDoesNotGrowWithTheFleet() {
    for (int size : new int[] {20, 100, 400}) {
      fleet(size, 8, size);
      loss = 0;
      until(1_000 * MS, first(size));
      sent = 0;
      for (int i = 0; i < size; i++) {
        members.get(i).exchange.listUpdated(9, false, new Changes(Set.of(S1), Set.of()), now);
      }
      until(5_000 * MS, first(size));
      assertTrue(sent <= 20, "sent " + sent + " of " + size);
      System.out.println(size + " members: " + sent + " datagrams to all for one change");
      sent = 0;
      until(35_000 * MS, first(size));
      assertEquals(0, sent, "no datagrams without a change");
    }
  }

  @Test
  void reportedReturnTakesEffectOnceItCountsAsAnnounced() {
    fleet(2, 8, 1);
    loss = 0;
    members.get(0).currency.markCurrent(0);
    members.get(0).exchange.listUpdated(9, false, new Changes(Set.of(S1), Set.of()), now);
    until(2_000 * MS, 0);
    long returned = now;
    members.get(0).exchange.listUpdated(13, false, new Changes(Set.of(), Set.of(S1)), now);
    Member other = members.get(1);
    List<DepartureExchange.ReturnedUpstream> back = List.of();
    while (back.isEmpty() && now < 20_000 * MS) {
      until(now + TICK, 0);
      back = other.exchange.pollReturned(now);
      assertTrue(!back.isEmpty() || other.exchange.hasDeparted(S1), "departed until then");
    }
    assertEquals(S1, back.get(0).id());
    assertTrue(now - returned >= 6_000 * MS, "back after " + (now - returned) / MS + " ms");
    assertTrue(now - returned <= 6_500 * MS, "back after " + (now - returned) / MS + " ms");
    assertTrue(
        Math.abs(back.get(0).startedNanos() - returned) <= 100 * MS,
        "a returned upstream counts as cold");
    assertFalse(other.exchange.hasDeparted(S1));
    int millis = (int) ((now - returned) / MS);
    for (DepartureMessage again : DepartureMessage.report(
        Kind.TELL, 8, 13, 0, List.of(new DepartureMessage.Departure(S1, millis)))) {
      assertEquals(Set.of(), other.exchange.receive(0, again.encode(), now));
      assertFalse(
          other.exchange.hasDeparted(S1), "a repeated report marks no upstream as departed");
    }
  }

  @Test
  void ownListOlderThanTheReportRestoresNoUpstream() {
    fleet(2, 8, 1);
    loss = 0;
    members.get(0).currency.markCurrent(0);
    members.get(0).exchange.listUpdated(9, false, new Changes(Set.of(S1), Set.of()), now);
    until(2_000 * MS, 0);
    members.get(0).exchange.listUpdated(13, false, new Changes(Set.of(), Set.of()), now);
    until(4_000 * MS, 0);
    Member other = members.get(1);
    assertTrue(other.exchange.hasDeparted(S1));
    other.currency.markCurrent(now);
    assertEquals(
        Set.of(),
        other.exchange.listUpdated(8, false, new Changes(Set.of(), Set.of()), now),
        "an older list does not cover the report");
    assertTrue(other.exchange.hasDeparted(S1));
    assertEquals(
        Set.of(S1), other.exchange.listUpdated(13, false, new Changes(Set.of(), Set.of()), now));
    assertFalse(other.exchange.hasDeparted(S1));
  }

  /**
   * Guards against sends by an old list: a restarted balancer, whose list skipped versions, confirmed a list from in between, though it
   * did not know what had joined and departed meanwhile.
   */
  @Test
  void listThatSkippedAVersionConfirmsNoListOfThatVersion() {
    for (long seed = 1; seed <= 50; seed++) {
      fleet(3, 8, seed);
      loss = 0;
      members.get(1).exchange.listUpdated(9, false, new Changes(Set.of(), Set.of(S1)), now);
      until(5_000 * MS);
      members.get(0).currency.markCurrent(now);
      members.get(0).exchange.listUpdated(12, true, new Changes(Set.of(S1), Set.of()), now);
      until(9_000 * MS, 0);
      assertEquals(0, members.get(1).currency.asOf(), "version 9 was skipped, seed " + seed);
      assertTrue(members.get(1).exchange.hasDeparted(S1), "what is known is told, seed " + seed);
      assertTrue(members.get(2).currency.age(now) < 3_500 * MS, "version 8 was not, seed " + seed);
    }
  }

  /** Guards against an outage by the query that each balancer sends at its start, whether or not discovery answers it. */
  @Test
  void queryAtTheStartOfABalancerIsNoSignOfAnOutage() {
    fleet(2, 8, 1);
    byte[] atStart = new Member(2, 8, 1).exchange.tick(TICK).get(0);
    Member other = members.get(1);
    other.exchange.receive(0, atStart, 9_000 * MS);
    assertFalse(other.currency.sendable(9_000 * MS));
    byte[] starving = DepartureMessage.query(8, 2_600).encode();
    other.exchange.receive(0, starving, 9_000 * MS);
    assertTrue(other.currency.sendable(9_000 * MS));
  }

  /** Guards against sends to a departed upstream: its departure was forgotten after 30 s, though the list was still confirmed. */
  @Test
  void departureIsKnownForAsLongAsReportsConfirmTheList() {
    fleet(2, 8, 1);
    loss = 0;
    until(1_000 * MS, 0);
    members.get(0).exchange.listUpdated(9, false, new Changes(Set.of(S1), Set.of()), now);
    until(60_000 * MS, 0);
    assertTrue(members.get(1).currency.age(now) < 3_500 * MS);
    assertTrue(members.get(1).exchange.hasDeparted(S1));
  }

  /** Guards against an upstream that is left unused: a report of versions that are unrelated to those here is given up. */
  @Test
  void departureThatDiscoveryNeverConfirmsIsForgotten() {
    fleet(2, 8, 1);
    byte[] unrelated = DepartureMessage.report(Kind.TELL, 900, 901, 0, List.of(away(S1)))
        .get(0)
        .encode();
    members.get(1).exchange.receive(0, unrelated, now);
    until(29_000 * MS, 1);
    assertTrue(members.get(1).exchange.hasDeparted(S1));
    until(31_000 * MS, 1);
    assertFalse(members.get(1).exchange.hasDeparted(S1));
  }

  /** Guards against a list that is confirmed by a report whose departures there was no room for. */
  @Test
  void reportWithoutRoomForItsDeparturesConfirmsNothing() {
    fleet(2, 8, 1);
    for (int id = 0; id <= 10_000; id++) {
      byte[] far = DepartureMessage.report(Kind.TELL, 900, 901, 0, List.of(away(id)))
          .get(0)
          .encode();
      members.get(1).exchange.receive(0, far, MS);
    }
    byte[] next =
        DepartureMessage.report(Kind.TELL, 8, 9, 0, List.of(away(-1))).get(0).encode();
    members.get(1).exchange.receive(0, next, 5_000 * MS);
    assertEquals(0, members.get(1).currency.asOf());
  }

  /** Guards against a list that is confirmed though a part of the report is lost: parts of two reports were taken for one. */
  @Test
  void partsOfTwoReportsMakeNoWholeReport() {
    fleet(2, 8, 1);
    List<DepartureMessage.Departure> many = new ArrayList<>();
    for (long id = 1; id <= 25; id++) {
      many.add(away(id));
    }
    DepartureMessage first =
        DepartureMessage.report(Kind.TELL, 8, 11, 300, many).get(0);
    DepartureMessage second =
        DepartureMessage.report(Kind.TELL, 8, 11, 900, many).get(1);
    members.get(1).exchange.receive(0, first.encode(), 5_000 * MS);
    members.get(1).exchange.receive(0, second.encode(), 5_600 * MS);
    assertEquals(0, members.get(1).currency.asOf());
  }

  @Test
  void reportThatDoesNotReachBackConfirmsNothing() {
    fleet(2, 8, 1);
    ListCurrency currency = members.get(1).currency;
    DepartureExchange exchange = members.get(1).exchange;
    byte[] after9 =
        DepartureMessage.report(Kind.TELL, 9, 11, 0, List.of(away(S1))).get(0).encode();
    assertEquals(Set.of(S1), exchange.receive(0, after9, 5_000 * MS));
    assertEquals(0, currency.asOf());
    byte[] after8 =
        DepartureMessage.report(Kind.TELL, 8, 11, 500, List.of(away(S1))).get(0).encode();
    exchange.receive(0, after8, 5_000 * MS);
    assertEquals(4_400 * MS, currency.asOf());
  }

  @Test
  void reportOfSeveralPartsConfirmsOnceAllHaveArrived() {
    fleet(2, 8, 1);
    List<DepartureMessage.Departure> many = new ArrayList<>();
    for (long id = 1; id <= 45; id++) {
      many.add(away(id));
    }
    List<DepartureMessage> parts = DepartureMessage.report(Kind.TELL, 8, 11, 0, many);
    assertEquals(3, parts.size());
    ListCurrency currency = members.get(1).currency;
    for (int i : new int[] {2, 0, 0}) {
      members.get(1).exchange.receive(0, parts.get(i).encode(), 5_000 * MS);
      assertEquals(0, currency.asOf());
    }
    members.get(1).exchange.receive(0, parts.get(1).encode(), 5_000 * MS);
    assertEquals(4_900 * MS, currency.asOf());
  }

  @Test
  void invalidDatagramsAreDropped() {
    SplittableRandom noise = new SplittableRandom(1);
    byte[] good =
        DepartureMessage.report(Kind.TELL, 8, 9, 0, List.of(away(S1))).get(0).encode();
    assertNull(DepartureMessage.decode(new byte[0]));
    assertNull(DepartureMessage.decode(Arrays.copyOf(good, good.length - 1)));
    assertNull(DepartureMessage.decode(Arrays.copyOf(good, good.length + 1)));
    fleet(2, 8, 1);
    for (int i = 0; i < 100_000; i++) {
      byte[] bytes = new byte[noise.nextInt(300)];
      noise.nextBytes(bytes);
      System.arraycopy(good, 0, bytes, 0, Math.min(bytes.length, noise.nextInt(6)));
      members.get(1).exchange.receive(0, bytes, MS);
    }
  }
}
