package pumicekeel;

import java.util.Arrays;

/** Counts and sums over the last window, and further back where it holds too few samples. */
final class Window {

  /** What a window counts: offers, admissions, samples, the sum of their latencies, the sum of their aims,
   * the time that they spent in the balancer. */
  enum Metric {
    OFFERED,
    ADMITTED,
    SAMPLES,
    SUM,
    AIMS,
    OURS
  }

  /** A window forgets in steps of a twelfth. */
  private static final int SLOTS = 12;

  private final long slotNanos;
  private final int kept;
  private final double[][] slots;
  private final double[] totals = new double[Metric.values().length];
  private long slot;

  Window(long lengthNanos, long now) {
    this(lengthNanos, 1, now);
  }

  /** A window that remembers so many times its length. */
  Window(long lengthNanos, int reach, long now) {
    slotNanos = lengthNanos / SLOTS;
    kept = SLOTS * reach;
    slots = new double[Metric.values().length][kept];
    slot = now / slotNanos;
  }

  /** Whether all that it counted lies further back than it remembers. */
  boolean empty(long now) {
    return now / slotNanos - slot >= kept;
  }

  void add(long now, Metric metric, double amount) {
    totals[metric.ordinal()] = total(now, metric) + amount;
    slots[metric.ordinal()][(int) (slot % kept)] += amount;
  }

  /** The total of the last window. */
  double total(long now, Metric metric) {
    long current = now / slotNanos;
    if (current - slot >= kept) {
      // All lies further back. Turned slot by slot, some would be taken off that left the totals
      // long ago, and the
      // last ones never: the difference would count from then on.
      clear();
      slot = current;
    }
    for (long s = slot + 1; s <= current; s++) {
      for (int m = 0; m < totals.length; m++) {
        totals[m] -= s >= SLOTS ? slots[m][(int) ((s - SLOTS) % kept)] : 0;
        slots[m][(int) (s % kept)] = 0;
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

  /** The total of the last window, reaching back for so many samples as far as the window remembers. */
  double reach(long now, Metric metric, int enough) {
    double sum = total(now, metric);
    double samples = totals[Metric.SAMPLES.ordinal()];
    for (long s = slot - SLOTS; samples < enough && s > slot - kept && s >= 0; s--) {
      samples += slots[Metric.SAMPLES.ordinal()][(int) (s % kept)];
      sum += slots[metric.ordinal()][(int) (s % kept)];
    }
    return sum;
  }

  /** Mean of the samples, of so many at least where the window remembers them; 0, healthy, where there are none. */
  double mean(long now, int enough) {
    double samples = reach(now, Metric.SAMPLES, enough);
    return samples < 0.5 ? 0 : reach(now, Metric.SUM, enough) / samples;
  }
}
