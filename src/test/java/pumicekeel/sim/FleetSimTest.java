package pumicekeel.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the membership of whole fleets in virtual time; the command {@code sim fleet} runs many more seeds. */
class FleetSimTest {

  private static final long SECOND = 1_000_000_000L;

  @Test
  void everyViewIsCorrectAfterTheFaults() {
    for (long seed = 1; seed <= 150; seed++) {
      assertNull(new FleetSim(seed, 3 + (int) (seed * 7 % 18)).faults().fault(), "seed " + seed);
    }
  }

  /** Two members restarted with their clocks set back, and each considered the other's earlier incarnation dead. */
  @Test
  void restartsWithClocksSetBackEndInCorrectViews() {
    assertNull(new FleetSim(8802, 3).faults().fault());
  }

  @Test
  void sameSeedGivesTheSameRun() {
    assertEquals(new FleetSim(11, 9).faults(), new FleetSim(11, 9).faults());
  }

  @Test
  void noMemberIsDeclaredDeadWithoutFaults() {
    for (long seed = 1; seed <= 10; seed++) {
      FleetSim.Report faultless = new FleetSim(seed, 20).detection(0, 0, 120 * SECOND);
      assertEquals(0, faultless.falseDeaths(), "seed " + seed);
      assertEquals(0, faultless.refuted(), "seed " + seed);
    }
    FleetSim.Report lossy = new FleetSim(3, 20).detection(0.1, 0, 120 * SECOND);
    assertEquals(0, lossy.falseDeaths(), "a tenth of the datagrams lost");
  }

  @Test
  void deathIsDetectedInTimeWithBoundedTraffic() {
    FleetSim.Report r = new FleetSim(4, 20).detection(0, 6, 60 * SECOND);
    List<Long> all = r.allDetections();
    // One period until the probe, one until the suspicion, 5 x log10(20) periods of suspicion, and
    // the dissemination.
    all.forEach(nanos -> assertTrue(nanos < 20 * SECOND, all.toString()));
    assertTrue(r.bytes() * 1e9 / r.virtualNanos() / 20 < 600, "bytes per second and member");
  }
}
