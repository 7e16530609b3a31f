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
  void firstRequestCountsFromTheConnectAndLaterOnesFromTheirFirstByte() {
    times.bytesReceived(START + 500 * MS);
    assertEquals(900 * MS, times.receivingNanos(START + 900 * MS));
    times.answered(START + 1_000 * MS);
    assertEquals(0, times.receivingNanos(START + 5_000 * MS));
    times.bytesReceived(START + 6_000 * MS);
    assertEquals(100 * MS, times.receivingNanos(START + 6_100 * MS));
    assertEquals(5_100 * MS, times.idleNanos(START + 6_100 * MS));
  }

  @Test
  void bodyMayNeitherPauseNorBeTooSlow() {
    times.headReceived(START);
    assertFalse(times.bodyTooSlow(START + ClientLimits.MAX_CHUNK_GAP_NANOS));
    assertTrue(times.bodyTooSlow(START + ClientLimits.MAX_CHUNK_GAP_NANOS + 1));
    long now = START;
    for (int i = 1; i <= 10; i++) {
      now += 500 * MS;
      times.bytesReceived(now);
      times.received(i);
    }
    assertTrue(times.bodyTooSlow(now), "ten bytes in five seconds");
    times.received(10 * ClientLimits.MIN_BYTES_PER_SECOND);
    assertFalse(times.bodyTooSlow(now));
  }

  @Test
  void heldClientIsNotTooSlow() {
    times.headReceived(START);
    times.setHeld(true, START + 100 * MS);
    assertFalse(times.bodyTooSlow(START + 60_000 * MS));
    times.setHeld(false, START + 60_000 * MS);
    assertFalse(times.bodyTooSlow(START + 60_900 * MS));
    assertTrue(times.bodyTooSlow(START + 61_100 * MS));
  }

  @Test
  void slowReaderIsNotStalledAndOneThatReadsNothingIs() {
    times.setWritable(false, START);
    assertEquals(1_000 * MS, times.writeStalledNanos(START + 1_000 * MS, 0));
    assertEquals(0, times.writeStalledNanos(START + 2_000 * MS, 400));
    assertEquals(3_000 * MS, times.writeStalledNanos(START + 5_000 * MS, 400));
    times.setWritable(true, START + 5_000 * MS);
    assertEquals(0, times.writeStalledNanos(START + 9_000 * MS, 400));
  }

  @Test
  void restOfALargeBodyCountsFromItsLastChunk() {
    times.discardStarted(START);
    times.bytesReceived(START + 200 * MS);
    assertEquals(300 * MS, times.discardingNanos(START + 300 * MS, false));
    assertEquals(100 * MS, times.discardingNanos(START + 300 * MS, true));
  }

  @Test
  void onlyAllowedPhaseTransitionsArePossible() {
    assertTrue(Phase.RECEIVING.canTransitionTo(Phase.UPLOADING));
    assertTrue(Phase.UPLOADING.canTransitionTo(Phase.DISCARDING));
    assertFalse(Phase.IDLE.canTransitionTo(Phase.STREAMING), "an answer to nothing");
    assertFalse(
        Phase.SUBMITTED.canTransitionTo(Phase.RECEIVING),
        "a second request before the first has its answer");
    assertFalse(Phase.CLOSING.canTransitionTo(Phase.IDLE), "no way back");
  }
}
