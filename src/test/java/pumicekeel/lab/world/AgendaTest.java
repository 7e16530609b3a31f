package pumicekeel.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Virtual time. */
class AgendaTest {

  private final Agenda agenda = new Agenda();
  private final List<String> log = new ArrayList<>();

  @Test
  void whatIsDueTogetherHappensInTheOrderOfItsAsking() {
    agenda.at(5, () -> {
      log.add("a");
      agenda.at(5, () -> log.add("c"));
      agenda.at(1, () -> log.add("d, due in the past"));
    });
    agenda.at(5, () -> log.add("b"));
    assertTrue(agenda.run(6, () -> false));
    assertEquals(List.of("a", "b", "c", "d, due in the past"), log);
    assertEquals(6, agenda.now());
  }

  @Test
  void timerTakenBackDoesNotHappenAndOneTakenBackWhileItDoesHas() {
    Agenda.Timer[] own = new Agenda.Timer[1];
    Agenda.Timer other = agenda.at(2, () -> log.add("other"));
    own[0] = agenda.at(1, () -> {
      own[0].cancel();
      other.cancel();
      log.add("own");
    });
    agenda.run(10, () -> false);
    assertEquals(List.of("own"), log);
  }

  @Test
  void hourOfNothingIsAnHourAndALongRunCanBeStopped() {
    agenda.run(3_600_000_000_000L, () -> false);
    assertEquals(3_600_000_000_000L, agenda.now());
    again();
    assertFalse(agenda.run(Long.MAX_VALUE, () -> agenda.happened() > 100_000));
  }

  private void again() {
    agenda.in(1, this::again);
  }
}
