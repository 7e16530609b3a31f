package pumicekeel;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.Listed;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;
import pumicekeel.Balancer.Status;

/**
 * The budget of a cold upstream is the fleet's: in no window may all balancers together send it more than N + 2 x root of N + 2 requests of
 * mean work, N being what the settings allow it at the window's begin. Whole fleets of the decision module in virtual time; the
 * upstreams have just the capacity that they are asked for, which is the least budget that a fleet can meet.
 */
class ColdBudgetTest {

  private static final long TICK = 5 * Driver.MS;
  private static final long WARM = 9;
  private static final long COLD = 500;
  private static final long LATENCY = 20 * Driver.MS;

  /** What a third of the balancers takes the fleet for when the cold upstream starts. */
  private enum View {
    AS_THE_OTHERS,
    JUST_STARTED,
    /** Their list names a third of the warm upstreams only. */
    SHORT_LIST,
    /** They take themselves for the only one. */
    ALONE,
    /** So do all of them. */
    ALL_ALONE,
    /** All have just started, and see the cold upstream in their first list. */
    ALL_JUST_STARTED,
    /** Their list names no upstream but the cold one. */
    NOTHING_ELSE
  }

  private static final long SEED = 11;

  private final SplittableRandom random = new SplittableRandom(SEED);
  private double coldFrom;
  private final List<Driver> fleet = new ArrayList<>();
  private final List<Long> sentToCold = new ArrayList<>();
  private final Set<String> seen = new HashSet<>();
  private int ids;

  private Settings settings(int groupSize) {
    Settings s = Driver.safe();
    Contract c = s.contract();
    return new Settings(
        s.me(),
        groupSize,
        s.zone(),
        s.classes(),
        s.tenants(),
        s.limits(),
        new Contract(
            c.answerSlackNanos(),
            c.askWithinNanos(),
            c.drainGraceNanos(),
            coldFrom,
            c.warmWithinNanos(),
            c.fallMultiple(),
            c.fallWindowNanos()),
        s.prices(),
        s.listOnRequest(),
        s.weightKind(),
        s.overShareWorth(),
        s.warmKeys(),
        s.tickNanos());
  }

  private Driver balancer(Settings settings, int number, long now) {
    Driver d = new Driver(settings, SEED + number);
    d.now = now;
    return d.upstreams((int) WARM);
  }

  /** Lets the fleet be asked for so long, with this chance of a request in each tick. */
  private void run(long nanos, double perTick) {
    long end = fleet.get(0).now + nanos;
    while (fleet.get(0).now < end) {
      for (double due = perTick; random.nextDouble() < due; due--) {
        Driver d = fleet.get(random.nextInt(fleet.size()));
        String id = "r" + ids++;
        d.request(id, "c", id);
      }
      for (Driver d : fleet) {
        d.pass(TICK);
        for (Driver.Sent s : List.copyOf(d.outstanding)) {
          if (s.upstream() == COLD && seen.add(s.id() + '/' + s.attempt())) {
            sentToCold.add(s.at());
          }
          if (d.now - s.at() >= LATENCY && d.outstanding.contains(s)) {
            d.end(s, Status.SERVED, LATENCY);
          }
        }
      }
    }
  }

  /** The upstream begins with a third of its capacity, and with next to none of it, where the budget rises steeply. */
  static Stream<Arguments> fleets() {
    return IntStream.of(20, 30)
        .boxed()
        .flatMap(balancers -> Stream.of(View.values())
            .flatMap(view -> DoubleStream.of(2, 10, 30, 100)
                .boxed()
                .flatMap(load -> DoubleStream.of(0.05, 0.3)
                    .filter(from -> view != View.NOTHING_ELSE || from > 0.05)
                    .mapToObj(from -> Arguments.of(balancers, view, load, from)))));
  }

  @ParameterizedTest
  @MethodSource("fleets")
  void sumOfAllStaysWithinTheFleetsBudget(
      int balancers, View view, double perUpstream, double coldShare) {
    coldFrom = coldShare;
    for (int i = 0; i < balancers; i++) {
      boolean alone = view == View.ALL_ALONE || view == View.ALONE && i % 3 == 0;
      fleet.add(balancer(settings(alone ? 1 : balancers), i, 1_000_000_000_000L));
    }
    double perTick = perUpstream * (WARM + 1) * TICK / 1e9;
    run(20_000 * Driver.MS, perTick);
    long start = fleet.get(0).now;
    Listed cold = new Listed(COLD, "a", 0, State.READY, start, 1);
    for (int i = 0; i < balancers; i++) {
      if (view == View.JUST_STARTED && i % 3 == 0 || view == View.ALL_JUST_STARTED) {
        fleet.set(i, balancer(settings(balancers), balancers + i, start));
      }
      if (view == View.SHORT_LIST && i % 3 == 0) {
        fleet.get(i).list(ListKind.FULL, Driver.up(100), Driver.up(101), Driver.up(102), cold);
      } else if (view == View.NOTHING_ELSE && i % 3 == 0) {
        fleet.get(i).list(ListKind.FULL, cold);
      } else {
        fleet.get(i).list(ListKind.DELTA, cold);
      }
    }
    run(8_000 * Driver.MS, perTick);
    Settings s = settings(balancers);
    double worst = 0;
    for (long from : sentToCold) {
      double warmth = Math.min(
          1,
          s.contract().coldFrom()
              + (1 - s.contract().coldFrom())
                  * (from - start)
                  / (double) s.contract().warmWithinNanos());
      double n =
          s.contract().fallMultiple() * warmth * perUpstream * s.contract().fallWindowNanos() / 1e9;
      long sent = sentToCold.stream()
          .filter(t -> t >= from && t < from + s.contract().fallWindowNanos())
          .count();
      worst = Math.max(worst, sent / (n + 2 * Math.sqrt(n) + 2));
    }
    assertTrue(worst < 1, "seed " + SEED + ": at the most " + worst + " of the budget");
    assertFalse(sentToCold.isEmpty(), "some are sent to it");
  }
}
