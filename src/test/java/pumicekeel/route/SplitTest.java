package pumicekeel.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.route.Split.Part;

/** Tests weighted splits: stable across processes, proportional to the weights, and moving few keys when weights change. */
class SplitTest {

  private static final int KEYS = 100_000;

  private static Split split(double... weights) {
    List<Part> parts = new java.util.ArrayList<>();
    for (int i = 0; i < weights.length; i++) {
      parts.add(new Part("pool-" + i, weights[i]));
    }
    return new Split(parts);
  }

  private static double share(Split split, String pool) {
    int n = 0;
    for (int i = 0; i < KEYS; i++) {
      n += split.poolOf("key-" + i).equals(pool) ? 1 : 0;
    }
    return n / (double) KEYS;
  }

  private static double movedShare(Split before, Split after) {
    int n = 0;
    for (int i = 0; i < KEYS; i++) {
      n += before.poolOf("key-" + i).equals(after.poolOf("key-" + i)) ? 0 : 1;
    }
    return n / (double) KEYS;
  }

  /** Compares with a recorded result, because every instance, machine and build has to choose the same pool for a key. */
  @Test
  void keysMapToTheRecordedPools() {
    Split split = split(90, 10);
    StringBuilder pools = new StringBuilder();
    for (int i = 0; i < 40; i++) {
      pools.append(split.poolOf("session-" + i).substring(5));
    }
    assertEquals(EXPECTED_POOLS, pools.toString());
  }

  private static final String EXPECTED_POOLS = "0000000000000001010011000000000000000000";

  @Test
  void sharesFollowTheWeights() {
    assertEquals(0.9, share(split(90, 10), "pool-0"), 0.005);
    assertEquals(0.2, share(split(5, 3, 2), "pool-2"), 0.005);
    assertEquals(0, share(split(1, 0), "pool-1"));
    assertEquals(0.001, share(split(999, 1), "pool-1"), 0.0005);
  }

  @Test
  void changeOfTwoWeightsMovesOnlyTheDifference() {
    assertEquals(0.1, movedShare(split(90, 10), split(80, 20)), 0.005);
    assertEquals(0, movedShare(split(90, 10), split(9, 1)), "the same weights on another scale");
    for (int i = 0; i < KEYS; i++) {
      String key = "key-" + i;
      assertTrue(
          !split(90, 10).poolOf(key).equals("pool-1")
              || split(80, 20).poolOf(key).equals("pool-1"),
          "no key moves to the pool whose weight fell");
    }
  }

  @Test
  void changeOfMoreWeightsStaysWithinTheBoundOfCorrelatedSampling() {
    double d = 0.1;
    double moved = movedShare(split(50, 30, 20), split(40, 30, 30));
    assertTrue(moved >= d - 0.005 && moved <= 2 * d / (1 + d) + 0.005, "moved " + moved);
    assertEquals(
        0.25,
        movedShare(split(1, 1, 1), split(1, 1, 1, 1)),
        0.005,
        "a fourth pool gets a quarter of the keys");
  }
}
