package pumicekeel.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests order, cancellation and time of the scheduler. */
class EventSchedulerTest {

  private final EventScheduler scheduler = new EventScheduler();
  private final List<String> log = new ArrayList<>();

  @Test
  void simultaneousEventsRunInTheOrderOfScheduling() {
    scheduler.at(5, () -> {
      log.add("a");
      scheduler.at(5, () -> log.add("c"));
      scheduler.at(1, () -> log.add("d, due in the past"));
    });
    scheduler.at(5, () -> log.add("b"));
    assertTrue(scheduler.run(6, () -> false));
    assertEquals(List.of("a", "b", "c", "d, due in the past"), log);
    assertEquals(6, scheduler.now());
  }

  @Test
  void cancelledEventDoesNotRunAndCancellingARunningEventHasNoEffect() {
    EventScheduler.Timer[] own = new EventScheduler.Timer[1];
    EventScheduler.Timer other = scheduler.at(2, () -> log.add("other"));
    own[0] = scheduler.at(1, () -> {
      own[0].cancel();
      other.cancel();
      log.add("own");
    });
    scheduler.run(10, () -> false);
    assertEquals(List.of("own"), log);
  }

  @Test
  void runWithoutEventsAdvancesTheClockAndALongRunCanBeStopped() {
    scheduler.run(3_600_000_000_000L, () -> false);
    assertEquals(3_600_000_000_000L, scheduler.now());
    reschedule();
    assertFalse(scheduler.run(Long.MAX_VALUE, () -> scheduler.processedEvents() > 100_000));
  }

  private void reschedule() {
    scheduler.in(1, this::reschedule);
  }
}
