package pumicekeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pumicekeel.runtime.FailureScope;

/** Tests a listener's limit on connections and its pauses, in virtual time. */
class AcceptControlTest {

  private static final long MS = 1_000_000L;
  private static final int LIMIT = 200;

  private final AcceptControl control = new AcceptControl(LIMIT, 300 * MS);
  private long now = 1_000 * MS;

  @Test
  void temporaryAndConnectionFailuresLeaveTheLimit() {
    for (int i = 0; i < 1_000; i++) {
      control.acceptFailed(i % 2 == 0 ? FailureScope.TEMPORARY : FailureScope.CONNECTION, 100, now);
      now += MS;
    }
    assertEquals(LIMIT, control.limit());
  }

  @Test
  void connectionFailureDoesNotPauseAndTemporaryFailuresPauseEverLonger() {
    assertEquals(0, control.acceptFailed(FailureScope.CONNECTION, 10, now));
    control.accepted();
    long first = control.acceptFailed(FailureScope.TEMPORARY, 10, now);
    assertTrue(first > 0 && first <= 5 * MS, "rests " + first);
    assertFalse(control.mayAccept(10, now));
    assertTrue(control.mayAccept(10, now + first));
    long longest = first;
    for (int i = 0; i < 60; i++) {
      longest = control.acceptFailed(FailureScope.TEMPORARY, 10, now);
    }
    assertEquals(50 * MS, longest);
    control.accepted();
    assertEquals(first, control.acceptFailed(FailureScope.TEMPORARY, 10, now));
  }

  private void shortage(int open) {
    for (int i = 0; i < 40 && !control.isLowered(); i++) {
      control.acceptFailed(FailureScope.PROCESS, open, now);
      now += 10 * MS;
    }
  }

  @Test
  void limitLoweredByAShortageRisesByItself() {
    shortage(100);
    assertEquals(84, control.limit(), "16 are left to others");
    assertFalse(control.raiseLimit(84, now), "not at once");
    long lowered = now;
    while (control.isLowered()) {
      now += 10 * MS;
      control.raiseLimit(84, now);
    }
    assertEquals(LIMIT, control.limit());
    assertTrue(now - lowered < 2_000 * MS, "after " + (now - lowered) / MS + " ms");
  }

  @Test
  void singleFailureOutOfDescriptorsIsNoShortage() {
    control.acceptFailed(FailureScope.PROCESS, 100, now);
    control.acceptFailed(FailureScope.PROCESS, 100, now);
    control.accepted();
    control.acceptFailed(FailureScope.PROCESS, 100, now + 100 * MS);
    assertFalse(control.isLowered());
  }

  @Test
  void repeatedShortagesSlowTheRaiseButNeverStopIt() {
    long rises = 0;
    for (int i = 0; i < 12; i++) {
      shortage(100);
      long from = now;
      while (control.isLowered()) {
        now += 10 * MS;
        control.raiseLimit(100, now);
      }
      rises = now - from;
    }
    assertTrue(rises >= 1_000 * MS && rises < 8_000 * MS, "rose within " + rises / MS + " ms");
  }

  @Test
  void backlogWaitCountsFromWhenItWasLastSeenEmpty() {
    control.limitReached(now);
    now += 700 * MS;
    control.accepting(now);
    assertEquals(700 * MS, control.maxBacklogWaitNanos(now, true));
    now += 20 * MS;
    assertEquals(720 * MS, control.maxBacklogWaitNanos(now, true), "the backlog still waits");
    control.backlogEmpty(now);
    assertEquals(0, control.maxBacklogWaitNanos(now + MS, true));
    assertFalse(control.mayHaveBacklog());
  }

  @Test
  void allConnectionsOfOneReadHaveTheWaitOfTheBacklogThatTheyLeft() {
    control.limitReached(now);
    now += 250 * MS;
    long acceptedAt = now;
    control.accepting(now);
    assertFalse(control.leftBeforeEmpty(acceptedAt), "the first one of a read");
    assertEquals(250 * MS, control.maxBacklogWaitNanos(now, true));
    control.backlogEmpty(now);
    now += MS;
    assertTrue(control.leftBeforeEmpty(acceptedAt), "the next ones");
    assertEquals(251 * MS, control.waitBeforeEmptyNanos(now));
    assertFalse(control.leftBeforeEmpty(now), "one that is accepted later");
    control.backlogEmpty(now);
    assertEquals(0, control.waitBeforeEmptyNanos(now), "no backlog before");
  }

  @Test
  void backlogBeyondOneTurnCountsThoughAcceptingNeverStopped() {
    control.accepting(now);
    assertEquals(0, control.maxBacklogWaitNanos(now, true), "the first ones");
    control.backlogSince(now - 15 * MS);
    now += 200 * MS;
    assertEquals(215 * MS, control.maxBacklogWaitNanos(now, true));
    control.backlogSince(now - 15 * MS);
    assertEquals(215 * MS, control.maxBacklogWaitNanos(now, true), "the same backlog still");
    control.backlogEmpty(now);
    assertEquals(0, control.maxBacklogWaitNanos(now, true));
  }

  @Test
  void unobservableBacklogIsTakenAsDrainedSomeTimeAfterAcceptingResumes() {
    control.limitReached(now);
    now += 700 * MS;
    control.accepting(now);
    assertEquals(
        300 * MS, control.maxBacklogWaitNanos(now, false), "a connection is freed within that");
    assertEquals(0, control.maxBacklogWaitNanos(now + 6 * MS, false));
  }
}
