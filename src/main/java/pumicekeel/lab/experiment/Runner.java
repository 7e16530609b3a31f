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

/** Plays an experiment's runs side by side, one thread each, and writes each result down as it comes. */
public final class Runner {

  private static final long LINE_NANOS = 2_000_000_000L;

  /** Plays one run. */
  interface Player {
    /** Its figures; null where it was stopped. */
    Figures play(Run run, java.util.function.BooleanSupplier stop);
  }

  private final Experiment experiment;
  private final String build;
  private final int threads;
  private final Consumer<String> progress;
  private final Player player;

  /** {@code build}: the program that runs, for the results; {@code progress} gets lines for people. */
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

  /** Plays what the file does not hold yet; the number of runs that came to no figures. */
  public int run(ResultFile file) throws IOException, InterruptedException {
    Set<String> done = new HashSet<>();
    file.before().stream().filter(Result::ok).forEach(r -> done.add(r.run().key()));
    List<Run> left = new ArrayList<>(experiment.runs());
    left.removeIf(r -> done.contains(r.key()));
    progress.accept(left.size() + " runs, " + done.size() + " done before"
        + (file.cut() ? ", half a line cut off" : ""));
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try {
      CompletionService<Result> results = new ExecutorCompletionService<>(pool);
      left.forEach(run -> results.submit(() -> play(run)));
      return collect(results, left.size(), file);
    } finally {
      pool.shutdownNow();
    }
  }

  private int collect(CompletionService<Result> results, int count, ResultFile file)
      throws IOException, InterruptedException {
    long from = System.nanoTime();
    long toldAt = from;
    int without = 0;
    for (int i = 1; i <= count; i++) {
      Result r;
      try {
        r = results.take().get();
      } catch (ExecutionException e) {
        throw new IllegalStateException(e.getCause());
      }
      file.add(r);
      without += r.ok() ? 0 : 1;
      if (!r.ok() || r.figures().getOrDefault("broken", 0.0) > 0) {
        progress.accept(
            r.run().key() + ": " + (r.ok() ? "a rule was broken: " : r.status() + ": ") + r.note());
      }
      long now = System.nanoTime();
      if (now - toldAt > LINE_NANOS || i == count) {
        toldAt = now;
        progress.accept(i + " of " + count + ", "
            + TimeUnit.NANOSECONDS.toSeconds((now - from) / i * (count - i)) + " s left");
      }
    }
    return without;
  }

  /** One run that fails or hangs does not end the others. */
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
      String where = e.getStackTrace().length == 0 ? "" : " at " + e.getStackTrace()[0];
      return new Result(run, build, "error", e + where, java.util.Map.of());
    }
  }
}
