package pumicekeel.operation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import pumicekeel.operation.Rotation.Step;

/** When an instance accepts clients and the steps of an evacuation, in virtual time. */
class RotationTest {

  private static final long START = Long.MAX_VALUE - 1_000_000_000L;
  private static final long MS = 1_000_000L;
  private final Rotation rotation = new Rotation();

  @Test
  void evacuationStepsFollowTheFrontAndEndWithinTwoSecondsAcrossClockOverflow() {
    rotation.started();
    assertEquals(Step.IN_ROTATION, rotation.step(START));
    rotation.evacuate(START);
    assertFalse(rotation.acceptsClients());
    assertEquals(Step.NOTIFYING_FRONT, rotation.step(START + 399 * MS));
    assertEquals(Step.FINAL_RESPONSES, rotation.step(START + 400 * MS));
    assertEquals(
        Step.CLOSING_IDLE, rotation.step(START + 1_400 * MS), "after the clock has overflowed");
    assertEquals(Step.CLOSING_ALL, rotation.step(START + 1_800 * MS));
    assertEquals(Step.CLOSING_ALL, rotation.step(START + 3_600_000 * MS));
  }

  @Test
  void repeatedEvacuateChangesNothingAndActivateResetsIt() {
    rotation.started();
    rotation.evacuate(START);
    rotation.evacuate(START + 1_700 * MS);
    assertEquals(Step.CLOSING_ALL, rotation.step(START + 1_800 * MS));
    assertTrue(rotation.activate());
    assertTrue(rotation.acceptsClients());
    assertEquals(Step.IN_ROTATION, rotation.step(START + 1_801 * MS));
    rotation.evacuate(START + 2_000 * MS);
    assertEquals(Step.NOTIFYING_FRONT, rotation.step(START + 2_001 * MS));
  }

  @Test
  void noClientsAreAcceptedWhileStartingOrStoppingAndAStopIsFinal() {
    assertFalse(rotation.acceptsClients());
    assertEquals("starting", rotation.reason());
    rotation.evacuate(START);
    rotation.started();
    assertFalse(rotation.acceptsClients(), "evacuated before it was ready");
    rotation.stopping();
    assertFalse(rotation.activate());
    assertFalse(rotation.acceptsClients());
    assertEquals("stopping", rotation.reason());
  }

  @Test
  void anyLineOtherThanACallIsAnsweredNoAndChangesNothing() {
    AtomicInteger changes = new AtomicInteger();
    OperatorCalls calls =
        new OperatorCalls(rotation, changes::incrementAndGet, () -> null, () -> "", () -> null);
    assertTrue(calls.answer("readyz", START).startsWith("NO"));
    rotation.started();
    assertTrue(calls.answer(" readyz\r", START).startsWith("YES"));
    for (String unknown :
        new String[] {"", "ready", "READYZ", "evacuate now", "\u0000", "readyzevacuate"}) {
      assertTrue(calls.answer(unknown, START).startsWith("NO"), unknown);
    }
    assertEquals(0, changes.get());
    assertTrue(calls.answer("evacuate", START).startsWith("YES"));
    assertTrue(calls.answer("readyz", START).startsWith("NO"));
    assertTrue(calls.answer("activate", START).startsWith("YES"));
    assertEquals(2, changes.get());
    rotation.stopping();
    assertTrue(calls.answer("activate", START).startsWith("NO"));
  }
}
