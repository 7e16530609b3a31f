package pumicekeel.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Status;

/** What the records of a dead process mean for the next one, and what is said of a request. */
class RecoveryTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long NOW = 1_000_000 * SECOND;
  private final KeyMemory memory = new KeyMemory(10);
  private final Recovery recovery = new Recovery(100);

  private static Entry.Intent sent(String id, String key, long wallMillis, long monoNanos) {
    return new Entry.Intent(
        id,
        key,
        "quote-issue",
        key == null ? Effect.UNSAFE : Effect.KEYED,
        DedupScope.CELL,
        2 * SECOND,
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
    recovery.take(new Entry.Boot(0, 0, "n0", host, Durability.HOST, true));
  }

  @Test
  void timeThatPassedIsTheMonotonicClocksWhereTheHostIsTheSame() {
    boot("b1");
    recovery.take(sent("r1", "k1", 50_000, 10 * SECOND));
    // The wall clock was set back by 40 s meanwhile.
    assertEquals(1, recovery.into(memory, "b1", 10_500, 11 * SECOND, NOW));
    assertEquals(NOW - SECOND, memory.earlierAttempts("kk1", "r2", NOW).get(0).sentAtNanos());
    assertEquals("quotes", memory.poolOf("kk1", NOW));
    assertEquals(3, memory.earlierAttempts("kk1", "r2", NOW).get(0).cell());
  }

  @Test
  void afterABootOfTheHostTheWallClockHasToDoAndOneSetBackEndsTheWindow() {
    boot("b1");
    recovery.take(sent("r1", "k1", 50_000, 10 * SECOND));
    recovery.take(sent("r2", "k2", 50_000, 10 * SECOND));
    recovery.into(memory, "b2", 50_500, SECOND, NOW);
    assertEquals(
        NOW - SECOND / 2, memory.earlierAttempts("kk1", "x", NOW).get(0).sentAtNanos());
    KeyMemory other = new KeyMemory(10);
    recovery.into(other, "b2", 40_000, SECOND, NOW);
    assertEquals(
        NOW - 2 * SECOND,
        other.earlierAttempts("kk2", "x", NOW).get(0).sentAtNanos(),
        "nobody knows: it is over");
  }

  @Test
  void whatProvablyDidNotRunOrIsLongOverIsForgotten() {
    boot("b1");
    recovery.take(sent("r1", "k1", 50_000, 10 * SECOND));
    recovery.take(new Entry.Ended("r1", 0, Status.CONNECT_FAILED, 50_001));
    recovery.take(sent("r2", "k2", 50_000, 10 * SECOND));
    recovery.take(new Entry.Ended("r2", 0, Status.TIMEOUT, 50_001));
    recovery.take(sent("old", "k3", 1_000, SECOND));
    recovery.take(sent("r4", null, 50_000, 10 * SECOND));
    assertEquals(2, recovery.into(memory, "b1", 100_000, 73 * SECOND - 2 * SECOND, NOW));
    assertNull(memory.poolOf("kk1", NOW));
    assertEquals("quotes", memory.poolOf("kk2", NOW));
    assertNull(memory.poolOf("kk3", NOW), "a minute past its window");
    assertEquals(
        1, memory.earlierAttempts("ir4", "another", NOW).size(), "an unsafe one by its id");
  }

  /** A key of 4 KB with any characters is known again from the record, where it is cut; another like it is another. */
  @Test
  void longKeyIsKnownAgainAfterARestart() {
    String key = "a\nb".repeat(1_400);
    boot("b1");
    recovery.take(sent("r1", Codec.cut(key), 50_000, 10 * SECOND));
    recovery.into(memory, "b1", 50_000, 10 * SECOND, NOW);
    assertEquals(
        1,
        memory
            .earlierAttempts(KeyMemory.entryName(Effect.KEYED, "x", key), "x", NOW)
            .size());
    assertTrue(memory
        .earlierAttempts(KeyMemory.entryName(Effect.KEYED, "x", key + "c"), "x", NOW)
        .isEmpty());
    // Two texts that String.hashCode takes for one.
    assertTrue(!Codec.cut("x".repeat(400) + "Aa").equals(Codec.cut("x".repeat(400) + "BB")));
  }

  @Test
  void memoryIsBoundedAndARequestsOwnAttemptsAreNotEarlierOnes() {
    for (int i = 0; i < 30; i++) {
      memory.recordAttempt(
          "k" + i, "p", "r" + i, 0, new pumicekeel.Balancer.PriorAttempt("a", 1, NOW), SECOND, NOW);
    }
    assertEquals(10, memory.size());
    assertEquals(20, memory.dropped());
    assertTrue(memory.earlierAttempts("k29", "r29", NOW).isEmpty());
    assertEquals(1, memory.earlierAttempts("k29", "r30", NOW).size());
    memory.removeAttempt("k29", "r29", 0);
    assertTrue(memory.earlierAttempts("k29", "r30", NOW).isEmpty());
    assertTrue(memory.earlierAttempts("k28", "x", NOW + 62 * SECOND).isEmpty(), "over");
  }

  // What is said

  private static Story story(Status status, Entry.Told told) {
    Story story = new Story("n0", 1);
    story.intent(sent("r", "k", 1, 1));
    if (status != null) {
      story.ended(0, status);
    }
    if (told != null) {
      story.answered(told, 5);
    }
    return story;
  }

  @Test
  void eachEndIsToldAsWhatItProves() {
    assertEquals(Story.Verdict.MAY_HAVE_RUN, story(null, null).verdict(null));
    assertEquals(
        Story.Verdict.MAY_HAVE_RUN, story(Status.RESET, Entry.Told.FAILED).verdict(null));
    assertEquals(
        Story.Verdict.NEVER_LEFT,
        story(Status.CONNECT_FAILED, Entry.Told.REFUSED).verdict(null));
    assertEquals(Story.Verdict.NEVER_LEFT, story(Status.FULL, null).verdict(null));
    assertEquals(
        Story.Verdict.UNKNOWN,
        story(Status.FULL, null).verdict("a hole"),
        "another attempt may be in the hole");
    assertEquals(Story.Verdict.ANSWERED, story(Status.SERVED, Entry.Told.SERVED).verdict("a hole"));
    assertEquals(Story.Verdict.NOT_TOLD, story(Status.SERVED, Entry.Told.LEFT).verdict(null));
    assertEquals(
        Story.Verdict.UNKNOWN,
        story(Status.SERVED, null).verdict(null),
        "it may have been told: no record");
    Story two = story(Status.TIMEOUT, null);
    two.intent(new Entry.Intent(
        "r", "k", "c", Effect.KEYED, DedupScope.CELL, 1, null, "p", 1, "s-1", "h:1", "a", 3, 9, 9));
    two.ended(1, Status.SERVED);
    two.answered(Entry.Told.SERVED, 10);
    assertEquals(Story.Verdict.ANSWERED, two.verdict(null));
    assertEquals(
        List.of("s-0", "s-1"),
        two.attempts().stream().map(a -> a.intent().upstream()).toList());
  }
}
