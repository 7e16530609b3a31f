package pumicekeel.rig.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Real processes whose upstreams write sound answers that end behind their client's time: in lumps, late, steadily, dripping. */
class OvertimeAnswersTest {

  /** Without other trouble. */
  @ParameterizedTest
  @ValueSource(longs = {6702})
  void soundAnswerThatOutlastsItsClientsTimeIsNotCutOff(long seed) throws Exception {
    assertRulesHold(SoakPlan.overtimeAnswers(seed));
  }

  /** Beside SIGHUP, SIGTERM, a kill at its earliest, a leaving upstream and slow readers. */
  @ParameterizedTest
  @ValueSource(longs = {6715, 6743})
  void rulesHoldBesideSignalsAndAnswersThatOutlastTheirClientsTime(long seed) throws Exception {
    assertRulesHold(SoakPlan.overtimeAnswers(seed));
  }

  /** Beside signals, a leaving upstream, a crowd and slow readers. */
  @ParameterizedTest
  @ValueSource(longs = {6709, 6749})
  void rulesHoldBesideAnswersThatOutlastTheirClientsTime(long seed) throws Exception {
    assertRulesHold(SoakPlan.overtimeAnswers(seed));
  }

  private static void assertRulesHold(SoakPlan plan) throws Exception {
    SoakRun.Result result = new SoakRun(plan).run();
    System.out.println(result.summary());
    assertTrue(result.passed(), () -> result.summary() + "\n" + String.join("\n", result.report()));
  }
}
