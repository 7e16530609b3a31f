package pumicekeel.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pumicekeel.rig.scale.CapacityPage;
import pumicekeel.rig.scale.Deadline;
import pumicekeel.rig.scale.MachineLimits;
import pumicekeel.rig.scale.ResultFile;
import pumicekeel.rig.scale.ScaleRun;
import pumicekeel.rig.scale.Scenario;
import pumicekeel.rig.scale.Scenarios;
import pumicekeel.rig.scale.SlopePlot;
import pumicekeel.rig.scale.Watchdog;

/** Measures what the control plane costs by the size of the fleet. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description =
        "Measure what the control plane costs by size: hollow balancers, which are the control classes of the real program on"
            + " their own sockets and event loops in this process, and stand-ins, over loopback. Each point is stored in the"
            + " result file as soon as it is measured, and points that are in the file are not measured again.",
    subcommands = {RigScaleCommand.Page.class},
    footer = {
      "Exit status: 0 if every point is in the result file, 1 if the time limit was reached or a state was not reached,"
          + " 2 for a wrong command line or a point that exceeds the limits of this machine."
    })
final class RigScaleCommand implements Callable<Integer> {

  @Option(
      names = "--scenario",
      paramLabel = "NAME",
      split = ",",
      description = "The scenarios to measure, separated by commas. Default: all (see --list).")
  private List<String> names = List.of();

  @Option(names = "--list", description = "List the scenarios with their axes and sizes, and exit.")
  private boolean list;

  @Option(
      names = "--sizes",
      paramLabel = "N",
      split = ",",
      description =
          "Sizes of the axis, 2 to 1000000, separated by commas. Default: those of the axis (see --list).")
  private List<Integer> sizes = List.of();

  @Option(
      names = "--rounds",
      paramLabel = "N",
      defaultValue = "3",
      description = "Number of measurements of each size, 1 to 100. Default: ${DEFAULT-VALUE}.")
  private int rounds;

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description =
          "Seed of all random choices; round N uses this plus N. Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Option(
      names = "--time-limit",
      paramLabel = "SECONDS",
      defaultValue = "220",
      description =
          "After this time no point is started and the current one is abandoned, 5 to 86400. Default: ${DEFAULT-VALUE}.")
  private int timeLimit;

  @Option(
      names = "--result",
      paramLabel = "FILE",
      defaultValue = "scale.jsonl",
      description = "The result file, one line of JSON per point. Default: ${DEFAULT-VALUE}.")
  private Path result;

  @Option(
      names = "--json",
      description =
          "Print the points as lines of JSON at the end; progress goes to standard error.")
  private boolean json;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    if (list) {
      Scenarios.all()
          .forEach(s -> spec.commandLine()
              .getOut()
              .println(s.name() + " (" + s.role().title() + "): " + s.axis().key() + " "
                  + s.axis().sizes()));
      return 0;
    }
    ScaleRun.Plan plan =
        new ScaleRun.Plan(scenarios(), checkedSizes(), rounds, BuildName.current(), seed);
    if (rounds < 1 || rounds > 100 || timeLimit < 5 || timeLimit > 86_400) {
      throw new ParameterException(
          spec.commandLine(), "expected --rounds 1 to 100 and --time-limit 5 to 86400");
    }
    if (reportsObjection(plan)) {
      return 2;
    }
    return run(plan);
  }

  private int run(ScaleRun.Plan plan) throws IOException, InterruptedException {
    ResultFile results = ResultFile.open(result);
    PrintStream progress = DemoCommand.lineStream(
        json ? spec.commandLine().getErr() : spec.commandLine().getOut());
    try (Watchdog watchdog = new Watchdog(timeLimit, () -> Runtime.getRuntime().halt(1))) {
      Deadline deadline = Deadline.after(timeLimit, TimeUnit.SECONDS);
      ScaleRun.Outcome outcome = new ScaleRun(plan, results, deadline, progress).run();
      if (json) {
        spec.commandLine().getOut().print(ResultFile.toJsonLines(results.samples()));
        spec.commandLine().getOut().flush();
      }
      progress.println(
          switch (outcome) {
            case COMPLETE -> "complete: " + result;
            case OUT_OF_TIME ->
              "the time limit was reached; repeat the same command to continue: " + result;
            case NOT_REACHED ->
              "stopped: a state was not reached; the points measured before are in " + result;
          });
      return outcome == ScaleRun.Outcome.COMPLETE ? 0 : 1;
    }
  }

  private List<Scenario> scenarios() {
    if (names.isEmpty()) {
      return Scenarios.all();
    }
    List<Scenario> selected = new ArrayList<>();
    for (String name : names) {
      Scenario scenario = Scenarios.of(name);
      if (scenario == null) {
        throw new ParameterException(
            spec.commandLine(),
            "--scenario: expected one of " + String.join(", ", Scenarios.names()) + ", got \""
                + name + "\"");
      }
      selected.add(scenario);
    }
    return selected;
  }

  private List<Integer> checkedSizes() {
    for (int size : sizes) {
      if (size < 2 || size > 1_000_000) {
        throw new ParameterException(
            spec.commandLine(), "--sizes: expected 2 to 1000000, got " + size);
      }
    }
    return sizes;
  }

  /** Returns whether the plan cannot run, after printing why: a point exceeds the limits of this machine, or the folder is missing. */
  private boolean reportsObjection(ScaleRun.Plan plan) {
    MachineLimits limits = MachineLimits.current();
    for (Scenario scenario : plan.scenarios()) {
      for (int size : plan.sizesOf(scenario)) {
        String objection = limits.exceededLimit(scenario, size);
        if (objection != null) {
          spec.commandLine().getErr().println(objection);
          return true;
        }
      }
    }
    Path folder = result.toAbsolutePath().getParent();
    if (!Files.isDirectory(folder)) {
      spec.commandLine().getErr().println("--result: no such folder: " + folder);
      return true;
    }
    return false;
  }

  /** Fills the figures of a page from the results. */
  @Command(
      name = "page",
      mixinStandardHelpOptions = true,
      description =
          "Fill the figures of a page from a result file, and draw a plot for each slope that it shows.",
      footer = {
        "Exit status: 0 if the page was filled or is up to date, 1 if --check finds a difference, 2 for a"
            + " wrong command line."
      })
  static final class Page implements Callable<Integer> {

    @Parameters(index = "0", paramLabel = "FILE", description = "The page (Markdown).")
    private Path page;

    @Option(
        names = "--result",
        paramLabel = "FILE",
        required = true,
        description = "The result file of rig scale.")
    private Path result;

    @Option(
        names = "--check",
        description = "Change nothing; report whether the page agrees with the results.")
    private boolean check;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      for (Path file : List.of(page, result)) {
        if (!Files.isRegularFile(file)) {
          throw new ParameterException(spec.commandLine(), "expected a file, got " + file);
        }
      }
      ResultFile results = ResultFile.open(result);
      String before = Files.readString(page);
      String after = new CapacityPage(results).fill(before);
      if (check) {
        boolean same = after.equals(before);
        spec.commandLine()
            .getOut()
            .println(same ? "agrees with the results" : "differs from the results");
        return same ? 0 : 1;
      }
      Files.writeString(page, after);
      SlopePlot.writeAll(page, after, results);
      return 0;
    }
  }
}
