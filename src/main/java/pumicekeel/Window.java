package pumicekeel;

import java.util.Arrays;

/** Counts and sums over a sliding window, and further back if it holds too few samples. */
final class Window {

  /** What a window counts: offered and admitted requests, latency samples, and the sums of the samples' latencies, aims and
   * overheads in this balancer. */
  enum Metric {
    OFFERED,
    ADMITTED,
    SAMPLES,
    SUM,
    AIMS,
    OVERHEAD
  }

  /** A window slides in steps of a twelfth. */
  private static final int SLOTS = 12;

  private final long slotNanos;
  private final int slotCount;
  private final double[][] slots;
  private final double[] totals = new double[Metric.values().length];
  private long slot;

  Window(long lengthNanos, long now) {
    this(lengthNanos, 1, now);
  }

  /** Creates a window that keeps {@code windowsBack} times its length. */
  Window(long lengthNanos, int windowsBack, long now) {
    slotNanos = lengthNanos / SLOTS;
    slotCount = SLOTS * windowsBack;
    slots = new double[Metric.values().length][slotCount];
    slot = now / slotNanos;
  }

  /** Returns whether everything counted has expired. */
  boolean empty(long now) {
    return now / slotNanos - slot >= slotCount;
  }

  void add(long now, Metric metric, double amount) {
    totals[metric.ordinal()] = total(now, metric) + amount;
    slots[metric.ordinal()][(int) (slot % slotCount)] += amount;
  }

  /** Returns the total of the last window. */
  double total(long now, Metric metric) {
    long current = now / slotNanos;
    if (current - slot >= slotCount) {
      // Everything has expired. Advancing slot by slot would subtract slots that left the totals
      // long ago and never the last ones, which leaves a permanent error.
      clear();
      slot = current;
    }
    for (long s = slot + 1; s <= current; s++) {
      for (int m = 0; m < totals.length; m++) {
        totals[m] -= s >= SLOTS ? slots[m][(int) ((s - SLOTS) % slotCount)] : 0;
        slots[m][(int) (s % slotCount)] = 0;
      }
    }
    slot = current;
    return totals[metric.ordinal()];
  }

  private void clear() {
    for (int m = 0; m < totals.length; m++) {
      totals[m] = 0;
      Arrays.fill(slots[m], 0);
    }
  }

  /** Returns the total of the last window, extended back until it has {@code minSamples} or no older slot is kept. */
  double totalOfSamples(long now, Metric metric, int minSamples) {
    double sum = total(now, metric);
    double samples = totals[Metric.SAMPLES.ordinal()];
    for (long s = slot - SLOTS; samples < minSamples && s > slot - slotCount && s >= 0; s--) {
      samples += slots[Metric.SAMPLES.ordinal()][(int) (s % slotCount)];
      sum += slots[metric.ordinal()][(int) (s % slotCount)];
    }
    return sum;
  }

  /** Returns the mean of at least {@code minSamples} samples if so many are kept; 0, which means healthy, without any. */
  double mean(long now, int minSamples) {
    double samples = totalOfSamples(now, Metric.SAMPLES, minSamples);
    return samples < 0.5 ? 0 : totalOfSamples(now, Metric.SUM, minSamples) / samples;
  }
}
