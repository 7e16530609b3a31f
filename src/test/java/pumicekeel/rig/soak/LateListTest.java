package pumicekeel.rig.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Real processes whose upstream lists fail to arrive. {@code rig soak --lists} runs other kinds, sizes and seeds manually. */
class LateListTest {

  private static final long SEED = 1;
  private static final int BALANCERS = 4;
  private static final int SECONDS = 20;

  @ParameterizedTest
  @EnumSource(
      value = ListTrouble.class,
      names = {"CUT", "IGNORED"})
  void rulesHoldWhileListsFailToArrive(ListTrouble trouble) throws Exception {
    SoakRun.Result result =
        new SoakRun(SoakPlan.lists(SEED, trouble, BALANCERS, SECONDS, false)).run();
    System.out.println(trouble + ", " + result.summary());
    assertTrue(result.passed(), () -> result.summary() + "\n" + String.join("\n", result.report()));
  }

  @Test
  void balancerWithIgnoredCallsStaysCurrentThroughItsPeers() throws Exception {
    SoakRun.Result result =
        new SoakRun(SoakPlan.lists(SEED, ListTrouble.IGNORED, BALANCERS, SECONDS, true)).run();
    System.out.println("with peers, " + result.summary());
    assertTrue(result.passed(), () -> result.summary() + "\n" + String.join("\n", result.report()));
    assertEquals(
        List.of(),
        result.logs().stream().filter(line -> line.contains("now OUTDATED")).toList());
  }
}
