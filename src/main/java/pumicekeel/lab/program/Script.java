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
 * @param requestsPerSecond rate of requests outside bursts
 * @param hasOperatorFile whether the program has an operator file, with a JSON-RPC listener
 * @param steps the events in order of time
 */
record Script(
    long seed,
    int servers,
    int sockets,
    double requestsPerSecond,
    boolean hasOperatorFile,
    List<Step> steps) {

  static final long NANOS_PER_MS = 1_000_000L;
  static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MS;
  private static final long MIN_DURATION_NANOS = 3 * NANOS_PER_SECOND;
  private static final long MAX_DURATION_NANOS = 6 * NANOS_PER_SECOND;
  /** One in this many runs has no stop, so that time limits have to end what a stop would end. */
  private static final int RUNS_PER_RUN_WITHOUT_STOP = 6;

  private static final Kind[] FAULTS = {
    Kind.BURST,
    Kind.IDLE_CLIENTS,
    Kind.DRAIN,
    Kind.START_UPSTREAM,
    Kind.HANG,
    Kind.CRASH,
    Kind.ISOLATE,
    Kind.REJECT,
    Kind.SLOW_DOWN,
    Kind.CLOSE_IDLE,
    Kind.RESET_WATCHES,
    Kind.SILENCE_WATCHES,
    Kind.DRAIN,
    Kind.RELOAD
  };

  /** Draws the script of a seed. */
  static Script of(long seed) {
    RandomStream random = new RandomStream(seed, "script");
    int servers = 2 + random.below(5);
    int sockets = 48 + random.below(200);
    double requestsPerSecond = random.between(20, 60);
    long durationNanos = (long) random.between(MIN_DURATION_NANOS, MAX_DURATION_NANOS);
    List<Step> steps = new ArrayList<>();
    int number = 0;
    for (double atNanos = 0;
        atNanos < durationNanos;
        atNanos += random.exponential() * NANOS_PER_SECOND / requestsPerSecond) {
      steps.add(new Step((long) atNanos, Kind.REQUEST, number++, 0));
    }
    int faults = random.below(6);
    for (int i = 0; i < faults; i++) {
      Kind kind = FAULTS[random.below(FAULTS.length)];
      int upstream = random.below(servers);
      steps.add(new Step(
          (long) (random.uniform() * durationNanos), kind, kind == Kind.BURST ? i : upstream, (long)
              random.between(100 * NANOS_PER_MS, 3 * NANOS_PER_SECOND)));
    }
    if (random.below(RUNS_PER_RUN_WITHOUT_STOP) > 0) {
      // As in production, clients continue for a while after the balancer was told to stop.
      steps.add(new Step((long) (durationNanos * random.between(0.6, 1)), Kind.STOP, 0, 0));
    }
    steps.sort(Comparator.comparingLong(Step::atNanos));
    return new Script(
        seed, servers, sockets, requestsPerSecond, random.below(2) == 0, List.copyOf(steps));
  }

  /**
   * Returns this script with only the steps of these numbers, counted from 0.
   *
   * @throws IllegalArgumentException if there is no step of a number
   */
  Script withSteps(List<Integer> numbers) {
    if (numbers.stream().anyMatch(n -> n < 0 || n >= steps.size())) {
      throw new IllegalArgumentException(
          "expected steps from 0 to " + (steps.size() - 1) + ", got " + numbers);
    }
    return new Script(
        seed,
        servers,
        sockets,
        requestsPerSecond,
        hasOperatorFile,
        numbers.stream().map(steps::get).toList());
  }

  /** Returns the random stream of this name. */
  RandomStream randomFor(String name) {
    return new RandomStream(seed, name);
  }
}
