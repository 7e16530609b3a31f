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
      assertNull(
          new QuotaSim(seed, 3 + (int) (seed % 10)).run(QuotaSim.Course.FAULTS).fault(),
          "seed " + seed);
    }
  }

  /** Small loans grow: one that was lent a little once must not stay at that beside members that are idle. */
  @Test
  void demandThatRisesInSmallStepsIsLentAsMuchAsOneThatJumps() {
    for (int size : new int[] {2, 3, 8, 20}) {
      for (long seed = 1; seed <= 5; seed++) {
        QuotaSim.Report r = new QuotaSim(seed, size).run(QuotaSim.Course.RISING);
        assertNull(r.fault(), "seed " + seed);
        assertTrue(r.shared() > 0.75, r.toString());
      }
    }
  }

  @Test
  void sameSeedSameRunAndLendingAdmitsMoreThanEvenParts() {
    QuotaSim.Report once = new QuotaSim(5, 8).run(QuotaSim.Course.CALM);
    assertEquals(once, new QuotaSim(5, 8).run(QuotaSim.Course.CALM));
    assertTrue(once.shared() > once.fixed() + 0.1, once.toString());
  }
}
