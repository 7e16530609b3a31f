package pumicekeel.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pumicekeel.quota.QuotaExchange.OutgoingDatagram;

/** Two members and one tenant's quota of 200 a second, in virtual time. */
class QuotaExchangeTest {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MS;
  private static final double TOLERANCE = 1e-6;

  private final BitSet allMembers = BitSet.valueOf(new long[] {3});
  private QuotaExchange busy;
  private QuotaExchange idle;
  private long now = NANOS_PER_SECOND;

  private static QuotaExchange member(int self, long epoch, long at) {
    QuotaExchange m = new QuotaExchange(QuotaSettings.DEFAULTS, self, 2, epoch, 7, at);
    m.setQuotas(Map.of("t", 200.0), at);
    return m;
  }

  @BeforeEach
  void startTwoMembers() {
    busy = member(0, 1, 0);
    idle = member(1, 1, 0);
    now = 4 * NANOS_PER_SECOND;
  }

  private double rate(QuotaExchange m) {
    return m.rate("t", now);
  }

  /** Offers 150 requests per second to the busy member until it requests a loan; returns that message. */
  private byte[] ask() {
    for (int i = 0; i < 100; i++) {
      now += 50 * NANOS_PER_MS;
      busy.recordRequests("t", 7.5, now);
      List<OutgoingDatagram> out = busy.tick(now, allMembers);
      if (!out.isEmpty()) {
        return out.get(0).bytes();
      }
    }
    throw new AssertionError("no loan was requested");
  }

  private byte[] lent(byte[] ask) {
    return idle.receive(0, ask, now).get(0).bytes();
  }

  @Test
  void busyMemberBorrowsWhatTheIdleOneLendsAndTheSumStays() {
    assertEquals(100, rate(busy), TOLERANCE);
    busy.receive(1, lent(ask()), now);
    assertTrue(rate(busy) > 110, "borrowed: " + rate(busy));
    assertEquals(200, rate(busy) + rate(idle), TOLERANCE);
  }

  @Test
  void lenderWaitsLongerThanTheBorrowerUses() {
    byte[] ask = ask();
    long askedAt = now;
    now += 500 * NANOS_PER_MS;
    busy.receive(1, lent(ask), now);
    now = askedAt + 3 * NANOS_PER_SECOND;
    assertEquals(100, rate(busy), TOLERANCE, "three seconds from its request");
    assertTrue(rate(idle) < 100);
    now += 600 * NANOS_PER_MS;
    assertEquals(100, rate(idle), TOLERANCE);
  }

  @Test
  void lateRepeatedOrPreviousEpochReplyIsDiscarded() {
    byte[] late = lent(ask());
    QuotaExchange restarted = member(0, 2, now);
    restarted.receive(1, late, now);
    now += 4 * NANOS_PER_SECOND;
    assertEquals(100, restarted.rate("t", now), TOLERANCE);
    busy.receive(1, late, now);
    assertEquals(100, rate(busy), TOLERANCE);
    byte[] answer = lent(ask());
    busy.receive(1, answer, now);
    double once = rate(busy);
    busy.receive(1, answer, now);
    assertEquals(once, rate(busy), TOLERANCE);
  }

  @Test
  void replayedRequestLendsNothing() {
    byte[] ask = ask();
    lent(ask);
    now += 4 * NANOS_PER_SECOND;
    assertEquals(List.of(), idle.receive(0, ask, now));
    assertEquals(100, rate(idle), TOLERANCE);
  }

  @Test
  void restartedMemberReservesWhatItMayHaveLentBefore() {
    busy.receive(1, lent(ask()), now);
    idle = member(1, 2, now);
    assertEquals(10, rate(idle), TOLERANCE);
    assertTrue(rate(busy) + rate(idle) <= 200);
    now += 3 * NANOS_PER_SECOND + 100 * NANOS_PER_MS;
    assertEquals(100, rate(idle), TOLERANCE);
  }

  @Test
  void returnedLoanIsUsableByItsLenderAtOnceAndAReorderedRequestDoesNotLendItAgain() {
    busy.receive(1, lent(ask()), now);
    byte[] overtaken = null;
    byte[] returned = null;
    for (int i = 0; i < 60 && returned == null; i++) {
      now += 50 * NANOS_PER_MS;
      busy.recordRequests("t", i < 30 ? 7.5 : 0, now);
      for (OutgoingDatagram o : busy.tick(now, allMembers)) {
        boolean returns = o.bytes()[3] == QuotaMessage.Kind.RETURN.ordinal();
        returned = returns ? o.bytes() : returned;
        overtaken = returns ? overtaken : o.bytes();
      }
    }
    assertNotNull(returned);
    assertNotNull(overtaken);
    idle.receive(0, returned, now);
    assertEquals(100, rate(idle), TOLERANCE);
    assertEquals(100, rate(busy), TOLERANCE);
    assertEquals(List.of(), idle.receive(0, overtaken, now));
    assertEquals(100, rate(idle), TOLERANCE);
  }

  @Test
  void borrowerGetsMoreFromTheSameLender() {
    for (int i = 0; i < 100; i++) {
      now += 50 * NANOS_PER_MS;
      busy.recordRequests("t", 4 + 0.1 * i, now);
      for (OutgoingDatagram o : busy.tick(now, allMembers)) {
        idle.receive(0, o.bytes(), now).forEach(answer -> busy.receive(1, answer.bytes(), now));
        assertTrue(rate(busy) + rate(idle) <= 200 + TOLERANCE);
      }
    }
    assertEquals(190, rate(busy), TOLERANCE, "all that may be lent");
  }

  @Test
  void smallerRenewalLeavesTheLargerLoanUntilItsEnd() {
    busy.receive(1, lent(ask()), now);
    double before = rate(busy);
    // The lender now has demand of its own and lends less from the next request on.
    byte[] less = null;
    for (int i = 0; i < 40 && less == null; i++) {
      now += 50 * NANOS_PER_MS;
      idle.recordRequests("t", 4.5, now);
      busy.recordRequests("t", 7.5, now);
      List<OutgoingDatagram> out = busy.tick(now, allMembers);
      less =
          out.isEmpty() || now < 6 * NANOS_PER_SECOND ? null : lent(out.get(0).bytes());
    }
    assertNotNull(less);
    busy.receive(1, less, now);
    assertEquals(before, rate(busy), TOLERANCE, "the lease is three seconds long");
    assertTrue(rate(busy) + rate(idle) <= 200 + TOLERANCE);
  }

  @Test
  void membersWithAnotherQuotaDoNotLend() {
    byte[] ask = ask();
    idle.setQuotas(Map.of("t", 300.0), now);
    assertEquals(List.of(), idle.receive(0, ask, now));
    assertEquals(1, idle.discarded());
  }

  @Test
  void malformedMessageIsRejected() {
    byte[] good = ask();
    assertNotNull(QuotaMessage.of(good));
    assertNull(QuotaMessage.of(java.util.Arrays.copyOf(good, 41)));
    assertNull(QuotaMessage.of(java.util.Arrays.copyOf(good, 43)));
    for (double rate : new double[] {Double.NaN, -1, Double.POSITIVE_INFINITY, 1e300}) {
      byte[] bad = good.clone();
      java.nio.ByteBuffer.wrap(bad).putDouble(34, rate);
      assertNull(QuotaMessage.of(bad));
    }
    assertEquals(List.of(), idle.receive(1, good, now), "its own number as sender");
    assertEquals(1, idle.discarded());
  }
}
