package pumicekeel.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the decision modules of whole fleets under faults; a seed that fails is reported and can be replayed by {@code sim modules}. */
class ModuleSimTest {

  @Test
  void rulesHoldInFleetsOfThreeToTwentyInstances() {
    long served = 0;
    long requests = 0;
    for (long seed = 1; seed <= 40; seed++) {
      ModuleSim.Report r = new ModuleSim(seed, 3 + (int) (seed * 7 % 18)).run();
      assertNull(r.fault(), "seed " + seed + ", size " + r.size());
      served += r.served();
      requests += r.requests();
    }
    assertTrue(
        served > requests / 2,
        "more than half of the requests are served: " + served + " of " + requests);
  }

  @Test
  void sameSeedGivesTheSameRun() {
    assertEquals(new ModuleSim(5, 8).run(), new ModuleSim(5, 8).run());
  }

  /**
   * When five of six upstreams drained, the load of all six was treated as the capacity of the last one, which was cold: it got 102
   * requests in a window whose budget allowed 68.
   */
  @Test
  void lastReadyUpstreamStaysWithinItsColdBudget() {
    assertNull(new ModuleSim(5596, 7).run().fault());
  }

  @Test
  void rulesHoldInAFleetOfAHundredInstances() {
    ModuleSim.Report r = new ModuleSim(3, 100).run();
    assertNull(r.fault());
    assertTrue(r.served() > 0);
  }
}
