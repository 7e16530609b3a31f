package pumicekeel.lab.program;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import pumicekeel.lab.program.Step.Kind;
import pumicekeel.lab.world.RandomStream;

/**
 * The events of a run, drawn from its seed. The behaviour of a request or an upstream is drawn from the seed and its number alone, so
 * steps can be left out without a change to the others.
 *
 * @param seed seed of all random streams
 * @param servers number of upstreams at the start
 * @param sockets file descriptors that the program may hold
 * @param perSecond rate of requests outside bursts
 * @param operatorFile whether the program has an operator file, with a JSON-RPC listener
 * @param steps the events in order of time
 */
record Script(
    long seed, int servers, int sockets, double perSecond, boolean pools, List<Step> steps) {

  static final long MS = 1_000_000L;
  static final long SECOND = 1_000 * MS;
  private static final long LEAST_END = 3 * SECOND;
  private static final long MOST_END = 6 * SECOND;
  /** One in this many runs has no stop, so that time limits have to end what a stop would end. */
  private static final int STOPS_NOT_IN = 6;

  private static final Kind[] FAULTS = {
    Kind.BURST,
    Kind.CROWD,
    Kind.DRAIN,
    Kind.FRESH,
    Kind.HANG,
    Kind.CRASH,
    Kind.CUT_OFF,
    Kind.FULL,
    Kind.SLOW,
    Kind.IMPATIENT,
    Kind.WATCH_BREAKS,
    Kind.WATCH_SILENT,
    Kind.DRAIN,
    Kind.RELOAD
  };

  /** Draws the script of a seed. */
  static Script of(long seed) {
    RandomStream random = new RandomStream(seed, "script");
    int servers = 2 + random.below(5);
    int sockets = 48 + random.below(200);
    double rate = random.between(20, 60);
    long end = (long) random.between(LEAST_END, MOST_END);
    List<Step> steps = new ArrayList<>();
    int number = 0;
    for (double at = 0; at < end; at += random.exponential() * SECOND / rate) {
      steps.add(new Step((long) at, Kind.ASK, number++, 0));
    }
    int faults = random.below(6);
    for (int i = 0; i < faults; i++) {
      Kind kind = FAULTS[random.below(FAULTS.length)];
      int of = random.below(servers);
      steps.add(new Step((long) (random.uniform() * end), kind, kind == Kind.BURST ? i : of, (long)
          random.between(100 * MS, 3 * SECOND)));
    }
    if (random.below(STOPS_NOT_IN) > 0) {
      // As in production, clients continue for a while after the balancer was told to stop.
      steps.add(new Step((long) (end * random.between(0.6, 1)), Kind.STOP, 0, 0));
    }
    steps.sort(Comparator.comparingLong(Step::at));
    return new Script(seed, servers, sockets, rate, random.below(2) == 0, List.copyOf(steps));
  }

  /**
   * Returns this script with only the steps of these numbers, counted from 0.
   *
   * @throws IllegalArgumentException if there is no step of a number
   */
  Script only(List<Integer> numbers) {
    if (numbers.stream().anyMatch(n -> n < 0 || n >= steps.size())) {
      throw new IllegalArgumentException(
          "expected steps from 0 to " + (steps.size() - 1) + ", got " + numbers);
    }
    return new Script(
        seed,
        servers,
        sockets,
        perSecond,
        pools,
        numbers.stream().map(steps::get).toList());
  }

  /** Returns the random stream of this name. */
  RandomStream randomFor(String of) {
    return new RandomStream(seed, of);
  }
}
