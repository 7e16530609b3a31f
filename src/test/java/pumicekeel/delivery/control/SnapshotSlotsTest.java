package pumicekeel.delivery.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Limit of concurrent snapshot transfers. */
class SnapshotSlotsTest {

  private static final long SECOND_NANOS = 1_000_000_000L;

  private final SnapshotSlots slots = new SnapshotSlots(5);

  @Test
  void slotIsReleasedByTheEndOrTheSilenceOfItsTransfer() {
    for (int i = 0; i < SnapshotSlots.MAX_SLOTS; i++) {
      assertTrue(slots.acquire("n" + i, 0));
    }
    assertFalse(slots.acquire("late", 0));
    assertTrue(slots.acquire("n0", 4 * SECOND_NANOS), "a transfer in progress continues");
    slots.release("n1");
    assertTrue(slots.acquire("late", 4 * SECOND_NANOS));
    assertFalse(slots.acquire("later", 4 * SECOND_NANOS));
    assertTrue(
        slots.acquire("later", 6 * SECOND_NANOS), "the other transfers have been silent for 6 s");
    assertEquals(3, slots.used());
  }

  @Test
  void retryTimesOfRejectedTransfersAreSpread() {
    Set<Long> seconds = IntStream.range(0, 200)
        .mapToObj(i -> slots.retryAfterNanos() / SECOND_NANOS)
        .collect(Collectors.toSet());
    assertEquals(Set.of(1L, 2L, 3L, 4L), seconds);
  }
}
