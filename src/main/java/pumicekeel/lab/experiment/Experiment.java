package pumicekeel.lab.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import pumicekeel.config.Fault;
import pumicekeel.config.OperatorFile;
import pumicekeel.config.Section;
import pumicekeel.lab.policy.Policies;
import pumicekeel.lab.world.WorldSpec;
import pumicekeel.lab.world.Worlds;

/**
 * What is to be tried: every policy in every world, at every size, with every value of what is swept, under every seed.
 *
 * @param sweep the figure of the world that is swept; null for none
 * @param runLimitSeconds real time after which a run is given up
 */
public record Experiment(
    String name,
    List<String> worlds,
    List<String> policies,
    List<Integer> balancers,
    double serversPerBalancer,
    long firstSeed,
    int seeds,
    double seconds,
    String sweep,
    List<Double> values,
    int runLimitSeconds) {

  private static final int MOST_RUNS = 1_000_000;
  private static final int MOST_SEEDS = 100_000;

  /** A file that is no good: a line for each fault. */
  public static final class Faulty extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> lines;

    Faulty(List<String> lines) {
      super(lines.get(0));
      this.lines = lines;
    }

    /** {@code FILE:LINE: KEY: what was expected}. */
    public List<String> lines() {
      return lines;
    }
  }

  /** Reads and checks a file; blocks. */
  public static Experiment read(Path file) throws Faulty {
    try {
      return read(OperatorFile.read(file), file.toString());
    } catch (OperatorFile.UnreadableFileException e) {
      throw new Faulty(List.of(new Fault(1, "file", e.getMessage()).in(file.toString())));
    }
  }

  /** Reads and checks a text that came from a file of this name. */
  public static Experiment read(String text, String file) throws Faulty {
    List<Fault> faults = new ArrayList<>();
    Section root = Section.parse(text, faults);
    Experiment experiment = root == null ? null : read(root);
    if (!faults.isEmpty()) {
      faults.sort(null);
      throw new Faulty(faults.stream().map(f -> f.in(file)).toList());
    }
    return experiment;
  }

  private static Experiment read(Section s) {
    String name = s.requiredText("name", "the experiment's name");
    List<String> worlds = chosen(s, "worlds", Worlds.names(), Worlds.names()::contains);
    List<String> policies = chosen(s, "policies", Policies.names(), p -> Policies.of(p) != null);
    List<Integer> balancers = s.integers("balancers", 1, WorldSpec.MAX_BALANCERS);
    Double each = s.number("servers-per-balancer", 0.01, 1_000);
    Long first = s.integer("first-seed", 0, Long.MAX_VALUE);
    Long seeds = s.integer("seeds", 1, MOST_SEEDS);
    Double seconds = s.number("seconds", 10, 3_600);
    Long limit = s.integer("run-limit-s", 1, 86_400);
    Section sweep = s.table("sweep");
    String swept = null;
    List<Double> values = List.of(0.0);
    if (sweep != null) {
      Set<String> keys = new TreeSet<>(sweep.keys());
      if (keys.size() != 1 || !WorldSpec.SWEEPABLE.containsAll(keys)) {
        s.addFault(
            "sweep",
            "expected one of " + WorldSpec.SWEEPABLE + " with a list of values, got " + keys);
      } else {
        swept = keys.iterator().next();
        values = values(sweep, swept);
      }
      sweep.reportUnknownKeys();
    }
    s.reportUnknownKeys();
    if (balancers == null || balancers.isEmpty()) {
      s.addFault("balancers", "expected numbers of balancers, as [2, 20], got nothing");
      balancers = List.of(1);
    }
    Experiment e = new Experiment(
        name,
        worlds,
        policies,
        balancers,
        each == null ? 5 : each,
        first == null ? 1 : first,
        seeds == null ? 8 : seeds.intValue(),
        seconds == null ? 45 : seconds,
        swept,
        values,
        limit == null ? 300 : limit.intValue());
    if ((long) e.worlds.size() * e.policies.size() * e.balancers.size() * e.seeds * e.values.size()
        > MOST_RUNS) {
      s.addFault("seeds", "expected at most " + MOST_RUNS + " runs in all");
    }
    return e;
  }

  private static List<Double> values(Section sweep, String key) {
    List<Double> values = sweep.numbers(key);
    if (values.isEmpty()) {
      sweep.addFault(key, "expected values to sweep, got nothing");
    }
    for (double value : values) {
      try {
        Worlds.of(Worlds.names().get(0), 1, 1).with(key, value);
      } catch (IllegalArgumentException e) {
        sweep.addFault(key, e.getMessage().substring(e.getMessage().indexOf("expected")));
      }
    }
    return values.isEmpty() ? List.of(0.0) : values;
  }

  private static List<String> chosen(
      Section s, String key, List<String> known, Predicate<String> good) {
    List<String> chosen = s.textList(key);
    if (chosen == null || chosen.isEmpty()) {
      s.addFault(key, "expected some of " + known + ", got nothing");
      return known;
    }
    for (String one : chosen) {
      if (!good.test(one)) {
        s.addFault(key, "expected one of " + known + ", got \"" + one + "\"");
      }
    }
    return chosen.stream().distinct().toList();
  }

  /** All runs, seed by seed, so that a part of them holds pairs. */
  public List<Run> runs() {
    List<Run> runs = new ArrayList<>();
    for (int i = 0; i < seeds; i++) {
      for (String world : worlds) {
        for (int size : balancers) {
          for (double value : values) {
            for (String policy : policies) {
              runs.add(new Run(
                  world,
                  policy,
                  size,
                  Math.max(1, (int) Math.round(size * serversPerBalancer)),
                  seconds,
                  sweep == null ? "" : sweep,
                  value,
                  firstSeed + i));
            }
          }
        }
      }
    }
    return runs;
  }

  /** One run, without what came of it. */
  public record Run(
      String world,
      String policy,
      int balancers,
      int servers,
      double seconds,
      String sweep,
      double value,
      long seed) {

    /** What its figures are kept under. */
    public String key() {
      return pair() + " " + policy;
    }

    /** Runs of the same pair differ in the policy alone. */
    public String pair() {
      return setting() + " seed " + seed;
    }

    /** World and size, whatever the seed. */
    public String setting() {
      return world + " " + balancers + "x" + servers + " " + seconds + "s"
          + (sweep.isEmpty() ? "" : " " + sweep + "=" + value);
    }

    /** The world that it is played in. */
    public WorldSpec spec() {
      WorldSpec spec = Worlds.of(world, balancers, servers).withSeconds(seconds);
      return sweep.isEmpty() ? spec : spec.with(sweep, value);
    }
  }
}
