package pumicekeel.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicekeel.rig.scale.ScaleRun.Outcome;

class ScaleRunTest {

  @TempDir
  Path folder;

  /** A scenario whose only figure is the size, and which refuses sizes above a maximum. */
  private static final class FakeScenario implements Scenario {
    private final List<Integer> measured = new ArrayList<>();
    private final int maxSize;
    private boolean fails;

    private FakeScenario(int maxSize) {
      this.maxSize = maxSize;
    }

    @Override
    public String name() {
      return "fake";
    }

    @Override
    public Role role() {
      return Role.MEMBER;
    }

    @Override
    public Axis axis() {
      return Axis.BALANCERS;
    }

    @Override
    public long estimatedBytes(int size) {
      return size;
    }

    @Override
    public long estimatedDescriptors(int size) {
      return size;
    }

    @Override
    public Map<String, Double> measure(int size, long seed, Deadline deadline)
        throws RefusedException, TimeoutException {
      if (fails) {
        throw new TimeoutException("not reached");
      }
      if (size > maxSize) {
        throw new RefusedException("too large");
      }
      measured.add(size);
      return Map.of("state-bytes", (double) size);
    }
  }

  private Outcome run(FakeScenario scenario, Deadline deadline)
      throws IOException, InterruptedException {
    ScaleRun.Plan plan = new ScaleRun.Plan(List.of(scenario), List.of(), 3, "build", 7);
    return new ScaleRun(plan, results(), deadline, new PrintStream(OutputStream.nullOutputStream()))
        .run();
  }

  private ResultFile results() throws IOException {
    return ResultFile.open(folder.resolve("result.jsonl"));
  }

  private static Deadline inOneMinute() {
    return Deadline.after(1, TimeUnit.MINUTES);
  }

  @Test
  void everySizeOfEveryRoundIsStored() throws Exception {
    assertEquals(Outcome.COMPLETE, run(new FakeScenario(590), inOneMinute()));
    assertEquals(12, results().samples().size());
    Sample last = results().samplesOf("fake").get(11);
    assertEquals(590, last.size());
    assertEquals(3, last.round());
    assertEquals(10, last.seed());
    assertEquals("build", last.build());
    assertEquals(Map.of("state-bytes", 590.0), last.figures());
  }

  @Test
  void storedPointsAreNotMeasuredAgain() throws Exception {
    FakeScenario first = new FakeScenario(590);
    first.fails = true;
    assertEquals(Outcome.NOT_REACHED, run(first, inOneMinute()));
    run(new FakeScenario(590), inOneMinute());
    FakeScenario again = new FakeScenario(590);
    assertEquals(Outcome.COMPLETE, run(again, inOneMinute()));
    assertEquals(List.of(), again.measured);
  }

  @Test
  void noPointIsStartedAfterTheDeadline() throws Exception {
    FakeScenario fake = new FakeScenario(590);
    assertEquals(Outcome.OUT_OF_TIME, run(fake, Deadline.after(0, TimeUnit.SECONDS)));
    assertEquals(List.of(), fake.measured);
  }

  @Test
  void refusedSizeIsStoredAsAResult() throws Exception {
    assertEquals(Outcome.COMPLETE, run(new FakeScenario(350), inOneMinute()));
    assertEquals(
        3,
        results().samples().stream()
            .filter(s -> s.figures().containsKey(ScaleRun.REFUSED))
            .count());
    assertEquals(350, Slope.of(results().samplesOf("fake"), "state-bytes").largestSize());
  }

  @Test
  void sizeBeyondTheMachineIsRejectedWithTheExceededLimit() {
    FakeScenario fake = new FakeScenario(590);
    assertNull(new MachineLimits(1_000, 1_000, 1_000).exceededLimit(fake, 500));
    assertTrue(new MachineLimits(1_000, 1_000, 1_000)
        .exceededLimit(fake, 501)
        .contains("more than half of this machine's"));
    assertTrue(
        new MachineLimits(1_000, 400, 1_000).exceededLimit(fake, 401).contains("larger -Xmx"));
    assertTrue(
        new MachineLimits(1_000, 1_000, 400).exceededLimit(fake, 401).contains("descriptors"));
  }

  @Test
  void watchdogEndsAHangingRunUnlessItWasClosed() throws Exception {
    CountDownLatch ended = new CountDownLatch(1);
    try (Watchdog watchdog = new Watchdog(10, TimeUnit.MILLISECONDS, ended::countDown)) {
      assertTrue(ended.await(1, TimeUnit.MINUTES));
    }
    CountDownLatch notEnded = new CountDownLatch(1);
    Watchdog other = new Watchdog(1, TimeUnit.HOURS, notEnded::countDown);
    other.close();
    assertEquals(1, notEnded.getCount());
  }
}
