package pumicekeel.lab.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicekeel.lab.experiment.Experiment.Run;
import pumicekeel.lab.fleet.Figures;
import pumicekeel.lab.fleet.FleetRun;
import pumicekeel.lab.policy.Policies;

/** Tests reading, playing, storing and comparing experiments. */
class ExperimentTest {

  private static final String VALID =
      "name = \"n\"\nworlds = [\"calm\"]\npolicies = [\"adaptive\", \"random\"]\nbalancers = [2, 4]\n"
          + "seeds = 3\nrun-limit-s = 1\n[sweep]\nload = [0.5, 1.5]\n";

  @TempDir
  private Path folder;

  private final List<String> progress = java.util.Collections.synchronizedList(new ArrayList<>());

  private static String faultsOf(String text) {
    return String.join(
        "\n",
        assertThrows(
                Experiment.InvalidExperimentException.class, () -> Experiment.read(text, "e.toml"))
            .lines());
  }

  @Test
  void validFileYieldsAllRunsWithDistinctKeys() throws Exception {
    List<Run> runs = Experiment.read(VALID, "e.toml").runs();
    assertEquals(2 * 2 * 2 * 3, runs.size());
    assertEquals(runs.size(), runs.stream().map(Run::key).distinct().count());
    assertEquals(1.5, runs.get(2).spec().load());
    assertEquals(20, runs.get(runs.size() - 1).servers());
  }

  @Test
  void invalidExperimentHasALinePerFault() {
    assertEquals(
        "e.toml:2: worlds: expected one of " + pumicekeel.lab.world.Worlds.names()
            + ", got \"clam\"",
        faultsOf(VALID.replace("calm", "clam")));
    assertTrue(faultsOf(VALID.replace("random", "rnd"))
        .startsWith("e.toml:3: policies: expected one of [adaptive, random,"));
    assertTrue(faultsOf(VALID.replace("[0.5, 1.5]", "[]"))
        .contains("e.toml:8: sweep.load: expected values to sweep, got nothing"));
    assertTrue(faultsOf(VALID.replace("load = [0.5", "retry-part = [0.5"))
        .contains("retry-part: expected 0 to 1, got 1.5"));
    assertTrue(
        faultsOf(VALID.replace("load =", "lod =")).contains("sweep: expected one of [load,"));
    assertTrue(faultsOf(VALID.replace("seeds", "sedes")).contains("e.toml:5: sedes: "));
    assertTrue(faultsOf(VALID.replace("seeds = 3", "seeds = 0")).contains("e.toml:5: seeds: "));
    assertTrue(faultsOf(VALID.replace("balancers = [2, 4]\n", ""))
        .contains("balancers: expected numbers of balancers"));
    assertTrue(faultsOf("name = [").contains("TOML"));
  }

  private static Figures figures(double worth) {
    return new Figures(
        worth, worth, worth, worth, worth, 1, 1, 1, 0, 0, 0, 1, 1, 1, 1, 0, 0, 0, Map.of(), null,
        1);
  }

  private Runner runner(Runner.Player player) throws Exception {
    return new Runner(Experiment.read(VALID, "e.toml"), "b", 3, progress::add, player);
  }

  @Test
  void killedExperimentContinuesAndRepeatsTheRunOfAnIncompleteLine() throws Exception {
    Path file = folder.resolve("r.jsonl");
    AtomicInteger played = new AtomicInteger();
    try (ResultFile results = ResultFile.open(file)) {
      assertEquals(
          0,
          runner((run, stop) -> {
                played.incrementAndGet();
                return figures(run.seed());
              })
              .run(results));
    }
    assertEquals(24, played.get());
    String complete = Files.readString(file);
    // Keep ten complete lines and a part of the next.
    int lengthOfTenLines = complete.length()
        - complete.lines().skip(10).mapToInt(line -> line.length() + 1).sum();
    Files.writeString(file, complete.substring(0, lengthOfTenLines + 25));
    played.set(0);
    try (ResultFile results = ResultFile.open(file)) {
      assertTrue(results.truncated());
      runner((run, stop) -> {
            played.incrementAndGet();
            return figures(run.seed());
          })
          .run(results);
    }
    assertEquals(14, played.get());
    assertEquals(
        complete.lines().sorted().toList(),
        Files.readString(file).lines().sorted().toList());
  }

  @Test
  void invalidLineIsReportedAndTheFileIsNotChanged() throws Exception {
    Path file = Files.writeString(folder.resolve("r.jsonl"), "{\"world\":1}\n");
    assertTrue(assertThrows(IOException.class, () -> ResultFile.open(file))
        .getMessage()
        .contains("r.jsonl:1: expected a result"));
    assertEquals("{\"world\":1}\n", Files.readString(file));
  }

  @Test
  void hangingAndFailingRunsDoNotEndTheOthers() throws Exception {
    Path file = folder.resolve("r.jsonl");
    try (ResultFile results = ResultFile.open(file)) {
      assertEquals(
          2,
          runner((run, stop) -> {
                if (run.key().equals("calm 2x10 45.0s load=0.5 seed 1 adaptive")) {
                  while (!stop.getAsBoolean()) {
                    Thread.onSpinWait();
                  }
                  return null;
                }
                if (run.key().equals("calm 2x10 45.0s load=0.5 seed 2 random")) {
                  throw new IllegalStateException("a defect");
                }
                return figures(1);
              })
              .run(results));
    }
    List<Result> all = ResultFile.read(file);
    assertEquals(24, all.size());
    assertEquals(
        List.of("error", "stopped"),
        all.stream()
            .map(Result::status)
            .filter(status -> !status.equals("ok"))
            .sorted()
            .toList());
    assertTrue(progress.stream().anyMatch(line -> line.contains("a defect")), progress.toString());
  }

  private static Result result(String policy, long seed, double worth) {
    Map<String, Double> figuresByName = new HashMap<>();
    Figures.NAMES.forEach(name -> figuresByName.put(name, figures(worth).get(name)));
    return new Result(
        new Run("calm", policy, 2, 10, 45, "", 0, seed), "b", "ok", "", figuresByName);
  }

  @Test
  void pairingDetectsASmallDifferenceInALargeSpreadAndNotInNoise() {
    List<Result> all = new ArrayList<>();
    for (int seed = 0; seed < 10; seed++) {
      double world = 0.3 + 0.06 * seed;
      all.add(result("adaptive", seed, world));
      all.add(result("random", seed, world - 0.01 - 0.001 * (seed % 3)));
      all.add(result("round-robin", seed, world + (seed % 2 == 0 ? 0.02 : -0.02)));
    }
    assertEquals(
        Comparison.Verdict.WORSE,
        Comparison.of(all, "adaptive", all, "random", "worth").get(0).verdict());
    assertEquals(
        Comparison.Verdict.BETTER,
        Comparison.of(all, "random", all, "adaptive", "worth").get(0).verdict());
    assertEquals(
        Comparison.Verdict.UNKNOWN,
        Comparison.of(all, "adaptive", all, "round-robin", "worth").get(0).verdict());
    Comparison.Line line =
        Comparison.of(all, "adaptive", all, "random", "worth").get(0);
    assertEquals(10, line.pairs());
    assertEquals(-0.0109, line.mean(), 1e-9);
    // Student's t with 9 degrees of freedom at 97.5 % is 2.262.
    assertEquals(2.262 * 0.00087559 / Math.sqrt(10), line.high() - line.mean(), 1e-6);
    assertEquals(
        Comparison.Verdict.UNKNOWN,
        Comparison.of(all.subList(0, 6), "adaptive", all.subList(0, 6), "random", "worth")
            .get(0)
            .verdict(),
        "two pairs are too few for an interval");
  }

  @Test
  void resultSurvivesARoundTripAndThePageIsSelfContained() throws Exception {
    Result result =
        Result.of(new Run("calm", "adaptive", 2, 10, 45, "load", 1.5, 3), "b", figures(0.25));
    assertEquals(result, Result.of(result.line()));
    String page = Report.html("<x>", List.of(result));
    assertTrue(page.contains("&lt;x&gt;")
        && page.contains("<svg")
        && page.contains("0.250")
        && !page.contains("src="));
  }

  @Test
  void worldWithoutAViolationIsNotShrunk() {
    // The module keeps a budget for cold upstreams, other than the policy true-state-late, so it
    // breaks no rule here.
    var world = pumicekeel.lab.world.Worlds.of("calm", 2, 4).withSeconds(10);
    assertEquals(null, new Shrinker(Policies.OWN, 1, progress::add).shrink(world));
    assertTrue(new FleetRun(world, Policies.of(Policies.OWN), 1, null)
        .play(() -> false)
        .violations()
        .isEmpty());
  }
}
