package pumicekeel.rig.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A short soak: real processes under overlapping faults of some seeds. More of them by hand, {@code rig soak}; each that found something
 * stays here or as a test of its own.
 */
class SoakTest {

  /** 1: a crowd, restarts, a stepped clock; 5: interest in events, restarts, short deadlines; 14: the most kinds at once. */
  @ParameterizedTest
  @ValueSource(longs = {1, 5, 14})
  void rulesHoldUnderOverlappingFaults(long seed) throws Exception {
    SoakRun.Result result = new SoakRun(SoakPlan.random(seed)).run();
    System.out.println(result.summary());
    assertTrue(result.passed(), () -> result.summary() + "\n" + String.join("\n", result.report()));
  }
}
