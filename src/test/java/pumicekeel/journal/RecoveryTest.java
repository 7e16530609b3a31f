package pumicekeel.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Status;

/** Recovery from the records of a crashed process, and the conclusions about single requests. */
class RecoveryTest {

  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long NOW = 1_000_000 * SECOND_NANOS;
  private final KeyMemory memory = new KeyMemory(10);
  private final Recovery recovery = new Recovery(100);

  private static Entry.Intent sent(String id, String key, long wallMillis, long monoNanos) {
    return new Entry.Intent(
        id,
        key,
        "quote-issue",
        key == null ? Effect.UNSAFE : Effect.KEYED,
        DedupScope.CELL,
        2 * SECOND_NANOS,
        "acme",
        "quotes",
        0,
        "s-0",
        "127.0.0.1:9000",
        "a",
        3,
        wallMillis,
        monoNanos);
  }

  private void boot(String host) {
    recovery.add(new Entry.Boot(0, 0, "n0", host, Durability.HOST, true));
  }

  @Test
  void elapsedTimeIsFromTheMonotonicClockWithinOneHostBoot() {
    boot("b1");
    recovery.add(sent("r1", "k1", 50_000, 10 * SECOND_NANOS));
    // The wall clock was set back by 40 s meanwhile.
    assertEquals(1, recovery.restoreTo(memory, "b1", 10_500, 11 * SECOND_NANOS, NOW));
    assertEquals(
        NOW - SECOND_NANOS, memory.earlierAttempts("kk1", "r2", NOW).get(0).sentAtNanos());
    assertEquals("quotes", memory.poolOf("kk1", NOW));
    assertEquals(3, memory.earlierAttempts("kk1", "r2", NOW).get(0).cell());
  }

  @Test
  void wallClockIsUsedAfterAHostRebootAndOneSetBackEndsTheWindow() {
    boot("b1");
    recovery.add(sent("r1", "k1", 50_000, 10 * SECOND_NANOS));
    recovery.add(sent("r2", "k2", 50_000, 10 * SECOND_NANOS));
    recovery.restoreTo(memory, "b2", 50_500, SECOND_NANOS, NOW);
    assertEquals(
        NOW - SECOND_NANOS / 2, memory.earlierAttempts("kk1", "x", NOW).get(0).sentAtNanos());
    KeyMemory other = new KeyMemory(10);
    recovery.restoreTo(other, "b2", 40_000, SECOND_NANOS, NOW);
    assertEquals(
        NOW - 2 * SECOND_NANOS,
        other.earlierAttempts("kk2", "x", NOW).get(0).sentAtNanos(),
        "unknown elapsed time: the window is over");
  }

  @Test
  void attemptsThatDidNotRunOrExpiredAreNotRestored() {
    boot("b1");
    recovery.add(sent("r1", "k1", 50_000, 10 * SECOND_NANOS));
    recovery.add(new Entry.Ended("r1", 0, Status.CONNECT_FAILED, 50_001));
    recovery.add(sent("r2", "k2", 50_000, 10 * SECOND_NANOS));
    recovery.add(new Entry.Ended("r2", 0, Status.TIMEOUT, 50_001));
    recovery.add(sent("old", "k3", 1_000, SECOND_NANOS));
    recovery.add(sent("r4", null, 50_000, 10 * SECOND_NANOS));
    assertEquals(
        2, recovery.restoreTo(memory, "b1", 100_000, 73 * SECOND_NANOS - 2 * SECOND_NANOS, NOW));
    assertNull(memory.poolOf("kk1", NOW));
    assertEquals("quotes", memory.poolOf("kk2", NOW));
    assertNull(memory.poolOf("kk3", NOW), "a minute past its window");
    assertEquals(
        1,
        memory.earlierAttempts("ir4", "another", NOW).size(),
        "an unsafe request is kept by its id");
  }

  /** A key of 4 KB is recognized from its truncated record; a key with the same beginning is a different one. */
  @Test
  void longKeyIsRecognizedAfterARestart() {
    String key = "a\nb".repeat(1_400);
    boot("b1");
    recovery.add(sent("r1", Codec.truncate(key), 50_000, 10 * SECOND_NANOS));
    recovery.restoreTo(memory, "b1", 50_000, 10 * SECOND_NANOS, NOW);
    assertEquals(
        1,
        memory
            .earlierAttempts(KeyMemory.entryName(Effect.KEYED, "x", key), "x", NOW)
            .size());
    assertTrue(memory
        .earlierAttempts(KeyMemory.entryName(Effect.KEYED, "x", key + "c"), "x", NOW)
        .isEmpty());
    // Two texts with the same String.hashCode.
    assertTrue(
        !Codec.truncate("x".repeat(400) + "Aa").equals(Codec.truncate("x".repeat(400) + "BB")));
  }

  @Test
  void memoryIsBoundedAndOmitsARequestsOwnAttempts() {
    for (int i = 0; i < 30; i++) {
      memory.recordAttempt(
          "k" + i,
          "p",
          "r" + i,
          0,
          new pumicekeel.Balancer.PriorAttempt("a", 1, NOW),
          SECOND_NANOS,
          NOW);
    }
    assertEquals(10, memory.size());
    assertEquals(20, memory.evicted());
    assertTrue(memory.earlierAttempts("k29", "r29", NOW).isEmpty());
    assertEquals(1, memory.earlierAttempts("k29", "r30", NOW).size());
    memory.removeAttempt("k29", "r29", 0);
    assertTrue(memory.earlierAttempts("k29", "r30", NOW).isEmpty());
    assertTrue(memory.earlierAttempts("k28", "x", NOW + 62 * SECOND_NANOS).isEmpty(), "expired");
  }

  // Conclusions

  private static RequestHistory request(Status status, Entry.Told told) {
    RequestHistory request = new RequestHistory("n0", 1);
    request.intent(sent("r", "k", 1, 1));
    if (status != null) {
      request.ended(0, status);
    }
    if (told != null) {
      request.answered(told, 5);
    }
    return request;
  }

  @Test
  void verdictFollowsFromTheRecordedOutcomes() {
    assertEquals(RequestHistory.Verdict.MAY_HAVE_RUN, request(null, null).verdict(null));
    assertEquals(
        RequestHistory.Verdict.MAY_HAVE_RUN,
        request(Status.RESET, Entry.Told.FAILED).verdict(null));
    assertEquals(
        RequestHistory.Verdict.NEVER_LEFT,
        request(Status.CONNECT_FAILED, Entry.Told.REFUSED).verdict(null));
    assertEquals(RequestHistory.Verdict.NEVER_LEFT, request(Status.FULL, null).verdict(null));
    assertEquals(
        RequestHistory.Verdict.UNKNOWN,
        request(Status.FULL, null).verdict("a hole"),
        "another attempt may be in the hole");
    assertEquals(
        RequestHistory.Verdict.ANSWERED,
        request(Status.SERVED, Entry.Told.SERVED).verdict("a hole"));
    assertEquals(
        RequestHistory.Verdict.NOT_TOLD, request(Status.SERVED, Entry.Told.LEFT).verdict(null));
    assertEquals(
        RequestHistory.Verdict.UNKNOWN,
        request(Status.SERVED, null).verdict(null),
        "the client may have received it: no record");
    RequestHistory two = request(Status.TIMEOUT, null);
    two.intent(new Entry.Intent(
        "r", "k", "c", Effect.KEYED, DedupScope.CELL, 1, null, "p", 1, "s-1", "h:1", "a", 3, 9, 9));
    two.ended(1, Status.SERVED);
    two.answered(Entry.Told.SERVED, 10);
    assertEquals(RequestHistory.Verdict.ANSWERED, two.verdict(null));
    assertEquals(
        List.of("s-0", "s-1"),
        two.attempts().stream().map(a -> a.intent().upstream()).toList());
  }
}
