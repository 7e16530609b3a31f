package pumicekeel.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Whole fleets in virtual time; the command {@code sim fleet} plays more of them. */
class FleetSimTest {

  private static final long SECOND = 1_000_000_000L;

  @Test
  void everyViewIsTheTruthOnceAllFaultsAreOver() {
    for (long seed = 1; seed <= 150; seed++) {
      assertNull(new FleetSim(seed, 3 + (int) (seed * 7 % 18)).faults().fault(), "seed " + seed);
    }
  }

  /** Two restarted with their clocks set back and held each other's life before that for dead. */
  @Test
  void seedThatOnceFailed() {
    assertNull(new FleetSim(8802, 3).faults().fault());
  }

  @Test
  void sameSeedIsTheSameRun() {
    assertEquals(new FleetSim(11, 9).faults(), new FleetSim(11, 9).faults());
  }

  @Test
  void nobodyIsTakenForDeadInAFleetThatIsWell() {
    for (long seed = 1; seed <= 10; seed++) {
      FleetSim.Report calm = new FleetSim(seed, 20).detection(0, 0, 120 * SECOND);
      assertEquals(0, calm.falseDeaths(), "seed " + seed);
      assertEquals(0, calm.refuted(), "seed " + seed);
    }
    FleetSim.Report lossy = new FleetSim(3, 20).detection(0.1, 0, 120 * SECOND);
    assertEquals(0, lossy.falseDeaths(), "a tenth lost");
  }

  @Test
  void deathIsSeenByAllInTimeAndCostsAStatedNumberOfBytes() {
    FleetSim.Report r = new FleetSim(4, 20).detection(0, 6, 60 * SECOND);
    List<Long> all = r.allDetections();
    // A period to be probed, one to be suspected, 5 x log10(20) of suspicion, and what spreads it;
    // see the note.
    all.forEach(nanos -> assertTrue(nanos < 20 * SECOND, all.toString()));
    assertTrue(r.bytes() * 1e9 / r.virtualNanos() / 20 < 600, "bytes a second of a member");
  }
}
