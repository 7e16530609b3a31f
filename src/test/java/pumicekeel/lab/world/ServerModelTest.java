package pumicekeel.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Status;

/** An upstream against the closed forms of queueing theory, and its faults. */
class ServerModelTest {

  private static final double SECOND = 1e9;
  private static final double WITHIN = 0.02;
  private static final long SEED = 4;

  private final EventScheduler scheduler = new EventScheduler();
  private final RandomStream random = new RandomStream(SEED, "test");
  private double stayed;
  private long ended;

  private Server server(ServerSpec spec) {
    return new Server(1, "z", 0, spec, new Server.Cell(), scheduler, -1);
  }

  private Server.Sender counts() {
    long from = scheduler.now();
    return new Server.Sender() {
      @Override
      public void begins() {}

      @Override
      public void ended(Status status, double work) {
        stayed += scheduler.now() - from;
        ended++;
      }
    };
  }

  private void arrive(
      Server server, double perSecond, long left, java.util.function.DoubleSupplier work) {
    scheduler.in((long) (random.exponential() * SECOND / perSecond), () -> {
      server.submit(
          new Server.Job(null, null, Effect.SAFE, 0, work.getAsDouble() * SECOND, 0, counts()),
          random);
      if (left > 1) {
        arrive(server, perSecond, left - 1, work);
      }
    });
  }

  /** Mean time in the system of so many arrivals, in seconds, at a mean service of a second. */
  private double meanStay(
      ServerSpec spec, double perSecond, long count, java.util.function.DoubleSupplier work) {
    arrive(server(spec), perSecond, count, work);
    scheduler.run(Long.MAX_VALUE, () -> false);
    assertEquals(count, ended);
    return stayed / SECOND / ended;
  }

  private static void close(double expected, double got) {
    assertTrue(
        Math.abs(got / expected - 1) < WITHIN,
        "seed " + SEED + ": expected " + expected + ", got " + got);
  }

  /** Erlang's C: the mean time in an M/M/c queue with services of mean 1. */
  private static double erlang(int c, double perSecond) {
    double term = 1;
    double sum = 1;
    for (int k = 1; k < c; k++) {
      term *= perSecond / k;
      sum += term;
    }
    double last = term * perSecond / c / (1 - perSecond / c);
    return last / (sum + last) / (c - perSecond) + 1;
  }

  @Test
  void asManySlotsAsCoresIsTheQueueOfErlang() {
    close(erlang(3, 2.1), meanStay(ServerSpec.plain(3, 3), 2.1, 600_000, random::exponential));
  }

  @Test
  void oneCoreSharedByAllIsProcessorSharingWhateverTheSizes() {
    // 1 / (1 - rho), by the mean of the sizes alone: constant ones give what exponential ones give.
    close(1 / (1 - 0.6), meanStay(ServerSpec.plain(1, Integer.MAX_VALUE), 0.6, 600_000, () -> 1));
  }

  @Test
  void severalCoresSharedByAllWaitAsErlangSays() {
    // With exponential sizes, sharing min(1, c/n) each has the states of M/M/c, and so its mean.
    close(
        erlang(2, 1.4),
        meanStay(ServerSpec.plain(2, Integer.MAX_VALUE), 1.4, 600_000, random::exponential));
  }

  @Test
  void queueThatIsFullTurnsAwayUnseenAndACrashResetsWhatItHolds() {
    List<Status> statuses = new ArrayList<>();
    Server s = server(new ServerSpec(1, 1, 1, 1, 0, 1, 0, 10, 0, 0, 0, 0, 1));
    for (int i = 0; i < 3; i++) {
      s.submit(new Server.Job(null, null, Effect.SAFE, 0, SECOND, 0, sender(statuses)), random);
    }
    assertEquals(List.of(Status.FULL), statuses);
    s.crash();
    assertEquals(List.of(Status.FULL, Status.RESET, Status.RESET), statuses);
    assertTrue(!s.connect());
    s.restart();
    scheduler.run((long) (10 * SECOND), () -> false);
    assertEquals(3, statuses.size(), "what it held is not done by its next life");
  }

  private static Server.Sender sender(List<Status> statuses) {
    return new Server.Sender() {
      @Override
      public void begins() {}

      @Override
      public void ended(Status status, double work) {
        statuses.add(status);
      }
    };
  }

  @Test
  void coldOneWorksAtItsPartAndRememberedKeysSaveTheirs() {
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
    cold.submit(new Server.Job("k", null, Effect.SAFE, 0, SECOND, 0, sender(statuses)), random);
    scheduler.run((long) (3.9 * SECOND), () -> false);
    assertEquals(0, statuses.size(), "four times as long, less the warmth of four seconds");
    scheduler.run((long) (4.01 * SECOND), () -> false);
    assertEquals(1, statuses.size());
    cold.submit(new Server.Job("k", null, Effect.SAFE, 0, SECOND, 0, sender(statuses)), random);
    scheduler.run((long) (5.02 * SECOND), () -> false);
    assertEquals(2, statuses.size(), "a quarter of the work at a quarter of the speed");
  }
}
