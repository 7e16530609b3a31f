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

/** Measures scenarios at their sizes, round by round, and stores each point in the result file; stored points are not measured again. */
public final class ScaleRun {

  /** How a run ended. */
  public enum Outcome {
    /** The result file contains every planned point. */
    COMPLETE,
    /** The deadline passed before all points were measured; the same command resumes the run. */
    OUT_OF_TIME,
    /** A state that a scenario waits for was not reached. */
    NOT_REACHED
  }

  /**
   * The points to measure.
   *
   * @param scenarios the scenarios to measure
   * @param sizes the sizes to measure; if empty, those of each scenario's axis
   * @param rounds the number of measurements of each size
   * @param build the build that is measured, for the result file
   * @param seed the seed; round N uses this plus N
   */
  public record Plan(
      List<Scenario> scenarios, List<Integer> sizes, int rounds, String build, long seed) {

    /** Returns the sizes at which a scenario is measured. */
    public List<Integer> sizesOf(Scenario scenario) {
      return sizes.isEmpty() ? scenario.axis().sizes() : sizes;
    }

    int pointCount() {
      return scenarios.stream()
          .mapToInt(scenario -> sizesOf(scenario).size() * rounds)
          .sum();
    }
  }

  /** Name of the figure that is stored for a size that the program refuses. */
  public static final String REFUSED = "refused";

  private final Plan plan;
  private final ResultFile results;
  private final Deadline deadline;
  private final PrintStream progress;
  private final Set<Scenario> warmedUp = new HashSet<>();

  /** Creates a run that stores its points in the results and reports progress line by line. */
  public ScaleRun(Plan plan, ResultFile results, Deadline deadline, PrintStream progress) {
    this.plan = plan;
    this.results = results;
    this.deadline = deadline;
    this.progress = progress;
  }

  /** Measures a point; a size that the program refuses is a result, too. */
  private Map<String, Double> measure(Scenario scenario, int size, long seed)
      throws IOException, InterruptedException, TimeoutException {
    try {
      if (warmedUp.add(scenario)) {
        scenario.warmUp(seed, deadline);
      }
      return scenario.measure(size, seed, deadline);
    } catch (RefusedException e) {
      progress.println("    refused: " + e.getMessage());
      return Map.of(REFUSED, 1.0);
    }
  }

  /** Measures all points that the result file does not contain yet. */
  public Outcome run() throws IOException, InterruptedException {
    int pointNumber = 0;
    for (int round = 1; round <= plan.rounds(); round++) {
      for (Scenario scenario : plan.scenarios()) {
        for (int size : plan.sizesOf(scenario)) {
          pointNumber++;
          if (results.contains(scenario.name(), size, round)) {
            continue;
          }
          if (deadline.hasExpired()) {
            return Outcome.OUT_OF_TIME;
          }
          try {
            progress.printf("%d of %d: ", pointNumber, plan.pointCount());
            measureAndStore(scenario, size, round);
          } catch (TimeoutException e) {
            progress.println(e.getMessage());
            return deadline.hasExpired() ? Outcome.OUT_OF_TIME : Outcome.NOT_REACHED;
          }
        }
      }
    }
    return Outcome.COMPLETE;
  }

  private void measureAndStore(Scenario scenario, int size, int round)
      throws IOException, InterruptedException, TimeoutException {
    long seed = plan.seed() + round;
    double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    progress.printf(
        "%s at %d %s, round %d, seed %d, load %.1f%n",
        scenario.name(), size, scenario.axis().key(), round, seed, load);
    long startNanos = System.nanoTime();
    Map<String, Double> figures = measure(scenario, size, seed);
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
        (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1),
        FigureFormat.format(figures));
  }
}
