package pumicekeel.operation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import pumicekeel.operation.Rotation.Step;

/** When an instance accepts clients and the steps of an evacuation, in virtual time. */
class RotationTest {

  private static final long START_NANOS = Long.MAX_VALUE - 1_000_000_000L;
  private static final long NANOS_PER_MS = 1_000_000L;
  private final Rotation rotation = new Rotation();

  @Test
  void evacuationStepsFollowTheFrontAndEndWithinTwoSecondsAcrossClockOverflow() {
    rotation.started();
    assertEquals(Step.IN_ROTATION, rotation.step(START_NANOS));
    rotation.evacuate(START_NANOS);
    assertFalse(rotation.acceptsClients());
    assertEquals(Step.NOTIFYING_FRONT, rotation.step(START_NANOS + 399 * NANOS_PER_MS));
    assertEquals(Step.FINAL_RESPONSES, rotation.step(START_NANOS + 400 * NANOS_PER_MS));
    assertEquals(
        Step.CLOSING_IDLE,
        rotation.step(START_NANOS + 1_400 * NANOS_PER_MS),
        "after the clock has overflowed");
    assertEquals(Step.CLOSING_ALL, rotation.step(START_NANOS + 1_800 * NANOS_PER_MS));
    assertEquals(Step.CLOSING_ALL, rotation.step(START_NANOS + 3_600_000 * NANOS_PER_MS));
  }

  @Test
  void repeatedEvacuateChangesNothingAndActivateResetsIt() {
    rotation.started();
    rotation.evacuate(START_NANOS);
    rotation.evacuate(START_NANOS + 1_700 * NANOS_PER_MS);
    assertEquals(Step.CLOSING_ALL, rotation.step(START_NANOS + 1_800 * NANOS_PER_MS));
    assertTrue(rotation.activate());
    assertTrue(rotation.acceptsClients());
    assertEquals(Step.IN_ROTATION, rotation.step(START_NANOS + 1_801 * NANOS_PER_MS));
    rotation.evacuate(START_NANOS + 2_000 * NANOS_PER_MS);
    assertEquals(Step.NOTIFYING_FRONT, rotation.step(START_NANOS + 2_001 * NANOS_PER_MS));
  }

  @Test
  void noClientsAreAcceptedWhileStartingOrStoppingAndAStopIsFinal() {
    assertFalse(rotation.acceptsClients());
    assertEquals("starting", rotation.reason());
    rotation.evacuate(START_NANOS);
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
    assertTrue(calls.answer("readyz", START_NANOS).startsWith("NO"));
    rotation.started();
    assertTrue(calls.answer(" readyz\r", START_NANOS).startsWith("YES"));
    for (String unknown :
        new String[] {"", "ready", "READYZ", "evacuate now", "\u0000", "readyzevacuate"}) {
      assertTrue(calls.answer(unknown, START_NANOS).startsWith("NO"), unknown);
    }
    assertEquals(0, changes.get());
    assertTrue(calls.answer("evacuate", START_NANOS).startsWith("YES"));
    assertTrue(calls.answer("readyz", START_NANOS).startsWith("NO"));
    assertTrue(calls.answer("activate", START_NANOS).startsWith("YES"));
    assertEquals(2, changes.get());
    rotation.stopping();
    assertTrue(calls.answer("activate", START_NANOS).startsWith("NO"));
  }
}
