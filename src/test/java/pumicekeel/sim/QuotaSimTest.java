package pumicekeel.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A few seeds of what {@code sim quotas} plays by thousands. */
class QuotaSimTest {

  @Test
  void neverMoreThanTheQuotaWhateverFails() {
    for (long seed = 1; seed <= 40; seed++) {
      assertNull(new QuotaSim(seed, 3 + (int) (seed % 10)).run(true).fault(), "seed " + seed);
    }
  }

  @Test
  void sameSeedSameRunAndLendingAdmitsMoreThanEvenParts() {
    QuotaSim.Report once = new QuotaSim(5, 8).run(false);
    assertEquals(once, new QuotaSim(5, 8).run(false));
    assertTrue(once.shared() > once.fixed() + 0.1, once.toString());
  }
}
