package pumicekeel.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the sharing of quotas for a few seeds; {@code sim quotas} runs thousands. */
class QuotaSimTest {

  @Test
  void quotaIsNeverExceededUnderFaults() {
    for (long seed = 1; seed <= 40; seed++) {
      assertNull(
          new QuotaSim(seed, 3 + (int) (seed % 10)).run(QuotaSim.Course.FAULTS).fault(),
          "seed " + seed);
    }
  }

  /** A member that was lent a small part must be lent more as its demand rises, while the other members are idle. */
  @Test
  void demandThatRisesInSmallStepsIsLentAsMuchAsDemandThatJumps() {
    for (int size : new int[] {2, 3, 8, 20}) {
      for (long seed = 1; seed <= 5; seed++) {
        QuotaSim.Report r = new QuotaSim(seed, size).run(QuotaSim.Course.RISING);
        assertNull(r.fault(), "seed " + seed);
        assertTrue(r.shared() > 0.75, r.toString());
      }
    }
  }

  @Test
  void sameSeedGivesTheSameRunAndLendingAdmitsMoreThanEvenParts() {
    QuotaSim.Report once = new QuotaSim(5, 8).run(QuotaSim.Course.CALM);
    assertEquals(once, new QuotaSim(5, 8).run(QuotaSim.Course.CALM));
    assertTrue(once.shared() > once.fixed() + 0.1, once.toString());
  }
}
