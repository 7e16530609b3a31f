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

/** What a daemon decides, in virtual time. */
class SupervisorTest {

  private static final long SECOND = 1_000_000_000L;

  private Supervisor s;
  private long now;
  private final List<String> log = new ArrayList<>();

  private Supervisor fleet(int count, int away) {
    s = new Supervisor(count, Limits.of(away, 5 * SECOND));
    take(s.start(now));
    for (int i = 0; i < count; i++) {
      take(s.ready(i, now));
    }
    log.clear();
    return s;
  }

  private void take(List<Action> actions) {
    for (Action a : actions) {
      if (!(a instanceof Supervisor.Say)) {
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

  private List<String> taken() {
    List<String> taken = List.copyOf(log);
    log.clear();
    return taken;
  }

  /** Time in which every instance that is there answers. */
  private void pass(long nanos) {
    passHearing(nanos, java.util.stream.IntStream.range(0, s.size()).toArray());
  }

  @Test
  void crashIsRestartedLaterEachTimeAndAtLastLeftDown() {
    fleet(2, 1);
    long wait = SECOND / 2;
    for (int crash = 1; crash <= 5; crash++) {
      take(s.exited(0, 1, now));
      assertEquals(State.WAITING, s.stateOf(0));
      pass(wait - SECOND / 5);
      assertEquals(List.of(), taken(), "not before its time");
      pass(SECOND / 5);
      assertEquals(List.of("Start 0"), taken());
      take(s.ready(0, now));
      wait *= 2;
    }
    take(s.exited(0, 1, now));
    assertEquals(State.GIVEN_UP, s.stateOf(0));
    pass(600 * SECOND);
    assertEquals(List.of(), taken());
    assertEquals(State.READY, s.stateOf(1));
    // Somebody has mended it and says so.
    assertNull(s.begin(Work.RESTART));
    pass(SECOND);
    assertEquals(List.of("Start 0"), taken());
  }

  @Test
  void crashesFarApartAreForgotten() {
    fleet(1, 1);
    for (int i = 0; i < 20; i++) {
      take(s.exited(0, 1, now));
      pass(2 * SECOND);
      take(s.ready(0, now));
      pass(60 * SECOND);
    }
    assertEquals(State.READY, s.stateOf(0));
  }

  @Test
  void oneThatDoesNotBecomeReadyIsKilledOnce() {
    s = new Supervisor(1, Limits.of(1, SECOND));
    take(s.start(now));
    taken();
    pass(29 * SECOND);
    assertEquals(List.of(), taken());
    pass(10 * SECOND);
    assertEquals(List.of("Kill 0"), taken());
    take(s.exited(0, 137, now));
    pass(SECOND);
    assertEquals(List.of("Start 0"), taken());
  }

  @Test
  void rollingRestartHasNoMoreAwayThanMayBeAndWaitsForEachToStayReady() {
    fleet(5, 2);
    assertNull(s.begin(Work.RESTART));
    assertNotNull(s.begin(Work.RELOAD), "one work at a time");
    pass(SECOND);
    assertEquals(List.of("Terminate 0", "Terminate 1"), taken());
    take(s.exited(1, 0, now));
    take(s.ready(1, now));
    assertEquals(List.of("Start 1"), taken());
    pass(4 * SECOND);
    assertEquals(List.of(), taken(), "watched first");
    pass(2 * SECOND);
    assertEquals(List.of("Terminate 2"), taken(), "0 is away still");
    pass(4 * SECOND);
    assertEquals(List.of("Kill 0"), taken(), "it took too long to end");
    take(s.exited(0, 137, now));
    take(s.ready(0, now));
    for (int i = 2; i < 5; i++) {
      take(s.exited(i, 0, now));
      take(s.ready(i, now));
      pass(6 * SECOND);
    }
    assertEquals(Work.NONE, s.work());
    assertNull(s.halted());
    assertEquals(
        List.of("Start 0", "Start 2", "Terminate 3", "Terminate 4", "Start 3", "Start 4"), taken());
  }

  @Test
  void newBuildThatNeverBecomesReadyHaltsAndTheRestGoesOn() {
    fleet(3, 1);
    s.begin(Work.RESTART);
    pass(SECOND);
    take(s.exited(0, 0, now));
    pass(31 * SECOND);
    assertEquals(Work.NONE, s.work());
    assertTrue(s.halted().contains("instance 0"), s.halted());
    take(s.exited(0, 137, now));
    pass(600 * SECOND);
    assertTrue(
        taken().stream().noneMatch(a -> a.startsWith("Terminate") && !a.endsWith(" 0")),
        "nobody else goes");
    assertEquals(State.READY, s.stateOf(1));
    assertEquals(State.READY, s.stateOf(2));
  }

  @Test
  void newBuildThatDiesAfterHalfAMinuteHaltsWhileOthersAreStillToGo() {
    fleet(20, 1);
    s.begin(Work.RESTART);
    for (int i = 0; i < 4; i++) {
      pass(SECOND);
      take(s.exited(i, 0, now));
      take(s.ready(i, now));
      pass(6 * SECOND);
    }
    take(s.exited(0, 1, now));
    assertEquals(Work.NONE, s.work());
    assertTrue(s.halted().contains("instance 0 ended with 1 after it was restarted"), s.halted());
    taken();
    pass(60 * SECOND);
    assertTrue(taken().stream().noneMatch(a -> a.startsWith("Terminate")));
  }

  @Test
  void crashOfOneThatWasNotRestartedYetMakesTheWorkWait() {
    fleet(4, 1);
    s.begin(Work.RESTART);
    pass(SECOND);
    take(s.exited(0, 0, now));
    take(s.ready(0, now));
    taken();
    take(s.exited(3, 1, now));
    pass(7 * SECOND);
    assertEquals(List.of("Start 3"), taken(), "two would be away");
    take(s.ready(3, now));
    pass(SECOND);
    assertEquals(List.of("Terminate 1"), taken());
    assertNull(s.halted());
  }

  @Test
  void reloadGoesRoundWithoutAProcessEnding() {
    fleet(3, 1);
    assertNull(s.begin(Work.RELOAD));
    pass(20 * SECOND);
    assertEquals(List.of("Hangup 0", "Hangup 1", "Hangup 2"), taken());
    assertEquals(Work.NONE, s.work());
    s.begin(Work.RELOAD);
    pass(SECOND);
    take(s.exited(0, 1, now));
    assertTrue(s.halted().contains("after it was reloaded"), s.halted());
  }

  @Test
  void stopIsInOrderAndBoundedWhateverIsUnderWay() {
    fleet(4, 2);
    s.begin(Work.RESTART);
    pass(SECOND);
    take(s.exited(0, 0, now));
    taken();
    take(s.exited(2, 1, now));
    take(s.stop(now));
    assertEquals(List.of("Terminate 3"), taken(), "1 is ending already");
    assertEquals("the fleet is being stopped", s.begin(Work.RESTART));
    take(s.exited(1, 0, now));
    pass(SECOND);
    assertEquals(List.of("Terminate 0"), taken());
    pass(11 * SECOND);
    assertEquals(
        List.of("Kill 3", "Kill 0"),
        taken().stream().sorted(java.util.Comparator.reverseOrder()).toList());
    take(s.exited(3, 137, now));
    take(s.exited(0, 137, now));
    pass(SECOND);
    assertTrue(s.over());
    assertEquals(List.of(), taken());
  }

  @Test
  void adoptedOneHasToSayThatItIsReadyAndIsNotStartedAgain() {
    s = new Supervisor(2, Limits.of(1, SECOND));
    take(s.adopted(1, now));
    take(s.start(now));
    assertEquals(List.of("Start 0"), taken());
    take(s.ready(1, now));
    assertEquals(State.READY, s.stateOf(1));
  }

  /** Whatever happens in whatever order: no instance twice, and never more away on purpose than may be. */
  @Test
  void neverTwoProcessesOfOneAndNeverTooManyAwayOnPurpose() {
    for (long seed = 1; seed <= 300; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      int n = 1 + random.nextInt(6);
      int away = 1 + random.nextInt(n);
      s = new Supervisor(n, Limits.of(away, 2 * SECOND));
      boolean[] runs = new boolean[n];
      boolean[] ending = new boolean[n];
      play(s.start(now), runs, ending, seed);
      for (int step = 0; step < 400; step++) {
        now += random.nextLong(SECOND);
        int i = random.nextInt(n);
        switch (random.nextInt(8)) {
          case 0 -> s.begin(random.nextBoolean() ? Work.RESTART : Work.RELOAD);
          case 1, 2, 3 -> {
            if (runs[i]) {
              play(s.ready(i, now), runs, ending, seed);
            }
          }
          case 4 -> {
            if (runs[i] && (ending[i] || random.nextInt(6) == 0)) {
              runs[i] = false;
              ending[i] = false;
              play(s.exited(i, 1, now), runs, ending, seed);
            }
          }
          default -> play(s.tick(now), runs, ending, seed);
        }
        int gone = 0;
        for (int k = 0; k < n; k++) {
          gone += s.stateOf(k) == State.STOPPING ? 1 : 0;
        }
        assertTrue(gone <= away, "seed " + seed);
      }
    }
  }

  private static void play(List<Action> actions, boolean[] runs, boolean[] ending, long seed) {
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

  private void passHearing(long nanos, int... heard) {
    for (long end = now + nanos; now < end; ) {
      now = Math.min(end, now + SECOND / 10);
      for (int i : heard) {
        s.heard(i, now);
      }
      take(s.tick(now));
    }
  }

  @Test
  void instanceThatAnswersNothingIsKilledAndStartedAgain() {
    fleet(2, 1);
    passHearing(14 * SECOND, 1);
    assertEquals(List.of(), taken(), "it may be short of a processor");
    passHearing(2 * SECOND, 1);
    assertEquals(List.of("Kill 0"), taken());
    take(s.exited(0, 137, now));
    passHearing(SECOND, 1);
    assertEquals(List.of("Start 0"), taken());
    take(s.ready(0, now));
    passHearing(20 * SECOND, 0, 1);
    assertEquals(List.of(), taken());
  }

  @Test
  void whereAllAreSilentNoMoreAreKilledThanMayBeAway() {
    fleet(5, 2);
    passHearing(60 * SECOND);
    assertEquals(List.of("Kill 0", "Kill 1"), taken(), "the machine may be at fault");
    take(s.exited(0, 137, now));
    passHearing(SECOND);
    take(s.ready(0, now));
    passHearing(SECOND, 0);
    assertEquals(List.of("Start 0", "Kill 2"), taken());
  }

  @Test
  void daemonThatSleptItselfHoldsNobodyForHung() {
    fleet(3, 3);
    passHearing(SECOND, 0, 1, 2);
    now += 3_600 * SECOND;
    take(s.tick(now));
    passHearing(14 * SECOND, 1);
    assertEquals(List.of(), taken());
    passHearing(2 * SECOND, 1);
    assertEquals(List.of("Kill 0", "Kill 2"), taken());
  }

  @Test
  void withoutABoundOnSilenceNobodyIsKilled() {
    s = new Supervisor(1, Limits.of(1, 0, 0));
    take(s.start(now));
    take(s.ready(0, now));
    taken();
    passHearing(3_600 * SECOND);
    assertEquals(List.of(), taken());
  }
}
