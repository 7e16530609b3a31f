package pumicekeel.lab.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionService;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pumicekeel.lab.experiment.Experiment.Run;
import pumicekeel.lab.fleet.Figures;
import pumicekeel.lab.fleet.FleetRun;
import pumicekeel.lab.policy.Policies;

/** Plays the runs of an experiment in parallel, each on one thread, and writes each result when its run ends. */
public final class Runner {

  private static final long PROGRESS_INTERVAL_NANOS = 2_000_000_000L;

  /** Plays one run. */
  interface Player {
    /** Returns the figures of the run, or null if it was stopped. */
    Figures play(Run run, java.util.function.BooleanSupplier stop);
  }

  private final Experiment experiment;
  private final String build;
  private final int threads;
  private final Consumer<String> progress;
  private final Player player;

  /** Creates a runner. {@code build} is the program's build for the results; {@code progress} receives lines for the user. */
  public Runner(Experiment experiment, String build, int threads, Consumer<String> progress) {
    this(
        experiment,
        build,
        threads,
        progress,
        (run, stop) ->
            new FleetRun(run.spec(), Policies.of(run.policy()), run.seed(), null).play(stop));
  }

  Runner(
      Experiment experiment, String build, int threads, Consumer<String> progress, Player player) {
    this.experiment = experiment;
    this.build = build;
    this.threads = threads;
    this.progress = progress;
    this.player = player;
  }

  /** Plays the runs that have no figures in the file yet. Returns the number of runs that ended without figures. */
  public int run(ResultFile file) throws IOException, InterruptedException {
    Set<String> done = new HashSet<>();
    file.existing().stream()
        .filter(Result::ok)
        .forEach(result -> done.add(result.run().key()));
    List<Run> remaining = new ArrayList<>(experiment.runs());
    remaining.removeIf(run -> done.contains(run.key()));
    progress.accept(remaining.size() + " runs to play, " + done.size() + " already done"
        + (file.truncated() ? ", incomplete last line removed" : ""));
    ExecutorService executor = Executors.newFixedThreadPool(threads);
    try {
      CompletionService<Result> results = new ExecutorCompletionService<>(executor);
      remaining.forEach(run -> results.submit(() -> play(run)));
      return collect(results, remaining.size(), file);
    } finally {
      executor.shutdownNow();
    }
  }

  private int collect(CompletionService<Result> results, int count, ResultFile file)
      throws IOException, InterruptedException {
    long startedAt = System.nanoTime();
    long reportedAt = startedAt;
    int withoutFigures = 0;
    for (int i = 1; i <= count; i++) {
      Result result;
      try {
        result = results.take().get();
      } catch (ExecutionException e) {
        throw new IllegalStateException(e.getCause());
      }
      file.add(result);
      withoutFigures += result.ok() ? 0 : 1;
      if (!result.ok() || result.figures().getOrDefault("broken", 0.0) > 0) {
        progress.accept(result.run().key() + ": "
            + (result.ok() ? "a rule was broken: " : result.status() + ": ") + result.note());
      }
      long now = System.nanoTime();
      if (now - reportedAt > PROGRESS_INTERVAL_NANOS || i == count) {
        reportedAt = now;
        progress.accept(i + " of " + count + ", "
            + TimeUnit.NANOSECONDS.toSeconds((now - startedAt) / i * (count - i)) + " s left");
      }
    }
    return withoutFigures;
  }

  /** Plays one run. A run that fails or exceeds its time does not end the others. */
  private Result play(Run run) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(experiment.runLimitSeconds());
    try {
      Figures figures = player.play(
          run, () -> System.nanoTime() - end > 0 || Thread.currentThread().isInterrupted());
      return figures == null
          ? new Result(
              run,
              build,
              "stopped",
              "beyond " + experiment.runLimitSeconds() + " s",
              java.util.Map.of())
          : Result.of(run, build, figures);
    } catch (RuntimeException | StackOverflowError e) {
      String location = e.getStackTrace().length == 0 ? "" : " at " + e.getStackTrace()[0];
      return new Result(run, build, "error", e + location, java.util.Map.of());
    }
  }
}
