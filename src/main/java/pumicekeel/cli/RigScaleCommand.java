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

/** What the control side costs by the size of the fleet. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description =
        "Measure what the control side costs by size: hollow balancers, which are the control classes of the real program on"
            + " sockets and loops of their own in this process, and stand-ins, over loopback. Each point is kept in the result"
            + " file as soon as it is measured, and what is there is not measured again.",
    subcommands = {RigScaleCommand.Page.class},
    footer = {
      "Exit status: 0 where every point is in the result file, 1 where the time was up first or a state was not reached,"
          + " 2 for a wrong command line or a point that this machine can't hold."
    })
final class RigScaleCommand implements Callable<Integer> {

  @Option(
      names = "--scenario",
      paramLabel = "NAME",
      split = ",",
      description = "What to measure, several by commas. Default: all (see --list).")
  private List<String> names = List.of();

  @Option(names = "--list", description = "Name the scenarios with their axes and sizes, and end.")
  private boolean list;

  @Option(
      names = "--sizes",
      paramLabel = "N",
      split = ",",
      description =
          "Sizes of the axis, 2 to 1000000, several by commas. Default: those of the axis (see --list).")
  private List<Integer> sizes = List.of();

  @Option(
      names = "--rounds",
      paramLabel = "N",
      defaultValue = "3",
      description = "How often each size is measured, 1 to 100. Default: ${DEFAULT-VALUE}.")
  private int rounds;

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description = "What decides all chance; round N takes this and N. Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Option(
      names = "--time-limit",
      paramLabel = "SECONDS",
      defaultValue = "220",
      description =
          "After so long no point is begun and the one at work is given up, 5 to 86400. Default: ${DEFAULT-VALUE}.")
  private int timeLimit;

  @Option(
      names = "--result",
      paramLabel = "FILE",
      defaultValue = "scale.jsonl",
      description = "Where results are kept, a line of JSON a point. Default: ${DEFAULT-VALUE}.")
  private Path result;

  @Option(
      names = "--json",
      description =
          "Write the points as lines of JSON at the end; progress goes to standard error.")
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
    if (isRefused(plan)) {
      return 2;
    }
    return run(plan);
  }

  private int run(ScaleRun.Plan plan) throws IOException, InterruptedException {
    ResultFile results = ResultFile.open(result);
    PrintStream progress = DemoCommand.lines(
        json ? spec.commandLine().getErr() : spec.commandLine().getOut());
    try (Watchdog watchdog = new Watchdog(timeLimit, () -> Runtime.getRuntime().halt(1))) {
      Deadline deadline = Deadline.after(timeLimit, TimeUnit.SECONDS);
      ScaleRun.End end = new ScaleRun(plan, results, deadline, progress).run();
      if (json) {
        spec.commandLine().getOut().print(ResultFile.text(results.samples()));
        spec.commandLine().getOut().flush();
      }
      progress.println(
          switch (end) {
            case COMPLETE -> "complete: " + result;
            case OUT_OF_TIME -> "the time is up; the same command goes on from here: " + result;
            case NOT_REACHED -> "ended: a state was not reached; what came before is in " + result;
          });
      return end == ScaleRun.End.COMPLETE ? 0 : 1;
    }
  }

  private List<Scenario> scenarios() {
    if (names.isEmpty()) {
      return Scenarios.all();
    }
    List<Scenario> chosen = new ArrayList<>();
    for (String name : names) {
      Scenario scenario = Scenarios.of(name);
      if (scenario == null) {
        throw new ParameterException(
            spec.commandLine(),
            "--scenario: expected one of " + String.join(", ", Scenarios.names()) + ", got \""
                + name + "\"");
      }
      chosen.add(scenario);
    }
    return chosen;
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

  /** Says so, in one line, where a point would not fit this machine. */
  private boolean isRefused(ScaleRun.Plan plan) {
    MachineLimits limits = MachineLimits.current();
    for (Scenario scenario : plan.scenarios()) {
      for (int size : plan.sizesOf(scenario)) {
        String objection = limits.objection(scenario, size);
        if (objection != null) {
          spec.commandLine().getErr().println(objection);
          return true;
        }
      }
    }
    Path folder = result.toAbsolutePath().getParent();
    if (!Files.isDirectory(folder)) {
      spec.commandLine().getErr().println("--result: no folder " + folder);
      return true;
    }
    return false;
  }

  /** Figures of a page from the results. */
  @Command(
      name = "page",
      mixinStandardHelpOptions = true,
      description =
          "Fill the figures of a page from a result file, and draw a plot for each slope that it shows.",
      footer = {
        "Exit status: 0 where the page was filled or stands as it should, 1 where --check finds another, 2 for a"
            + " wrong command line."
      })
  static final class Page implements Callable<Integer> {

    @Parameters(index = "0", paramLabel = "FILE", description = "The page, Markdown.")
    private Path page;

    @Option(
        names = "--result",
        paramLabel = "FILE",
        required = true,
        description = "The results, as rig scale keeps them.")
    private Path result;

    @Option(
        names = "--check",
        description = "Change nothing, and say whether the page is as the results have it.")
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
      String after = new CapacityPage(results).filled(before);
      if (check) {
        boolean same = after.equals(before);
        spec.commandLine()
            .getOut()
            .println(same ? "as the results have it" : "differs from the results");
        return same ? 0 : 1;
      }
      Files.writeString(page, after);
      SlopePlot.writeAll(page, after, results);
      return 0;
    }
  }
}
