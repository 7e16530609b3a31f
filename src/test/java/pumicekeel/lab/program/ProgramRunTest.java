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
  private static final int TOO_FEW_SOCKETS = 6;

  @Test
  void allRulesHold() {
    int requests = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      ProgramRun.Report r = new ProgramRun(seed).play();
      assertNull(r.violation(), "lab program --seed " + seed + " --trace: " + r.violation());
      requests += r.requests();
    }
    assertTrue(requests > SEEDS * 50, "requests: " + requests);
  }

  @Test
  void sameSeedGivesTheSameRun() {
    for (long seed = 100; seed < 105; seed++) {
      assertEquals(new ProgramRun(seed).play(), new ProgramRun(seed).play(), "seed " + seed);
    }
    assertNotEquals(
        new ProgramRun(100).play().checksum(), new ProgramRun(101).play().checksum());
  }

  @Test
  void everyKindOfStepOccursWithinAThousandSeeds() {
    List<Kind> kinds = new ArrayList<>();
    for (long seed = 1; seed <= 1_000; seed++) {
      Script.of(seed).steps().forEach(s -> kinds.add(s.kind()));
    }
    for (Kind k : Kind.values()) {
      assertTrue(kinds.contains(k), k.toString());
    }
  }

  /** Clients beyond the program's limit of connections wait in the kernel's backlog and are answered too late. */
  @Test
  void failingRunIsReducedToFewerStepsWithTheSameViolation() {
    Script failing = failingScript();
    List<String> progress = new ArrayList<>();
    ProgramShrinker.Shrunk shrunk = new ProgramShrinker(failing, progress::add).shrink();
    assertNotNull(shrunk);
    assertTrue(
        shrunk.steps().size() < failing.steps().size(),
        shrunk.steps() + " of " + failing.steps().size());
    assertEquals(
        shrunk.violation(),
        new ProgramRun(failing.withSteps(shrunk.steps()), null).play().violation());
    assertTrue(progress.size() > 1);
  }

  private static Script failingScript() {
    for (long seed = 1; ; seed++) {
      Script s = Script.of(seed);
      Script fewSockets =
          new Script(seed, s.servers(), TOO_FEW_SOCKETS, s.requestsPerSecond(), false, s.steps());
      if (s.steps().size() < 150 && new ProgramRun(fewSockets, null).play().violation() != null) {
        return fewSockets;
      }
    }
  }

  /** All upstreams become unreachable during large uploads: without a time limit their clients would wait for twenty minutes. */
  @Test
  void uploadsToUnreachableUpstreamsEnd() {
    Script script = Script.of(5);
    List<Step> steps = new ArrayList<>();
    for (int number = 0; number < 600; number++) {
      RequestScenario scenario = new RequestScenario(script, number);
      if (scenario.bodyBytes > 200_000
          && scenario.requiresAnswer()
          && !scenario.slowReader
          && scenario.effect != pumicekeel.Balancer.Effect.SAFE) {
        steps.add(new Step(500 * Script.NANOS_PER_MS, Kind.REQUEST, number, 0));
      }
    }
    for (int i = 0; i < script.servers(); i++) {
      steps.add(new Step(503 * Script.NANOS_PER_MS, Kind.ISOLATE, i, 60 * Script.NANOS_PER_SECOND));
    }
    assertTrue(steps.size() > script.servers() + 3, "uploads: " + steps.size());
    assertNull(new ProgramRun(new Script(5, script.servers(), 200, 20, false, steps), null)
        .play()
        .violation());
  }

  @Test
  void traceContainsEveryRequestAndEveryServedAnswer() {
    List<String> lines = new ArrayList<>();
    ProgramRun.Report r = new ProgramRun(3, null, lines::add).play();
    assertEquals(
        r.requests(), lines.stream().filter(t -> t.contains("  request ")).count());
    assertEquals(
        r.served(), lines.stream().filter(t -> t.contains(", status 200")).count());
  }

  @Test
  void unknownStepNumbersAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new ProgramRun(1, List.of(100_000), null));
  }
}
