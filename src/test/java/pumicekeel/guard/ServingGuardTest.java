package pumicekeel.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks which operations the guard permits, and what it counts. */
class ServingGuardTest {

  private static final long SECOND = 1_000_000_000L;

  private final List<String> violationLog = new ArrayList<>();
  private final List<String> closeLog = new ArrayList<>();
  private final ServingGuard guard = new ServingGuard(violationLog::add, closeLog::add);

  private static SendContext context(
      boolean ended, boolean here, boolean leaves, boolean harmless, boolean attempt, long left) {
    return new SendContext("r1", ended, here, leaves, false, harmless, attempt, left, SECOND / 2);
  }

  @Test
  void eachReasonDeniesASendAndIsCounted() {
    assertNull(guard.checkSend(context(false, true, false, true, true, SECOND)));
    assertEquals(
        Denial.REQUEST_ENDED, guard.checkSend(context(true, true, false, true, true, SECOND)));
    assertEquals(
        Denial.CLIENT_LEFT, guard.checkSend(context(false, false, false, true, true, SECOND)));
    assertEquals(
        Denial.UPSTREAM_LEAVES, guard.checkSend(context(false, true, true, true, true, SECOND)));
    assertEquals(
        Denial.NOT_REPEATABLE, guard.checkSend(context(false, true, false, false, true, SECOND)));
    assertEquals(
        Denial.ATTEMPTS_SPENT, guard.checkSend(context(false, true, false, true, false, SECOND)));
    assertEquals(Denial.TIME_UP, guard.checkSend(context(false, true, false, true, true, 0)));
    assertEquals(
        Denial.LIST_OUTDATED,
        guard.checkSend(
            new SendContext("r1", false, true, false, true, true, true, SECOND, SECOND)));
    assertFalse(guard.mayAdmit(true));
    assertTrue(guard.mayAdmit(false));
    assertEquals(0, guard.violationCount());
    assertEquals(
        "violations 0; sent 1; not sent request_ended=1 client_left=1 upstream_leaves=1 list_outdated=2"
            + " not_repeatable=1 attempts_spent=1 time_up=1; closed",
        guard.summary());
  }

  @Test
  void announcingMoreTimeThanTheClientHasIsAViolationAndNotSent() {
    assertEquals(
        Denial.TIME_UP, guard.checkSend(context(false, true, false, true, true, SECOND / 4)));
    assertEquals(1, guard.violationCount());
    assertEquals(List.of("rule violated: TOLD_TOO_MUCH_TIME r1"), violationLog);
  }

  @Test
  void connectionWithAnOpenRequestIsClosedOnlyWhenItsClientOrAnswerEnded() {
    assertTrue(guard.mayClose(CloseReason.IDLE, null));
    assertTrue(guard.mayClose(CloseReason.CLIENT_LEFT, "r1"));
    assertEquals(0, guard.violationCount());
    assertEquals(List.of("request r1: its connection is closed, CLIENT_LEFT"), closeLog);
    assertFalse(guard.mayClose(CloseReason.GIVES_WAY, "r2"));
    assertEquals(List.of("rule violated: CLOSE_UNDER_REQUEST r2 GIVES_WAY"), violationLog);
  }

  @Test
  void harmfulRejectionAndUnexpectedAnswerAreViolations() {
    assertTrue(guard.mayRefuse("r1", true));
    assertTrue(guard.mayAnswer("r1"));
    assertFalse(guard.mayRefuse("r1", false));
    assertFalse(guard.mayAnswer(null));
    assertEquals(2, guard.violationCount());
  }
}
