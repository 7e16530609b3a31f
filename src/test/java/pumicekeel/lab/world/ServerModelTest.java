package pumicekeel.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Status;

/** Compares the server model with the closed forms of queueing theory, and tests its faults. */
class ServerModelTest {

  private static final double SECOND = 1e9;
  private static final double TOLERANCE = 0.02;
  private static final long SEED = 4;

  private final EventScheduler scheduler = new EventScheduler();
  private final RandomStream random = new RandomStream(SEED, "test");
  private double totalTimeInSystem;
  private long ended;

  private Server server(ServerSpec spec) {
    return new Server(1, "z", 0, spec, new Server.Cell(), scheduler, -1);
  }

  private Server.JobListener countingListener() {
    long arrivedAt = scheduler.now();
    return new Server.JobListener() {
      @Override
      public void onStart() {}

      @Override
      public void onEnd(Status status, double work) {
        totalTimeInSystem += scheduler.now() - arrivedAt;
        ended++;
      }
    };
  }

  private void scheduleArrivals(
      Server server,
      double arrivalsPerSecond,
      long remaining,
      java.util.function.DoubleSupplier work) {
    scheduler.in((long) (random.exponential() * SECOND / arrivalsPerSecond), () -> {
      server.submit(
          new Server.Job(
              null, null, Effect.SAFE, 0, work.getAsDouble() * SECOND, 0, countingListener()),
          random);
      if (remaining > 1) {
        scheduleArrivals(server, arrivalsPerSecond, remaining - 1, work);
      }
    });
  }

  /** Returns the mean time in the system of {@code count} arrivals in seconds; the mean service time is 1 s. */
  private double meanTimeInSystem(
      ServerSpec spec,
      double arrivalsPerSecond,
      long count,
      java.util.function.DoubleSupplier work) {
    scheduleArrivals(server(spec), arrivalsPerSecond, count, work);
    scheduler.run(Long.MAX_VALUE, () -> false);
    assertEquals(count, ended);
    return totalTimeInSystem / SECOND / ended;
  }

  private static void assertClose(double expected, double actual) {
    assertTrue(
        Math.abs(actual / expected - 1) < TOLERANCE,
        "seed " + SEED + ": expected " + expected + ", got " + actual);
  }

  /** Returns the mean time in an M/M/c queue with a mean service time of 1, by Erlang's C formula. */
  private static double erlangTimeInSystem(int cores, double arrivalsPerSecond) {
    double term = 1;
    double sum = 1;
    for (int i = 1; i < cores; i++) {
      term *= arrivalsPerSecond / i;
      sum += term;
    }
    double last = term * arrivalsPerSecond / cores / (1 - arrivalsPerSecond / cores);
    return last / (sum + last) / (cores - arrivalsPerSecond) + 1;
  }

  @Test
  void asManySlotsAsCoresMatchesErlangC() {
    assertClose(
        erlangTimeInSystem(3, 2.1),
        meanTimeInSystem(ServerSpec.plain(3, 3), 2.1, 600_000, random::exponential));
  }

  @Test
  void singleSharedCoreMatchesProcessorSharingForAnySizes() {
    // The result 1 / (1 - rho) depends on the mean size only, so constant sizes give the same as
    // exponential ones.
    assertClose(
        1 / (1 - 0.6),
        meanTimeInSystem(ServerSpec.plain(1, Integer.MAX_VALUE), 0.6, 600_000, () -> 1));
  }

  @Test
  void sharedCoresMatchErlangCForExponentialSizes() {
    // With exponential sizes and a share of min(1, c/n) per request, the states are those of M/M/c,
    // and so is the mean.
    assertClose(
        erlangTimeInSystem(2, 1.4),
        meanTimeInSystem(
            ServerSpec.plain(2, Integer.MAX_VALUE), 1.4, 600_000, random::exponential));
  }

  @Test
  void fullQueueRejectsUnprocessedAndACrashResetsHeldRequests() {
    List<Status> statuses = new ArrayList<>();
    Server server = server(new ServerSpec(1, 1, 1, 1, 0, 1, 0, 10, 0, 0, 0, 0, 1));
    for (int i = 0; i < 3; i++) {
      server.submit(
          new Server.Job(null, null, Effect.SAFE, 0, SECOND, 0, recordingListener(statuses)),
          random);
    }
    assertEquals(List.of(Status.FULL), statuses);
    server.crash();
    assertEquals(List.of(Status.FULL, Status.RESET, Status.RESET), statuses);
    assertTrue(!server.connect());
    server.restart();
    scheduler.run((long) (10 * SECOND), () -> false);
    assertEquals(
        3,
        statuses.size(),
        "a request that was held at the crash must not finish after the restart");
  }

  private static Server.JobListener recordingListener(List<Status> statuses) {
    return new Server.JobListener() {
      @Override
      public void onStart() {}

      @Override
      public void onEnd(Status status, double work) {
        statuses.add(status);
      }
    };
  }

  @Test
  void coldServerIsSlowerAndRememberedKeysSaveWork() {
    List<Status> statuses = new ArrayList<>();
    Server cold = new Server(
        1,
        "z",
        0,
        new ServerSpec(
            1, 1, 9, 9, 0, 0.25, (long) (1_000 * SECOND), 9, 0, (long) (60 * SECOND), 0.75, 9, 1),
        new Server.Cell(),
        scheduler,
        0);
    cold.submit(
        new Server.Job("k", null, Effect.SAFE, 0, SECOND, 0, recordingListener(statuses)), random);
    scheduler.run((long) (3.9 * SECOND), () -> false);
    assertEquals(0, statuses.size(), "at a quarter of the speed, the request must take almost 4 s");
    scheduler.run((long) (4.01 * SECOND), () -> false);
    assertEquals(1, statuses.size());
    cold.submit(
        new Server.Job("k", null, Effect.SAFE, 0, SECOND, 0, recordingListener(statuses)), random);
    scheduler.run((long) (5.02 * SECOND), () -> false);
    assertEquals(
        2,
        statuses.size(),
        "a remembered key must leave a quarter of the work, which takes 1 s at a quarter of the speed");
  }
}
