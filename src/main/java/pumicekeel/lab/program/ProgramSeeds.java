package pumicekeel.lab.program;

import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Plays the runs of consecutive seeds in parallel; each run has its own thread, event loop and network. */
public final class ProgramSeeds {

  /**
   * The combined results of all runs.
   *
   * @param runs number of runs
   * @param requests requests that clients sent
   * @param served requests that were answered with 200
   * @param refused requests that were answered with 429 or 503
   * @param violations the first violated rule of each run that had one, by seed
   */
  public record Total(
      long runs,
      long requests,
      long served,
      long refused,
      ConcurrentSkipListMap<Long, String> violations) {}

  private static final int PROGRESS_LINES = 20;

  private final long first;
  private final long runs;
  private final int threads;
  private final Consumer<String> progress;
  private final AtomicLong next = new AtomicLong();
  private final AtomicLong requests = new AtomicLong();
  private final AtomicLong served = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final ConcurrentSkipListMap<Long, String> violations = new ConcurrentSkipListMap<>();

  /** Creates {@code runs} runs from the seed {@code first} on; {@code progress} receives a line for each violation and now and then. */
  public ProgramSeeds(long first, long runs, int threads, Consumer<String> progress) {
    this.first = first;
    this.runs = runs;
    this.threads = threads;
    this.progress = progress;
  }

  /** Plays all runs, also after one with a violation. */
  public Total play() throws InterruptedException {
    ExecutorService workers = Executors.newFixedThreadPool(threads, work -> {
      Thread t = new Thread(work, "seeds");
      t.setDaemon(true);
      return t;
    });
    for (int i = 0; i < threads; i++) {
      workers.execute(this::work);
    }
    workers.shutdown();
    while (!workers.awaitTermination(1, TimeUnit.HOURS)) {
      progress.accept(Math.min(runs, next.get()) + " of " + runs);
    }
    return new Total(runs, requests.get(), served.get(), refused.get(), violations);
  }

  private void work() {
    for (long i = next.getAndIncrement(); i < runs; i = next.getAndIncrement()) {
      ProgramRun.Report r = new ProgramRun(first + i).play();
      requests.addAndGet(r.requests());
      served.addAndGet(r.served());
      refused.addAndGet(r.refused());
      if (r.violation() != null) {
        violations.put(r.seed(), r.violation());
        progress.accept("seed " + r.seed() + ": " + r.violation());
      }
      if ((i + 1) % Math.max(1, runs / PROGRESS_LINES) == 0) {
        progress.accept(i + 1 + " of " + runs);
      }
    }
  }
}
