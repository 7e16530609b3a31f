package pumicekeel.lab.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.lab.program.Step.Kind;

class ProgramRunTest {

  private static final int SEEDS = 30;
  /** Too few for the connections of idle clients, so that some run must violate a rule. */
  private static final int TOO_FEW = 6;

  @Test
  void allRulesHold() {
    int asked = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      ProgramRun.Report r = new ProgramRun(seed).play();
      assertNull(r.violation(), "lab program --seed " + seed + " --trace: " + r.violation());
      asked += r.requests();
    }
    assertTrue(asked > SEEDS * 50, "requests: " + asked);
  }

  @Test
  void aSeedIsTheSameRunEachTime() {
    for (long seed = 100; seed < 105; seed++) {
      assertEquals(new ProgramRun(seed).play(), new ProgramRun(seed).play(), "seed " + seed);
    }
    assertNotEquals(
        new ProgramRun(100).play().checksum(), new ProgramRun(101).play().checksum());
  }

  @Test
  void everyKindOfTroubleIsMetWithinAThousandSeeds() {
    List<Kind> met = new ArrayList<>();
    for (long seed = 1; seed <= 1_000; seed++) {
      Script.of(seed).steps().forEach(s -> met.add(s.kind()));
    }
    for (Kind k : Kind.values()) {
      assertTrue(met.contains(k), k.toString());
    }
  }

  /** Clients beyond the program's limit of connections wait in the kernel's backlog and are answered too late. */
  @Test
  void whatIsBrokenIsCutDownToWhatBreaksIt() {
    Script broken = crowded();
    List<String> progress = new ArrayList<>();
    ProgramShrinker.Shrunk left = new ProgramShrinker(broken, progress::add).shrink();
    assertNotNull(left);
    assertTrue(
        left.steps().size() < broken.steps().size(),
        left.steps() + " of " + broken.steps().size());
    assertEquals(
        left.violation(), new ProgramRun(broken.only(left.steps()), null).play().violation());
    assertTrue(progress.size() > 1);
  }

  private static Script crowded() {
    for (long seed = 1; ; seed++) {
      Script s = Script.of(seed);
      Script crowded = new Script(seed, s.servers(), TOO_FEW, s.perSecond(), false, s.steps());
      if (s.steps().size() < 150 && new ProgramRun(crowded, null).play().violation() != null) {
        return crowded;
      }
    }
  }

  /** All upstreams become unreachable during large uploads: without a time limit their clients would wait for twenty minutes. */
  @Test
  void uploadsToUpstreamsThatVanishEnd() {
    Script any = Script.of(5);
    List<Step> steps = new ArrayList<>();
    for (int number = 0; number < 600; number++) {
      RequestScenario f = new RequestScenario(any, number);
      if (f.bodySize > 200_000
          && f.owed()
          && !f.slowReader
          && f.effect != pumicekeel.Balancer.Effect.SAFE) {
        steps.add(new Step(500 * Script.MS, Kind.ASK, number, 0));
      }
    }
    for (int i = 0; i < any.servers(); i++) {
      steps.add(new Step(503 * Script.MS, Kind.CUT_OFF, i, 60 * Script.SECOND));
    }
    assertTrue(steps.size() > any.servers() + 3, "uploads: " + steps.size());
    assertNull(new ProgramRun(new Script(5, any.servers(), 200, 20, false, steps), null)
        .play()
        .violation());
  }

  @Test
  void theTraceTellsWhatWasAskedAndAnswered() {
    List<String> told = new ArrayList<>();
    ProgramRun.Report r = new ProgramRun(3, null, told::add).play();
    assertEquals(
        r.requests(), told.stream().filter(t -> t.contains("  request ")).count());
    assertEquals(
        r.served(), told.stream().filter(t -> t.contains(", status 200")).count());
  }

  @Test
  void stepsThatAreNotThereAreRefused() {
    assertThrows(IllegalArgumentException.class, () -> new ProgramRun(1, List.of(100_000), null));
  }
}
