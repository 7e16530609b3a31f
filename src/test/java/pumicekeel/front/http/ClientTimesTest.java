package pumicekeel.front.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ClientTimesTest {

  private static final long MS = 1_000_000L;
  private static final long START = 77 * MS;
  private final ClientTimes times = new ClientTimes(START);

  @Test
  void aFirstRequestCountsFromTheConnectAndALaterOneFromItsFirstByte() {
    times.bytesCame(START + 500 * MS);
    assertEquals(900 * MS, times.comingFor(START + 900 * MS));
    times.answered(START + 1_000 * MS);
    assertEquals(0, times.comingFor(START + 5_000 * MS));
    times.bytesCame(START + 6_000 * MS);
    assertEquals(100 * MS, times.comingFor(START + 6_100 * MS));
    assertEquals(5_100 * MS, times.idleFor(START + 6_100 * MS));
  }

  @Test
  void aBodyMayNotPauseAndMayNotCrawl() {
    times.headCame(START);
    assertFalse(times.bodyLate(START + ClientLimits.PIECE_NANOS));
    assertTrue(times.bodyLate(START + ClientLimits.PIECE_NANOS + 1));
    long now = START;
    for (int i = 1; i <= 10; i++) {
      now += 500 * MS;
      times.bytesCame(now);
      times.received(i);
    }
    assertTrue(times.bodyLate(now), "ten bytes in five seconds");
    times.received(10 * ClientLimits.LEAST_BYTES_PER_SECOND);
    assertFalse(times.bodyLate(now));
  }

  @Test
  void whoIsMadeToWaitIsNotLate() {
    times.headCame(START);
    times.hold(true, START + 100 * MS);
    assertFalse(times.bodyLate(START + 60_000 * MS));
    times.hold(false, START + 60_000 * MS);
    assertFalse(times.bodyLate(START + 60_900 * MS));
    assertTrue(times.bodyLate(START + 61_100 * MS));
  }

  @Test
  void aSlowReaderIsNotStuckAndOneThatTakesNothingIs() {
    times.takes(false, START);
    assertEquals(1_000 * MS, times.stuckFor(START + 1_000 * MS, 0));
    assertEquals(0, times.stuckFor(START + 2_000 * MS, 400));
    assertEquals(3_000 * MS, times.stuckFor(START + 5_000 * MS, 400));
    times.takes(true, START + 5_000 * MS);
    assertEquals(0, times.stuckFor(START + 9_000 * MS, 400));
  }

  @Test
  void theRestOfALargeBodyCountsFromItsLastPiece() {
    times.skips(START);
    times.bytesCame(START + 200 * MS);
    assertEquals(300 * MS, times.skippingFor(START + 300 * MS, false));
    assertEquals(100 * MS, times.skippingFor(START + 300 * MS, true));
  }

  @Test
  void aConnectionGoesOnlyWhereItMay() {
    assertTrue(Phase.COMING.mayBecome(Phase.UPLOADING));
    assertTrue(Phase.UPLOADING.mayBecome(Phase.SKIPPING));
    assertFalse(Phase.IDLE.mayBecome(Phase.PASSING), "an answer to nothing");
    assertFalse(
        Phase.TAKEN.mayBecome(Phase.COMING), "a second request before the first has its answer");
    assertFalse(Phase.ENDING.mayBecome(Phase.IDLE), "no way back");
  }
}
