package pumicekeel.rig.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.ThreadLocalRandom;
import org.junit.jupiter.api.Test;
import pumicekeel.rig.soak.SoakPlan.Disturbance;

/**
 * One real process under load while three in ten system calls fail in the first part of each 2 s period. Each request must be answered,
 * and new clients must be served once the calls succeed again.
 */
class CallFaultsTest {

  private static final int PER_MILLE = 300;

  private static void runAndCheck(SoakPlan plan) throws Exception {
    SoakRun.Result result = new SoakRun(plan).run();
    System.out.println(result.summary());
    for (CallKind kind : plan.rates().keySet()) {
      assertTrue(
          result.injected().getOrDefault(kind, 0L) > 0,
          "no failure was injected: " + kind + ", " + result.summary());
    }
    assertTrue(result.passed(), () -> result.summary() + "\n" + String.join("\n", result.report()));
  }

  private static long seed() {
    return ThreadLocalRandom.current().nextInt(1_000_000);
  }

  @Test
  void requestsAreAnsweredWhileAcceptingFails() throws Exception {
    runAndCheck(SoakPlan.calls(
        seed(), PER_MILLE, CallKind.ACCEPT, CallKind.ACCEPT_CONNECTION, CallKind.SOCKET_NAME));
  }

  @Test
  void requestsAreAnsweredWhileReadingAndWritingFail() throws Exception {
    runAndCheck(SoakPlan.calls(
        seed(),
        PER_MILLE,
        CallKind.READ_ERROR,
        CallKind.READ_SHORT,
        CallKind.WRITE_ERROR,
        CallKind.WRITE_SHORT,
        CallKind.SOCKET_OPTION,
        CallKind.SHUTDOWN));
  }

  @Test
  void requestsAreAnsweredWhileEpollCallsFail() throws Exception {
    runAndCheck(SoakPlan.calls(seed(), PER_MILLE, CallKind.EPOLL_CTL, CallKind.EPOLL_WAIT));
  }

  @Test
  void requestsAreAnsweredWhileConnectingFails() throws Exception {
    runAndCheck(SoakPlan.calls(
            seed(),
            PER_MILLE,
            CallKind.SOCKET,
            CallKind.CONNECT,
            CallKind.SOCKET_ERROR,
            CallKind.POLL,
            CallKind.CONNECTION_ERROR)
        .with(Disturbance.RESETS));
  }
}
