package pumicekeel.front.jsonrpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pumicekeel.front.jsonrpc.BatchAnswers.How;

/** When a batch's answers go out, in virtual time. */
class BatchAnswersTest {

  private static BatchAnswers<String> batch(BatchMode mode, int entries) {
    return new BatchAnswers<>(mode, entries);
  }

  @Test
  void oneArrayWhereAllEndBeforeAnyHasToGo() {
    BatchAnswers<String> b = batch(BatchMode.IN_TIME, 3);
    b.ended("a", How.ANSWERED, 100);
    assertEquals(List.of(), b.take(10));
    assertEquals(100, b.dueAt());
    b.ended(null, How.ANSWERED, 5);
    assertEquals(List.of(), b.take(20));
    b.ended("c", How.ANSWERED, 300);
    assertEquals(List.of("a", "c"), b.take(30));
    assertTrue(b.over());
  }

  @Test
  void lookupIsNotHeldForThePack() {
    // A rate-lookup that is wanted within 400 and a contract-pack that takes until 5,000.
    BatchAnswers<String> b = batch(BatchMode.IN_TIME, 2);
    b.ended("rate", How.ANSWERED, 400);
    assertEquals(List.of(), b.take(399));
    assertEquals(List.of("rate"), b.take(400));
    assertFalse(b.over());
    assertEquals(BatchAnswers.NEVER, b.dueAt());
    b.ended("pack", How.ANSWERED, 2_000);
    assertEquals(List.of("pack"), b.take(5_000));
    assertTrue(b.over());
  }

  @Test
  void whatEndsLateGoesAtOnceAndTakesAlongWhatWaits() {
    BatchAnswers<String> b = batch(BatchMode.IN_TIME, 3);
    b.ended("soon", How.ANSWERED, 900);
    b.ended("late", How.ANSWERED, 400);
    assertEquals(List.of("soon", "late"), b.take(500));
  }

  @Test
  void refusalAndFailureAreNotHeldButWhatIsNoCallIs() {
    BatchAnswers<String> b = batch(BatchMode.IN_TIME, 4);
    b.ended("invalid", How.INVALID, 0);
    assertEquals(List.of(), b.take(1));
    assertEquals(BatchAnswers.NEVER, b.dueAt());
    b.ended("refused", How.GIVEN_UP, 900);
    assertEquals(List.of("invalid", "refused"), b.take(2));
    b.ended("served", How.ANSWERED, 900);
    b.ended("failed", How.GIVEN_UP, 900);
    assertEquals(List.of("served", "failed"), b.take(3));
    assertTrue(b.over());
  }

  @Test
  void togetherIsOneArrayAndApartAreAsManyAsAnswers() {
    BatchAnswers<String> together = batch(BatchMode.TOGETHER, 2);
    together.ended("refused", How.GIVEN_UP, 0);
    assertEquals(List.of(), together.take(1_000_000));
    assertEquals(BatchAnswers.NEVER, together.dueAt());
    together.ended("served", How.ANSWERED, 5);
    assertEquals(List.of("refused", "served"), together.take(1_000_001));
    BatchAnswers<String> apart = batch(BatchMode.APART, 2);
    apart.ended("a", How.ANSWERED, 100);
    assertEquals(List.of("a"), apart.take(0));
    apart.ended("b", How.INVALID, 100);
    assertEquals(List.of("b"), apart.take(0));
    assertTrue(apart.over());
  }

  @Test
  void notificationsAloneAreAnsweredWithNothing() {
    for (BatchMode mode : BatchMode.values()) {
      BatchAnswers<String> b = batch(mode, 2);
      b.ended(null, How.GIVEN_UP, 0);
      b.ended(null, How.ANSWERED, 0);
      assertEquals(List.of(), b.take(1_000_000));
      assertTrue(b.over(), mode.name());
    }
  }

  @Test
  void everyAnswerGoesOutOnceAndInItsTime() {
    long seed = System.nanoTime();
    SplittableRandom random = new SplittableRandom(seed);
    for (int run = 0; run < 2_000; run++) {
      BatchMode mode = BatchMode.values()[random.nextInt(3)];
      int entries = random.nextInt(1, 12);
      BatchAnswers<Integer> b = new BatchAnswers<>(mode, entries);
      long[] latest = new long[entries];
      List<Integer> gone = new ArrayList<>();
      long now = 0;
      int wanted = 0;
      for (int i = 0; i < entries; i++) {
        long next = now + random.nextLong(100);
        while (b.dueAt() <= next) {
          now = b.dueAt();
          gone.addAll(check(b.take(now), latest, now, "seed " + seed));
        }
        now = next;
        How how = How.values()[random.nextInt(3)];
        boolean notification = random.nextInt(5) == 0;
        long until = now + random.nextLong(-50, 150);
        latest[i] = mode == BatchMode.TOGETHER || how == How.INVALID && mode == BatchMode.IN_TIME
            ? Long.MAX_VALUE
            : mode == BatchMode.APART || how == How.GIVEN_UP ? now : Math.max(now, until);
        b.ended(notification ? null : i, how, until);
        wanted += notification ? 0 : 1;
        gone.addAll(check(b.take(now), latest, now, "seed " + seed));
      }
      assertTrue(b.over(), "seed " + seed);
      assertEquals(wanted, gone.stream().distinct().count(), "seed " + seed);
      assertEquals(wanted, gone.size(), "seed " + seed);
    }
  }

  private static List<Integer> check(List<Integer> out, long[] latest, long now, String seed) {
    out.forEach(i -> assertTrue(now <= latest[i], seed));
    return out;
  }
}
