package pumicekeel.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CallBackoffTest {

  private static final long MS = 1_000_000L;
  private static final long SPAN = 7_700 * MS;

  /** Returns how many calls that fail in this way, each after this time, fit into the time left to a list. */
  private static int callsThatFit(CallFailure how, long takesNanos, long seed) {
    CallBackoff backoff = new CallBackoff(seed);
    int calls = 0;
    long now = 0;
    while (now < SPAN) {
      calls++;
      now += takesNanos;
      now += backoff.pause(how, takesNanos, SPAN - now);
    }
    return calls;
  }

  @Test
  void enoughCallsFitForOneToSucceedWhenSevenInTenFail() {
    for (long seed = 1; seed <= 100; seed++) {
      // 0.7 to the 16th is 0.003, for one list in three hundred.
      int calls = callsThatFit(CallFailure.TURNED_AWAY, MS, seed);
      assertTrue(calls >= 16, calls + " calls, seed " + seed);
      // Half of the lists are cut off, each detected after a second: one list in a hundred gets no
      // complete call.
      assertTrue(callsThatFit(CallFailure.CUT, 1_000 * MS, seed) >= 7, "cut, seed " + seed);
    }
  }

  @Test
  void fleetInAnOutageMakesABoundedNumberOfCalls() {
    for (long seed = 1; seed <= 100; seed++) {
      CallBackoff backoff = new CallBackoff(seed);
      int calls = 0;
      for (long now = 0; now < 20_000 * MS; calls++) {
        now += backoff.pause(CallFailure.UNREACHABLE, 0, SPAN - now);
      }
      assertTrue(calls <= 20 * 8, calls + " calls in 20 s, seed " + seed);
    }
  }

  @Test
  void callerRejectedByAQueueTimeLimitRetriesAtOnce() {
    CallBackoff backoff = new CallBackoff(1);
    for (int i = 0; i < 20; i++) {
      assertTrue(backoff.pause(CallFailure.TURNED_AWAY_LATE, 2_005 * MS, SPAN) <= 100 * MS);
    }
    assertTrue(backoff.crowded());
  }

  @Test
  void serviceWithAFullQueueIsNotFloodedByRejectedCallers() {
    CallBackoff backoff = new CallBackoff(1);
    backoff.pause(CallFailure.TURNED_AWAY_LATE, 2_005 * MS, SPAN);
    long pauses = 0;
    for (int i = 0; i < 100; i++) {
      pauses += backoff.pause(CallFailure.TURNED_AWAY, 5 * MS, SPAN);
    }
    assertTrue(pauses >= 80_000 * MS, "100 calls in " + pauses / MS + " ms");
  }

  /** Fifty callers of a service that spends 0.2 s on each call, rejected ones included, after 2 s of queueing. */
  @Test
  void queuedRejectionsDoNotOverloadTheService() {
    int callers = 50;
    long serviceTime = 200 * MS;
    CallBackoff[] backoffs = new CallBackoff[callers];
    long[] callAt = new long[callers];
    for (int i = 0; i < callers; i++) {
      backoffs[i] = new CallBackoff(i);
    }
    long freeAt = 0;
    int served = 0;
    while (freeAt < 100_000 * MS) {
      int first = 0;
      for (int i = 1; i < callers; i++) {
        first = callAt[i] < callAt[first] ? i : first;
      }
      long startsAt = Math.max(freeAt, callAt[first]);
      freeAt = startsAt + serviceTime;
      long waited = freeAt - callAt[first];
      if (waited - serviceTime > 2_000 * MS) {
        callAt[first] = freeAt + backoffs[first].pause(CallFailure.TURNED_AWAY_LATE, waited, SPAN);
      } else {
        served++;
        backoffs[first].answerReceived(waited);
        long silent = 3_000 * MS;
        callAt[first] = freeAt
            + silent
            + backoffs[first].pause(CallFailure.SILENT, waited + silent, SPAN - silent);
      }
    }
    int total = (int) (freeAt / serviceTime);
    System.out.println("served " + served + " of " + total);
    assertTrue(served >= total / 4, "served " + served + " of " + total);
  }

  @Test
  void serviceThatAnswersAtOnceAgainIsNoLongerCrowded() {
    CallBackoff backoff = new CallBackoff(1);
    backoff.pause(CallFailure.TURNED_AWAY_LATE, 2_000 * MS, SPAN);
    assertTrue(backoff.crowded());
    backoff.answerReceived(5 * MS);
    assertFalse(backoff.crowded());
    assertTrue(backoff.pause(CallFailure.SILENT, 3_000 * MS, SPAN) <= 100 * MS);
  }

  @Test
  void anotherDiscoveryServiceStartsAsNotCrowded() {
    CallBackoff backoff = new CallBackoff(1);
    backoff.pause(CallFailure.TURNED_AWAY_LATE, 2_000 * MS, SPAN);
    backoff.reset();
    assertFalse(backoff.crowded());
    assertEquals(0, backoff.pause(CallFailure.SILENT, 3_000 * MS, SPAN) / (100 * MS));
  }
}
