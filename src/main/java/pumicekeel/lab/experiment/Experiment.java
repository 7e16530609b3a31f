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
 * An experiment: every policy in every world, at every size, with every value of the swept parameter and every seed.
 *
 * @param sweep name of the world's parameter that is swept, one of {@link WorldSpec#SWEEPABLE}; null for none
 * @param values values of the swept parameter
 * @param runLimitSeconds real time after which a run is stopped
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

  private static final int MAX_RUNS = 1_000_000;
  private static final int MAX_SEEDS = 100_000;

  /** An experiment file is invalid; has one line per fault. */
  public static final class InvalidExperimentException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> lines;

    InvalidExperimentException(List<String> lines) {
      super(lines.get(0));
      this.lines = lines;
    }

    /** Returns the faults, each as {@code FILE:LINE: KEY: what was expected}. */
    public List<String> lines() {
      return lines;
    }
  }

  /** Reads and checks a file; blocks. */
  public static Experiment read(Path file) throws InvalidExperimentException {
    try {
      return read(OperatorFile.read(file), file.toString());
    } catch (OperatorFile.UnreadableFileException e) {
      throw new InvalidExperimentException(
          List.of(new Fault(1, "file", e.getMessage()).in(file.toString())));
    }
  }

  /** Checks the text of an experiment file; {@code file} is its name. */
  public static Experiment read(String text, String file) throws InvalidExperimentException {
    List<Fault> faults = new ArrayList<>();
    Section root = Section.parse(text, faults);
    Experiment experiment = root == null ? null : read(root);
    if (!faults.isEmpty()) {
      faults.sort(null);
      throw new InvalidExperimentException(
          faults.stream().map(fault -> fault.in(file)).toList());
    }
    return experiment;
  }

  private static Experiment read(Section section) {
    String name = section.requiredText("name", "the experiment's name");
    List<String> worlds =
        selectedNames(section, "worlds", Worlds.names(), Worlds.names()::contains);
    List<String> policies =
        selectedNames(section, "policies", Policies.names(), policy -> Policies.of(policy) != null);
    List<Integer> balancers = section.integers("balancers", 1, WorldSpec.MAX_BALANCERS);
    Double serversPerBalancer = section.number("servers-per-balancer", 0.01, 1_000);
    Long firstSeed = section.integer("first-seed", 0, Long.MAX_VALUE);
    Long seeds = section.integer("seeds", 1, MAX_SEEDS);
    Double seconds = section.number("seconds", 10, 3_600);
    Long runLimitSeconds = section.integer("run-limit-s", 1, 86_400);
    Section sweep = section.table("sweep");
    String sweptKey = null;
    List<Double> values = List.of(0.0);
    if (sweep != null) {
      Set<String> keys = new TreeSet<>(sweep.keys());
      if (keys.size() != 1 || !WorldSpec.SWEEPABLE.containsAll(keys)) {
        section.addFault(
            "sweep",
            "expected one of " + WorldSpec.SWEEPABLE + " with a list of values, got " + keys);
      } else {
        sweptKey = keys.iterator().next();
        values = values(sweep, sweptKey);
      }
      sweep.reportUnknownKeys();
    }
    section.reportUnknownKeys();
    if (balancers == null || balancers.isEmpty()) {
      section.addFault("balancers", "expected numbers of balancers, as [2, 20], got nothing");
      balancers = List.of(1);
    }
    Experiment experiment = new Experiment(
        name,
        worlds,
        policies,
        balancers,
        serversPerBalancer == null ? 5 : serversPerBalancer,
        firstSeed == null ? 1 : firstSeed,
        seeds == null ? 8 : seeds.intValue(),
        seconds == null ? 45 : seconds,
        sweptKey,
        values,
        runLimitSeconds == null ? 300 : runLimitSeconds.intValue());
    if ((long) experiment.worlds.size()
            * experiment.policies.size()
            * experiment.balancers.size()
            * experiment.seeds
            * experiment.values.size()
        > MAX_RUNS) {
      section.addFault("seeds", "expected at most " + MAX_RUNS + " runs in all");
    }
    return experiment;
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

  private static List<String> selectedNames(
      Section section, String key, List<String> known, Predicate<String> valid) {
    List<String> selectedNames = section.textList(key);
    if (selectedNames == null || selectedNames.isEmpty()) {
      section.addFault(key, "expected some of " + known + ", got nothing");
      return known;
    }
    for (String name : selectedNames) {
      if (!valid.test(name)) {
        section.addFault(key, "expected one of " + known + ", got \"" + name + "\"");
      }
    }
    return selectedNames.stream().distinct().toList();
  }

  /** Returns all runs, ordered by seed, so that an unfinished experiment contains complete pairs. */
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

  /** The parameters of one run. */
  public record Run(
      String world,
      String policy,
      int balancers,
      int servers,
      double seconds,
      String sweep,
      double value,
      long seed) {

    /** Returns the key that identifies the run in a result file. */
    public String key() {
      return pair() + " " + policy;
    }

    /** Returns the key of the run's pair; the runs of a pair differ only in the policy. */
    public String pair() {
      return setting() + " seed " + seed;
    }

    /** Returns the run's parameters without seed and policy. */
    public String setting() {
      return world + " " + balancers + "x" + servers + " " + seconds + "s"
          + (sweep.isEmpty() ? "" : " " + sweep + "=" + value);
    }

    /** Returns the world of the run. */
    public WorldSpec spec() {
      WorldSpec spec = Worlds.of(world, balancers, servers).withSeconds(seconds);
      return sweep.isEmpty() ? spec : spec.with(sweep, value);
    }
  }
}
