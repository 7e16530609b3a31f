package pumicekeel.rig.soak;

import java.util.Random;

/**
 * Replaces upstreams while lists fail to arrive: each drains, stops, and returns cold under its old name and address. Runs on its own
 * threads, at times derived from the seed.
 */
final class UpstreamReplacement {

  /** Maximum number of upstreams that are being replaced at the same time. */
  private static final int MAX_REPLACED = 5;

  private static final int MAX_PAUSE_MILLIS = 900;
  private static final int MIN_ABSENCE_MILLIS = 1_000;
  private static final int MAX_ABSENCE_MILLIS = 4_000;
  private static final int MAX_DRAIN_MILLIS = 2_000;
  /** Time from the first replacement to the start of an outage of discovery. */
  private static final long OUTAGE_DELAY_MILLIS = 5_000;

  private static final long OUTAGE_MILLIS = 20_000;

  private final SoakRun run;
  private final Random random;
  private final long endAt;
  private final Thread thread;
  private final Thread outageThread;

  /** Starts the replacements at once. */
  UpstreamReplacement(SoakRun run) {
    this.run = run;
    random = new Random(run.plan.seed() * 31 + 7);
    endAt = System.nanoTime() + run.plan.seconds() * 1_000_000_000L;
    thread = new Thread(this::replaceAll, "upstream replacement");
    outageThread = new Thread(this::outage, "outage of discovery");
    thread.start();
    if (run.plan.lists() == ListTrouble.OUTAGE) {
      outageThread.start();
    }
    if (run.plan.lists() == ListTrouble.IGNORED) {
      run.ignoreCallsOfFirstBalancer();
    }
  }

  private void replaceAll() {
    try {
      Thread[] replacements = new Thread[MAX_REPLACED];
      for (int i = 0; System.nanoTime() - endAt < 0; i = (i + 1) % MAX_REPLACED) {
        SoakRun.pause(random.nextInt(MAX_PAUSE_MILLIS));
        if (replacements[i] != null) {
          replacements[i].join();
        }
        replacements[i] = replace(i);
      }
      for (Thread replacement : replacements) {
        if (replacement != null) {
          replacement.join();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Starts one replacement. Each slot chooses among its own upstreams, so that none is replaced twice at once. */
  private Thread replace(int slot) {
    int upstream = slot + MAX_REPLACED * random.nextInt(run.upstreams.size() / MAX_REPLACED);
    long drainMillis = random.nextInt(MAX_DRAIN_MILLIS);
    long absenceMillis =
        MIN_ABSENCE_MILLIS + random.nextInt(MAX_ABSENCE_MILLIS - MIN_ABSENCE_MILLIS);
    Thread replacement = new Thread(
        () -> {
          try {
            run.changeStatus(upstream, "terminating", 0);
            SoakRun.pause(drainMillis);
            run.upstreamLinks.get(upstream).refuse(true);
            run.upstreamLinks.get(upstream).reset();
            run.changeStatus(upstream, "terminated", 0);
            SoakRun.pause(absenceMillis);
            run.upstreamLinks.get(upstream).refuse(false);
            run.changeStatus(upstream, "in_service", System.currentTimeMillis());
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        },
        "replacement of " + upstream);
    replacement.start();
    return replacement;
  }

  private void outage() {
    try {
      SoakRun.pause(OUTAGE_DELAY_MILLIS);
      long from = System.nanoTime();
      run.discovery.down(true);
      SoakRun.pause(OUTAGE_MILLIS);
      run.discovery.down(false);
      run.notifications.outage(from, System.nanoTime());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until every upstream has returned. */
  void awaitEnd() throws InterruptedException {
    thread.join();
    outageThread.join();
  }
}
