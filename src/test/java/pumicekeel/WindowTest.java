package pumicekeel;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pumicekeel.Window.Metric;

/** Compares a window's totals with plain sums, for gaps of any length between events. */
class WindowTest {

  private static final long SECOND = 1_000_000_000L;

  @Test
  void everythingBeforeALongGapExpires() {
    for (int reach : new int[] {1, 5}) {
      Window w = new Window(SECOND, reach, 0);
      long now = 0;
      // Growing amounts, then an hour without any: a remainder of the last slots would never
      // expire.
      for (int i = 0; i < 600; i++) {
        now += SECOND / 100;
        w.add(now, Metric.OFFERED, i);
      }
      now += 3_600 * SECOND;
      assertEquals(0, w.total(now, Metric.OFFERED), 1e-9, "reach " + reach);
      w.add(now, Metric.OFFERED, 7);
      assertEquals(7, w.total(now, Metric.OFFERED), 1e-9, "reach " + reach);
    }
  }

  @Test
  void totalIsTheSumOfTheLastWindowWithGapsOfAnyLength() {
    for (long seed = 1; seed <= 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      int reach = random.nextBoolean() ? 1 : 5;
      // Twelve slots of a second each, so that the expected sum is exact to the slot.
      Window w = new Window(12 * SECOND, reach, 0);
      double[] bySecond = new double[2_000];
      int now = 0;
      while (true) {
        now += random.nextInt(5) == 0 ? random.nextInt(150) : random.nextInt(3);
        if (now >= bySecond.length) {
          break;
        }
        double amount = random.nextInt(10);
        bySecond[now] += amount;
        w.add(now * SECOND, Metric.OFFERED, amount);
        double sum = 0;
        for (int s = Math.max(0, now - 11); s <= now; s++) {
          sum += bySecond[s];
        }
        assertEquals(
            sum, w.total(now * SECOND, Metric.OFFERED), 1e-6, "seed " + seed + " at " + now);
      }
    }
  }
}
