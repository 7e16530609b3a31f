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
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;
import pumicekeel.Balancer.Status;

/**
 * Tests that the cold budget holds for the whole fleet: in no window may all balancers together send a cold upstream more than
 * N + 2 sqrt(N) + 2 requests of mean work, where N is what the settings allow at the start of the window. Runs whole fleets of the
 * decision module in virtual time; the capacity of the upstreams equals the load, which gives the smallest possible budget.
 */
class ColdBudgetTest {

  private static final long TICK = 5 * Driver.MS;
  private static final long WARM = 9;
  private static final long COLD = 500;
  private static final long LATENCY = 20 * Driver.MS;

  /** What a third of the balancers knows of the fleet when the cold upstream starts. */
  private enum View {
    SAME_AS_OTHERS,
    JUST_STARTED,
    /** Their list names a third of the warm upstreams only. */
    SHORT_LIST,
    /** They are configured with a group size of 1. */
    GROUP_OF_ONE,
    /** All are configured with a group size of 1. */
    ALL_GROUP_OF_ONE,
    /** All have just started and find the cold upstream in their first list. */
    ALL_JUST_STARTED,
    /** Their list names only the cold upstream. */
    ONLY_COLD
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

  /** Runs the fleet for a time, with {@code perTick} requests expected in each tick. */
  private void run(long nanos, double perTick) {
    long end = fleet.get(0).now + nanos;
    while (fleet.get(0).now < end) {
      for (double due = perTick; random.nextDouble() < due; due--) {
        Driver d = fleet.get(random.nextInt(fleet.size()));
        String id = "r" + ids++;
        d.request(id, "c", id);
      }
      for (Driver d : fleet) {
        d.advance(TICK);
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

  /** The upstream starts with about a third of its capacity, or with 5 % of it, where the budget rises steeply. */
  static Stream<Arguments> fleets() {
    return IntStream.of(20, 30)
        .boxed()
        .flatMap(balancers -> Stream.of(View.values())
            .flatMap(view -> DoubleStream.of(2, 10, 30, 100)
                .boxed()
                .flatMap(load -> DoubleStream.of(0.05, 0.3)
                    .filter(from -> view != View.ONLY_COLD || from > 0.05)
                    .mapToObj(from -> Arguments.of(balancers, view, load, from)))));
  }

  @ParameterizedTest
  @MethodSource("fleets")
  void fleetStaysWithinTheColdBudget(
      int balancers, View view, double perUpstream, double coldShare) {
    coldFrom = coldShare;
    for (int i = 0; i < balancers; i++) {
      boolean groupOfOne = view == View.ALL_GROUP_OF_ONE || view == View.GROUP_OF_ONE && i % 3 == 0;
      fleet.add(balancer(settings(groupOfOne ? 1 : balancers), i, 1_000_000_000_000L));
    }
    double perTick = perUpstream * (WARM + 1) * TICK / 1e9;
    run(20_000 * Driver.MS, perTick);
    long start = fleet.get(0).now;
    ListedUpstream cold = new ListedUpstream(COLD, "a", 0, State.READY, start, 1);
    for (int i = 0; i < balancers; i++) {
      if (view == View.JUST_STARTED && i % 3 == 0 || view == View.ALL_JUST_STARTED) {
        fleet.set(i, balancer(settings(balancers), balancers + i, start));
      }
      if (view == View.SHORT_LIST && i % 3 == 0) {
        fleet
            .get(i)
            .list(
                ListKind.FULL,
                Driver.readyUpstream(100),
                Driver.readyUpstream(101),
                Driver.readyUpstream(102),
                cold);
      } else if (view == View.ONLY_COLD && i % 3 == 0) {
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
    assertTrue(worst < 1, "seed " + SEED + ": largest share used " + worst + " of the budget");
    assertFalse(sentToCold.isEmpty(), "some requests are sent to it");
  }
}
