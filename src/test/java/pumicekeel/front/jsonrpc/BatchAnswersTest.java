package pumicekeel.front.jsonrpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pumicekeel.front.jsonrpc.BatchAnswers.EntryOutcome;

/** When the answers of a batch are sent, in virtual time. */
class BatchAnswersTest {

  private static BatchAnswers<String> batch(BatchMode mode, int entries) {
    return new BatchAnswers<>(mode, entries);
  }

  @Test
  void oneArrayIfAllEndBeforeAnyIsDue() {
    BatchAnswers<String> b = batch(BatchMode.IN_TIME, 3);
    b.ended("a", EntryOutcome.ANSWERED, 100);
    assertEquals(List.of(), b.takeReady(10));
    assertEquals(100, b.flushAt());
    b.ended(null, EntryOutcome.ANSWERED, 5);
    assertEquals(List.of(), b.takeReady(20));
    b.ended("c", EntryOutcome.ANSWERED, 300);
    assertEquals(List.of("a", "c"), b.takeReady(30));
    assertTrue(b.isComplete());
  }

  @Test
  void fastAnswerIsNotDelayedByASlowOne() {
    // A rate-lookup with an aim of 400 and a contract-pack that ends at 5,000.
    BatchAnswers<String> b = batch(BatchMode.IN_TIME, 2);
    b.ended("rate", EntryOutcome.ANSWERED, 400);
    assertEquals(List.of(), b.takeReady(399));
    assertEquals(List.of("rate"), b.takeReady(400));
    assertFalse(b.isComplete());
    assertEquals(BatchAnswers.NEVER, b.flushAt());
    b.ended("pack", EntryOutcome.ANSWERED, 2_000);
    assertEquals(List.of("pack"), b.takeReady(5_000));
    assertTrue(b.isComplete());
  }

  @Test
  void lateAnswerIsSentAtOnceWithThoseWaiting() {
    BatchAnswers<String> b = batch(BatchMode.IN_TIME, 3);
    b.ended("soon", EntryOutcome.ANSWERED, 900);
    b.ended("late", EntryOutcome.ANSWERED, 400);
    assertEquals(List.of("soon", "late"), b.takeReady(500));
  }

  @Test
  void refusalsAndFailuresAreNotDelayedButInvalidEntriesAre() {
    BatchAnswers<String> b = batch(BatchMode.IN_TIME, 4);
    b.ended("invalid", EntryOutcome.INVALID, 0);
    assertEquals(List.of(), b.takeReady(1));
    assertEquals(BatchAnswers.NEVER, b.flushAt());
    b.ended("refused", EntryOutcome.REFUSED_OR_FAILED, 900);
    assertEquals(List.of("invalid", "refused"), b.takeReady(2));
    b.ended("served", EntryOutcome.ANSWERED, 900);
    b.ended("failed", EntryOutcome.REFUSED_OR_FAILED, 900);
    assertEquals(List.of("served", "failed"), b.takeReady(3));
    assertTrue(b.isComplete());
  }

  @Test
  void togetherIsOneArrayAndApartIsOneForEachAnswer() {
    BatchAnswers<String> together = batch(BatchMode.TOGETHER, 2);
    together.ended("refused", EntryOutcome.REFUSED_OR_FAILED, 0);
    assertEquals(List.of(), together.takeReady(1_000_000));
    assertEquals(BatchAnswers.NEVER, together.flushAt());
    together.ended("served", EntryOutcome.ANSWERED, 5);
    assertEquals(List.of("refused", "served"), together.takeReady(1_000_001));
    BatchAnswers<String> apart = batch(BatchMode.APART, 2);
    apart.ended("a", EntryOutcome.ANSWERED, 100);
    assertEquals(List.of("a"), apart.takeReady(0));
    apart.ended("b", EntryOutcome.INVALID, 100);
    assertEquals(List.of("b"), apart.takeReady(0));
    assertTrue(apart.isComplete());
  }

  @Test
  void batchOfNotificationsGetsNoAnswer() {
    for (BatchMode mode : BatchMode.values()) {
      BatchAnswers<String> b = batch(mode, 2);
      b.ended(null, EntryOutcome.REFUSED_OR_FAILED, 0);
      b.ended(null, EntryOutcome.ANSWERED, 0);
      assertEquals(List.of(), b.takeReady(1_000_000));
      assertTrue(b.isComplete(), mode.name());
    }
  }

  @Test
  void everyAnswerIsSentOnceAndInTime() {
    long seed = System.nanoTime();
    SplittableRandom random = new SplittableRandom(seed);
    for (int run = 0; run < 2_000; run++) {
      BatchMode mode = BatchMode.values()[random.nextInt(3)];
      int entries = random.nextInt(1, 12);
      BatchAnswers<Integer> b = new BatchAnswers<>(mode, entries);
      long[] latest = new long[entries];
      List<Integer> sent = new ArrayList<>();
      long now = 0;
      int wanted = 0;
      for (int i = 0; i < entries; i++) {
        long next = now + random.nextLong(100);
        while (b.flushAt() <= next) {
          now = b.flushAt();
          sent.addAll(check(b.takeReady(now), latest, now, "seed " + seed));
        }
        now = next;
        EntryOutcome outcome = EntryOutcome.values()[random.nextInt(3)];
        boolean notification = random.nextInt(5) == 0;
        long until = now + random.nextLong(-50, 150);
        latest[i] = mode == BatchMode.TOGETHER
                || outcome == EntryOutcome.INVALID && mode == BatchMode.IN_TIME
            ? Long.MAX_VALUE
            : mode == BatchMode.APART || outcome == EntryOutcome.REFUSED_OR_FAILED
                ? now
                : Math.max(now, until);
        b.ended(notification ? null : i, outcome, until);
        wanted += notification ? 0 : 1;
        sent.addAll(check(b.takeReady(now), latest, now, "seed " + seed));
      }
      assertTrue(b.isComplete(), "seed " + seed);
      assertEquals(wanted, sent.stream().distinct().count(), "seed " + seed);
      assertEquals(wanted, sent.size(), "seed " + seed);
    }
  }

  private static List<Integer> check(List<Integer> out, long[] latest, long now, String seed) {
    out.forEach(i -> assertTrue(now <= latest[i], seed));
    return out;
  }
}
