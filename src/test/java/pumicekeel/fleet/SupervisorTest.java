package pumicekeel.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pumicekeel.fleet.Supervisor.Action;
import pumicekeel.fleet.Supervisor.State;
import pumicekeel.fleet.Supervisor.Work;

/** Tests of the supervisor's decisions in virtual time. */
class SupervisorTest {

  private static final long SECOND_NANOS = 1_000_000_000L;

  private Supervisor s;
  private long now;
  private final List<String> log = new ArrayList<>();

  private Supervisor fleet(int count, int maxUnavailable) {
    s = new Supervisor(count, Limits.of(maxUnavailable, 5 * SECOND_NANOS));
    record(s.start(now));
    for (int i = 0; i < count; i++) {
      record(s.ready(i, now));
    }
    log.clear();
    return s;
  }

  private void record(List<Action> actions) {
    for (Action a : actions) {
      if (!(a instanceof Supervisor.LogLine)) {
        log.add(a.getClass().getSimpleName() + " "
            + (a instanceof Supervisor.Start x
                ? x.instance()
                : a instanceof Supervisor.Terminate x
                    ? x.instance()
                    : a instanceof Supervisor.Kill x
                        ? x.instance()
                        : ((Supervisor.Hangup) a).instance()));
      }
    }
  }

  private List<String> drainLog() {
    List<String> drained = List.copyOf(log);
    log.clear();
    return drained;
  }

  /** Advances the time while every instance responds. */
  private void pass(long nanos) {
    passWithResponsesOf(nanos, java.util.stream.IntStream.range(0, s.size()).toArray());
  }

  @Test
  void crashedInstanceIsRestartedWithGrowingDelayAndFinallyGivenUp() {
    fleet(2, 1);
    long wait = SECOND_NANOS / 2;
    for (int crash = 1; crash <= 5; crash++) {
      record(s.exited(0, 1, now));
      assertEquals(State.WAITING, s.stateOf(0));
      pass(wait - SECOND_NANOS / 5);
      assertEquals(List.of(), drainLog(), "not before its time");
      pass(SECOND_NANOS / 5);
      assertEquals(List.of("Start 0"), drainLog());
      record(s.ready(0, now));
      wait *= 2;
    }
    record(s.exited(0, 1, now));
    assertEquals(State.GIVEN_UP, s.stateOf(0));
    pass(600 * SECOND_NANOS);
    assertEquals(List.of(), drainLog());
    assertEquals(State.READY, s.stateOf(1));
    // An operator has fixed the cause and requests a restart.
    assertNull(s.begin(Work.RESTART));
    pass(SECOND_NANOS);
    assertEquals(List.of("Start 0"), drainLog());
  }

  @Test
  void crashesFarApartAreForgotten() {
    fleet(1, 1);
    for (int i = 0; i < 20; i++) {
      record(s.exited(0, 1, now));
      pass(2 * SECOND_NANOS);
      record(s.ready(0, now));
      pass(60 * SECOND_NANOS);
    }
    assertEquals(State.READY, s.stateOf(0));
  }

  @Test
  void instanceThatDoesNotBecomeReadyIsKilledOnce() {
    s = new Supervisor(1, Limits.of(1, SECOND_NANOS));
    record(s.start(now));
    drainLog();
    pass(29 * SECOND_NANOS);
    assertEquals(List.of(), drainLog());
    pass(10 * SECOND_NANOS);
    assertEquals(List.of("Kill 0"), drainLog());
    record(s.exited(0, 137, now));
    pass(SECOND_NANOS);
    assertEquals(List.of("Start 0"), drainLog());
  }

  @Test
  void rollingRestartRespectsTheUnavailableLimitAndWaitsForEachToStayReady() {
    fleet(5, 2);
    assertNull(s.begin(Work.RESTART));
    assertNotNull(s.begin(Work.RELOAD), "one work at a time");
    pass(SECOND_NANOS);
    assertEquals(List.of("Terminate 0", "Terminate 1"), drainLog());
    record(s.exited(1, 0, now));
    record(s.ready(1, now));
    assertEquals(List.of("Start 1"), drainLog());
    pass(4 * SECOND_NANOS);
    assertEquals(List.of(), drainLog(), "1 has to stay ready first");
    pass(2 * SECOND_NANOS);
    assertEquals(List.of("Terminate 2"), drainLog(), "0 is still down");
    pass(4 * SECOND_NANOS);
    assertEquals(List.of("Kill 0"), drainLog(), "it took too long to end");
    record(s.exited(0, 137, now));
    record(s.ready(0, now));
    for (int i = 2; i < 5; i++) {
      record(s.exited(i, 0, now));
      record(s.ready(i, now));
      pass(6 * SECOND_NANOS);
    }
    assertEquals(Work.NONE, s.work());
    assertNull(s.halted());
    assertEquals(
        List.of("Start 0", "Start 2", "Terminate 3", "Terminate 4", "Start 3", "Start 4"),
        drainLog());
  }

  @Test
  void newBuildThatNeverBecomesReadyHaltsAndOtherInstancesKeepRunning() {
    fleet(3, 1);
    s.begin(Work.RESTART);
    pass(SECOND_NANOS);
    record(s.exited(0, 0, now));
    pass(31 * SECOND_NANOS);
    assertEquals(Work.NONE, s.work());
    assertTrue(s.halted().contains("instance 0"), s.halted());
    record(s.exited(0, 137, now));
    pass(600 * SECOND_NANOS);
    assertTrue(
        drainLog().stream().noneMatch(a -> a.startsWith("Terminate") && !a.endsWith(" 0")),
        "no other instance is terminated");
    assertEquals(State.READY, s.stateOf(1));
    assertEquals(State.READY, s.stateOf(2));
  }

  @Test
  void newBuildThatCrashesAfterHalfAMinuteHaltsTheRemainingRestarts() {
    fleet(20, 1);
    s.begin(Work.RESTART);
    for (int i = 0; i < 4; i++) {
      pass(SECOND_NANOS);
      record(s.exited(i, 0, now));
      record(s.ready(i, now));
      pass(6 * SECOND_NANOS);
    }
    record(s.exited(0, 1, now));
    assertEquals(Work.NONE, s.work());
    assertTrue(s.halted().contains("instance 0 ended with 1 after it was restarted"), s.halted());
    drainLog();
    pass(60 * SECOND_NANOS);
    assertTrue(drainLog().stream().noneMatch(a -> a.startsWith("Terminate")));
  }

  @Test
  void crashOfAnInstanceNotYetRestartedDelaysTheWork() {
    fleet(4, 1);
    s.begin(Work.RESTART);
    pass(SECOND_NANOS);
    record(s.exited(0, 0, now));
    record(s.ready(0, now));
    drainLog();
    record(s.exited(3, 1, now));
    pass(7 * SECOND_NANOS);
    assertEquals(List.of("Start 3"), drainLog(), "two would be unavailable");
    record(s.ready(3, now));
    pass(SECOND_NANOS);
    assertEquals(List.of("Terminate 1"), drainLog());
    assertNull(s.halted());
  }

  @Test
  void reloadReachesAllInstancesWithoutEndingAProcess() {
    fleet(3, 1);
    assertNull(s.begin(Work.RELOAD));
    pass(20 * SECOND_NANOS);
    assertEquals(List.of("Hangup 0", "Hangup 1", "Hangup 2"), drainLog());
    assertEquals(Work.NONE, s.work());
    s.begin(Work.RELOAD);
    pass(SECOND_NANOS);
    record(s.exited(0, 1, now));
    assertTrue(s.halted().contains("after it was reloaded"), s.halted());
  }

  @Test
  void stopIsOrderedAndBoundedDuringARollingRestart() {
    fleet(4, 2);
    s.begin(Work.RESTART);
    pass(SECOND_NANOS);
    record(s.exited(0, 0, now));
    drainLog();
    record(s.exited(2, 1, now));
    record(s.stop(now));
    assertEquals(List.of("Terminate 3"), drainLog(), "1 is ending already");
    assertEquals("the fleet is being stopped", s.begin(Work.RESTART));
    record(s.exited(1, 0, now));
    pass(SECOND_NANOS);
    assertEquals(List.of("Terminate 0"), drainLog());
    pass(11 * SECOND_NANOS);
    assertEquals(
        List.of("Kill 3", "Kill 0"),
        drainLog().stream().sorted(java.util.Comparator.reverseOrder()).toList());
    record(s.exited(3, 137, now));
    record(s.exited(0, 137, now));
    pass(SECOND_NANOS);
    assertTrue(s.isStopped());
    assertEquals(List.of(), drainLog());
  }

  @Test
  void adoptedInstanceHasToReportReadyAndIsNotStartedAgain() {
    s = new Supervisor(2, Limits.of(1, SECOND_NANOS));
    record(s.adopted(1, now));
    record(s.start(now));
    assertEquals(List.of("Start 0"), drainLog());
    record(s.ready(1, now));
    assertEquals(State.READY, s.stateOf(1));
  }

  /** Random event orders never start an instance twice and never have more instances down on purpose than allowed. */
  @Test
  void noInstanceRunsTwiceAndNoMoreThanAllowedAreStopping() {
    for (long seed = 1; seed <= 300; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      int n = 1 + random.nextInt(6);
      int maxUnavailable = 1 + random.nextInt(n);
      s = new Supervisor(n, Limits.of(maxUnavailable, 2 * SECOND_NANOS));
      boolean[] runs = new boolean[n];
      boolean[] ending = new boolean[n];
      apply(s.start(now), runs, ending, seed);
      for (int step = 0; step < 400; step++) {
        now += random.nextLong(SECOND_NANOS);
        int i = random.nextInt(n);
        switch (random.nextInt(8)) {
          case 0 -> s.begin(random.nextBoolean() ? Work.RESTART : Work.RELOAD);
          case 1, 2, 3 -> {
            if (runs[i]) {
              apply(s.ready(i, now), runs, ending, seed);
            }
          }
          case 4 -> {
            if (runs[i] && (ending[i] || random.nextInt(6) == 0)) {
              runs[i] = false;
              ending[i] = false;
              apply(s.exited(i, 1, now), runs, ending, seed);
            }
          }
          default -> apply(s.tick(now), runs, ending, seed);
        }
        int stopped = 0;
        for (int k = 0; k < n; k++) {
          stopped += s.stateOf(k) == State.STOPPING ? 1 : 0;
        }
        assertTrue(stopped <= maxUnavailable, "seed " + seed);
      }
    }
  }

  private static void apply(List<Action> actions, boolean[] runs, boolean[] ending, long seed) {
    for (Action a : actions) {
      if (a instanceof Supervisor.Start x) {
        assertTrue(!runs[x.instance()], "seed " + seed + ": started while it runs");
        runs[x.instance()] = true;
      } else if (a instanceof Supervisor.Terminate x) {
        assertTrue(runs[x.instance()], "seed " + seed);
        ending[x.instance()] = true;
      } else if (a instanceof Supervisor.Kill x) {
        ending[x.instance()] = true;
      }
    }
  }

  private void passWithResponsesOf(long nanos, int... responding) {
    for (long end = now + nanos; now < end; ) {
      now = Math.min(end, now + SECOND_NANOS / 10);
      for (int i : responding) {
        s.responded(i, now);
      }
      record(s.tick(now));
    }
  }

  @Test
  void unresponsiveInstanceIsKilledAndRestarted() {
    fleet(2, 1);
    passWithResponsesOf(14 * SECOND_NANOS, 1);
    assertEquals(List.of(), drainLog(), "it may be short of processor time");
    passWithResponsesOf(2 * SECOND_NANOS, 1);
    assertEquals(List.of("Kill 0"), drainLog());
    record(s.exited(0, 137, now));
    passWithResponsesOf(SECOND_NANOS, 1);
    assertEquals(List.of("Start 0"), drainLog());
    record(s.ready(0, now));
    passWithResponsesOf(20 * SECOND_NANOS, 0, 1);
    assertEquals(List.of(), drainLog());
  }

  @Test
  void ifAllAreUnresponsiveNoMoreAreKilledThanMayBeUnavailable() {
    fleet(5, 2);
    passWithResponsesOf(60 * SECOND_NANOS);
    assertEquals(List.of("Kill 0", "Kill 1"), drainLog(), "the machine may be the cause");
    record(s.exited(0, 137, now));
    passWithResponsesOf(SECOND_NANOS);
    record(s.ready(0, now));
    passWithResponsesOf(SECOND_NANOS, 0);
    assertEquals(List.of("Start 0", "Kill 2"), drainLog());
  }

  @Test
  void instancesAreNotHungBecauseTheDaemonWasSuspended() {
    fleet(3, 3);
    passWithResponsesOf(SECOND_NANOS, 0, 1, 2);
    now += 3_600 * SECOND_NANOS;
    record(s.tick(now));
    passWithResponsesOf(14 * SECOND_NANOS, 1);
    assertEquals(List.of(), drainLog());
    passWithResponsesOf(2 * SECOND_NANOS, 1);
    assertEquals(List.of("Kill 0", "Kill 2"), drainLog());
  }

  @Test
  void noUnresponsiveInstanceIsKilledWithoutALimit() {
    s = new Supervisor(1, Limits.of(1, 0, 0));
    record(s.start(now));
    record(s.ready(0, now));
    drainLog();
    passWithResponsesOf(3_600 * SECOND_NANOS);
    assertEquals(List.of(), drainLog());
  }
}
