package pumicekeel.rig.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Plays scenarios at their sizes, round by round, and keeps what they come to; what the file has already is not played again. */
public final class ScaleRun {

  /** How a run ended. */
  public enum Outcome {
    /** The file holds every point that was asked for. */
    COMPLETE,
    /** The time was up first; the same command goes on from there. */
    OUT_OF_TIME,
    /** A state that a scenario waits for did not come. */
    NOT_REACHED
  }

  /** How much is played, and of which build. */
  public record Plan(
      List<Scenario> scenarios, List<Integer> sizes, int rounds, String build, long seed) {

    /** The sizes of a scenario: those that were asked for, or its axis's. */
    public List<Integer> sizesOf(Scenario scenario) {
      return sizes.isEmpty() ? scenario.axis().sizes() : sizes;
    }

    int points() {
      return scenarios.stream().mapToInt(s -> sizesOf(s).size() * rounds).sum();
    }
  }

  /** The figure of a size that the program does not take. */
  public static final String REFUSED = "refused";

  private final Plan plan;
  private final ResultFile results;
  private final Deadline deadline;
  private final PrintStream progress;
  private final Set<Scenario> warm = new HashSet<>();

  public ScaleRun(Plan plan, ResultFile results, Deadline deadline, PrintStream progress) {
    this.plan = plan;
    this.results = results;
    this.deadline = deadline;
    this.progress = progress;
  }

  /** A size that the program does not take is a result too. */
  private Map<String, Double> measured(Scenario scenario, int size, long seed)
      throws IOException, InterruptedException, TimeoutException {
    try {
      if (warm.add(scenario)) {
        scenario.warmUp(seed, deadline);
      }
      return scenario.measure(size, seed, deadline);
    } catch (RefusedException e) {
      progress.println("    refused: " + e.getMessage());
      return Map.of(REFUSED, 1.0);
    }
  }

  /** Plays what is missing. */
  public Outcome run() throws IOException, InterruptedException {
    int done = 0;
    for (int round = 1; round <= plan.rounds(); round++) {
      for (Scenario scenario : plan.scenarios()) {
        for (int size : plan.sizesOf(scenario)) {
          done++;
          if (results.contains(scenario.name(), size, round)) {
            continue;
          }
          if (deadline.hasExpired()) {
            return Outcome.OUT_OF_TIME;
          }
          try {
            progress.printf("%d of %d: ", done, plan.points());
            play(scenario, size, round);
          } catch (TimeoutException e) {
            progress.println(e.getMessage());
            return deadline.hasExpired() ? Outcome.OUT_OF_TIME : Outcome.NOT_REACHED;
          }
        }
      }
    }
    return Outcome.COMPLETE;
  }

  private void play(Scenario scenario, int size, int round)
      throws IOException, InterruptedException, TimeoutException {
    long seed = plan.seed() + round;
    double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    progress.printf(
        "%s at %d %s, round %d, seed %d, load %.1f%n",
        scenario.name(), size, scenario.axis().key(), round, seed, load);
    long from = System.nanoTime();
    Map<String, Double> figures = measured(scenario, size, seed);
    results.add(new Sample(
        scenario.name(),
        scenario.axis(),
        size,
        round,
        plan.build(),
        seed,
        load,
        Runtime.getRuntime().availableProcessors(),
        Instant.now().truncatedTo(ChronoUnit.SECONDS).toString(),
        figures));
    progress.printf(
        "    %.1f s: %s%n",
        (System.nanoTime() - from) / (double) TimeUnit.SECONDS.toNanos(1),
        FigureFormat.format(figures));
  }
}
