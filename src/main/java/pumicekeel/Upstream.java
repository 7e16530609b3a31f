package pumicekeel;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import pumicekeel.Window.Metric;

/** The state that a balancer keeps about an upstream. */
final class Upstream {
  /** Consecutive failures that eject an upstream, and the limits of the ejection time. */
  private static final int EJECT_FAILURES = 3;

  private static final long MIN_EJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long MAX_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(8);
  private static final int MAX_EJECTION_SHIFT = 10;
  /** Silent: no answer for this many mean gaps between its answers, and for this part of the shortest aim. */
  private static final double SILENT_GAPS = 8;

  private static final double SILENT_AIMS = 0.3;
  /** Plus this many times the mean overhead of its attempts in this balancer, since the overhead varies. */
  private static final double SILENT_OVERHEADS = 2;

  final long id;
  final Window window;
  /** In-flight time over the long window of bounded load. */
  final Window inFlightTime;
  /** The sends that a cold upstream may still get from this instance, its part if instances of the process share it. */
  final TokenBucket coldBudget = new TokenBucket() {
    @Override
    double fill(long now, double perSecond, double capacity) {
      int sharers = listed.sharers();
      return super.fill(now, perSecond / sharers, Math.max(1, capacity / sharers));
    }
  };

  Balancer.ListedUpstream listed;
  long started;
  long firstServed;
  long lastAnswerAt;
  int inFlight;
  /** Sum of the loads of the attempts in flight, in mean requests. */
  double load;

  int failures;
  int ejections;
  long ejectedUntil;
  /** Whether an attempt in flight tests it after an ejection; no other is sent until its outcome. */
  boolean onProbation;
  /** The number of the last ring walk that visited it. */
  long lastWalk;

  Upstream(long id, Window window, Window inFlightTime) {
    this.id = id;
    this.window = window;
    this.inFlightTime = inFlightTime;
  }

  /** Records a failed attempt; the upstream is ejected after several in a row, for longer each time. */
  void recordFailure(long now, SplittableRandom random) {
    onProbation = false;
    if (++failures >= EJECT_FAILURES && ejectedUntil <= now) {
      long longest = Math.min(
          MAX_EJECTION_NANOS, MIN_EJECTION_NANOS << Math.min(ejections++, MAX_EJECTION_SHIFT));
      ejectedUntil = now + (long) (longest * (0.5 + random.nextDouble() / 2));
    }
  }

  /**
   * Returns whether it has been silent far longer than usual: frozen or dead, before a time-out shows it. The balancer's own overhead is
   * allowed for: else a slow one would hedge, exclude healthy upstreams and slow down further. In exchange, it detects a dead upstream
   * that much later.
   */
  boolean isSilent(long now, long shortestAim) {
    if (inFlight == 0) {
      // Checked first, as it holds for most: a sweep checks all upstreams.
      return false;
    }
    double gap = window.mean(now, 1) / inFlight;
    double overhead =
        window.total(now, Metric.OVERHEAD) / Math.max(1, window.total(now, Metric.SAMPLES));
    return gap > 0
        && now - lastAnswerAt
            > Math.max(SILENT_GAPS * gap, SILENT_AIMS * shortestAim) + SILENT_OVERHEADS * overhead;
  }
}
