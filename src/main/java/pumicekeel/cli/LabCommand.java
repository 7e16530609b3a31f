package pumicekeel.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pumicekeel.lab.experiment.Comparison;
import pumicekeel.lab.experiment.Experiment;
import pumicekeel.lab.experiment.Report;
import pumicekeel.lab.experiment.Result;
import pumicekeel.lab.experiment.ResultFile;
import pumicekeel.lab.experiment.Runner;
import pumicekeel.lab.experiment.Shrinker;
import pumicekeel.lab.fleet.Figures;
import pumicekeel.lab.fleet.FleetRun;
import pumicekeel.lab.policy.Policies;
import pumicekeel.lab.program.ProgramRun;
import pumicekeel.lab.program.ProgramSeeds;
import pumicekeel.lab.program.ProgramShrinker;
import pumicekeel.lab.real.RealRun;
import pumicekeel.lab.world.WorldSpec;
import pumicekeel.lab.world.Worlds;

/** Simulates whole fleets in virtual time, by policy, world and seed. */
@Command(
    name = "lab",
    mixinStandardHelpOptions = true,
    description =
        "Simulate whole fleets in virtual time, compare policies and explain the results.",
    subcommands = {
      LabCommand.Run.class,
      LabCommand.Compare.class,
      LabCommand.WriteReport.class,
      LabCommand.Explain.class,
      LabCommand.Shrink.class,
      LabCommand.Program.class,
      LabCommand.Play.class,
      LabCommand.Real.class,
      SubsetsCommand.class
    })
final class LabCommand implements Callable<Integer> {

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "expected a command");
  }

  /** Runs an experiment. */
  @Command(
      name = "run",
      mixinStandardHelpOptions = true,
      description = "Run an experiment. Runs that are already in the result file are not repeated.",
      footer = {
        "Exit status: 0 if every run has figures, 1 if some have none, 2 for an invalid file."
      })
  static final class Run implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", description = "The experiment (TOML).")
    private Path file;

    @Option(
        names = "--out",
        paramLabel = "FILE",
        required = true,
        description = "The result file, one line of JSON per run; an existing file is continued.")
    private Path out;

    @Option(
        names = "--threads",
        paramLabel = "N",
        description = "Number of parallel runs, 1 to 256. Default: the number of processors.")
    private Integer threads;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      if (threads != null && (threads < 1 || threads > 256)) {
        throw new ParameterException(spec.commandLine(), "expected --threads 1 to 256");
      }
      PrintWriter err = spec.commandLine().getErr();
      try (ResultFile results = ResultFile.open(out)) {
        Experiment experiment = Experiment.read(file);
        int unfinished = new Runner(
                experiment,
                BuildName.current(),
                threads == null ? Runtime.getRuntime().availableProcessors() : threads,
                err::println)
            .run(results);
        return unfinished == 0 ? 0 : 1;
      } catch (Experiment.InvalidExperimentException e) {
        e.lines().forEach(err::println);
        return 2;
      } catch (IOException e) {
        err.println(e.getMessage());
        return 2;
      }
    }
  }

  /** Compares two result files, or two policies of one file. */
  @Command(
      name = "compare",
      mixinStandardHelpOptions = true,
      description =
          "Compare two result files run by run, or two policies of one file, with a 95 %% interval for the mean difference.",
      footer = {"Exit status: 0, or 1 if no runs could be paired."})
  static final class Compare implements Callable<Integer> {

    @Parameters(arity = "1..2", paramLabel = "FILE", description = "One result file, or two.")
    private List<Path> files;

    @Option(
        names = "--policies",
        arity = "2",
        paramLabel = "NAME",
        description = "Two policies; the second is compared with the first.")
    private List<String> policies;

    @Option(
        names = "--metric",
        paramLabel = "NAME",
        defaultValue = "worth",
        description = "The figure of a run to compare. Default: ${DEFAULT-VALUE}.")
    private String metric;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      if (!Figures.NAMES.contains(metric)) {
        throw new ParameterException(
            spec.commandLine(), "--metric: expected one of " + Figures.NAMES + ", got " + metric);
      }
      if (files.size() == 1 && policies == null) {
        throw new ParameterException(spec.commandLine(), "expected two files, or --policies A B");
      }
      List<Result> a = ResultFile.read(files.get(0));
      List<Result> b = files.size() == 1 ? a : ResultFile.read(files.get(1));
      List<Comparison.Line> lines = Comparison.of(
          a,
          policies == null ? null : policies.get(0),
          b,
          policies == null ? null : policies.get(1),
          metric);
      PrintWriter out = spec.commandLine().getOut();
      out.printf(
          "%-44s %5s %9s %9s %9s  %-20s %s%n",
          metric + " by setting", "pairs", "A", "B", "B - A", "95 %", "B is");
      for (Comparison.Line l : lines) {
        String verdict = switch (l.verdict()) {
          case BETTER -> "better";
          case WORSE -> "worse";
          default -> "not significant";
        };
        out.printf(
            "%-44s %5d %9.4f %9.4f %9.4f  %-20s %s%n",
            l.setting(),
            l.pairs(),
            l.a(),
            l.b(),
            l.mean(),
            String.format("%.4f to %.4f", l.low(), l.high()),
            verdict);
      }
      return lines.isEmpty() ? 1 : 0;
    }
  }

  /** Writes a page of results. */
  @Command(
      name = "report",
      mixinStandardHelpOptions = true,
      description = "Write the results as one self-contained page.")
  static final class WriteReport implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", description = "The result file.")
    private Path file;

    @Option(
        names = "--out",
        paramLabel = "FILE",
        required = true,
        description = "The page to write (HTML).")
    private Path out;

    @Option(
        names = "--title",
        paramLabel = "TEXT",
        defaultValue = "lab",
        description = "Title of the page. Default: ${DEFAULT-VALUE}.")
    private String title;

    @Override
    public Integer call() throws Exception {
      System.setProperty("java.awt.headless", "true");
      Files.writeString(out, Report.html(title, ResultFile.read(file)));
      return 0;
    }
  }

  /** Base of the commands that simulate one run. */
  private abstract static class SingleRunCommand implements Callable<Integer> {

    @Option(
        names = "--world",
        paramLabel = "NAME",
        defaultValue = "calm",
        description = "World of the run. Default: ${DEFAULT-VALUE}.")
    protected String world;

    @Option(
        names = "--policy",
        paramLabel = "NAME",
        defaultValue = Policies.OWN,
        description = "Policy of the balancers. Default: ${DEFAULT-VALUE}.")
    protected String policy;

    @Option(
        names = "--balancers",
        paramLabel = "N",
        defaultValue = "2",
        description = "Number of balancers. Default: ${DEFAULT-VALUE}.")
    protected int balancers;

    @Option(
        names = "--servers",
        paramLabel = "N",
        defaultValue = "10",
        description = "Number of upstream servers. Default: ${DEFAULT-VALUE}.")
    protected int servers;

    @Option(
        names = "--seconds",
        paramLabel = "S",
        defaultValue = "45",
        description = "Duration in virtual seconds. Default: ${DEFAULT-VALUE}.")
    protected double seconds;

    @Option(
        names = "--load",
        paramLabel = "PART",
        description = "Load as a share of what the upstreams can serve if they remember no keys.")
    protected Double load;

    @Parameters(paramLabel = "SEED", description = "The run's seed.")
    protected long seed;

    @Spec
    protected CommandSpec spec;

    protected WorldSpec world() {
      try {
        WorldSpec w = Worlds.of(world, balancers, servers);
        if (w == null) {
          throw new ParameterException(
              spec.commandLine(), "--world: expected one of " + Worlds.names() + ", got " + world);
        }
        if (Policies.of(policy) == null) {
          throw new ParameterException(
              spec.commandLine(),
              "--policy: expected one of " + Policies.names() + ", got " + policy);
        }
        return load == null ? w.withSeconds(seconds) : w.withSeconds(seconds).with("load", load);
      } catch (IllegalArgumentException e) {
        throw new ParameterException(spec.commandLine(), e.getMessage());
      }
    }
  }

  /** Simulates one run and prints its figures. */
  @Command(
      name = "play",
      mixinStandardHelpOptions = true,
      description = "Play one run and print its figures.",
      footer = {"Exit status: 0 if all rules held, else 1."})
  static final class Play extends SingleRunCommand {
    @Override
    public Integer call() {
      long from = System.nanoTime();
      Figures f = new FleetRun(world(), Policies.of(policy), seed, null).play(() -> false);
      PrintWriter out = spec.commandLine().getOut();
      for (String name : Figures.NAMES) {
        out.printf("%-18s %.4f%n", name, f.get(name));
      }
      out.printf(
          "%d requests, %d tries, %d served, %d refused, %d failed, %d found no upstream; %d events in %.1f s%n",
          f.requests(),
          f.tries(),
          f.served(),
          f.refused(),
          f.failed(),
          f.unreachable(),
          f.events(),
          (System.nanoTime() - from) / 1e9);
      f.violations()
          .forEach((rule, times) -> out.println("broken: " + rule + ", " + times + " times"));
      if (f.firstViolation() != null) {
        out.println("first: " + f.firstViolation());
      }
      return f.violations().isEmpty() ? 0 : 1;
    }
  }

  /** Compares the model with the real program. */
  @Command(
      name = "real",
      mixinStandardHelpOptions = true,
      description =
          "Play a small world in virtual time and on real sockets with the real program, and compare the two."
              + " Clients do not retry; of the world's faults only bursts are played. Takes a little over twice the world's duration.",
      footer = {
        "Exit status: 0 if the served shares differ by at most 0.03 and the medians by 15 %%, else 1."
      })
  static final class Real extends SingleRunCommand {

    private static final double MAX_SERVED_SHARE_DIFFERENCE = 0.03;
    private static final double MAX_MEDIAN_DIFFERENCE = 0.15;
    /** Warm-up before the measured run: a program whose code was just compiled is not in a steady state. */
    private static final double WARM_UP_SECONDS = 10;

    @Override
    public Integer call() throws Exception {
      WorldSpec world = world().with("retry-part", 0);
      PrintWriter out = spec.commandLine().getOut();
      Figures model = new FleetRun(world, Policies.of(Policies.OWN), seed, null).play(() -> false);
      out.println("virtual time done; warm-up");
      out.flush();
      new RealRun(world.withSeconds(WARM_UP_SECONDS), seed + 1).play();
      out.println("real run of " + world.seconds() + " s");
      out.flush();
      RealRun.Figures real = new RealRun(world, seed).play();
      double served = (double) model.served() / model.tries();
      out.printf(
          "%-10s %9s %9s %9s %9s %9s %9s%n",
          "", "requests", "served", "refused", "worth", "p50 ms", "p99 ms");
      out.printf(
          "%-10s %9d %9.4f %9.4f %9.4f %9.1f %9.1f%n",
          "virtual",
          model.requests(),
          served,
          model.get("refused-part"),
          model.worth(),
          model.p50Millis(),
          model.p99Millis());
      out.printf(
          "%-10s %9d %9.4f %9.4f %9.4f %9.1f %9.1f%n",
          "sockets",
          real.requests(),
          real.servedShare(),
          real.refusedShare(),
          real.worth(),
          real.p50Millis(),
          real.p99Millis());
      out.printf(
          "without an answer or failed %d, answers to other requests %d; the test environment itself was late by at most %.1f ms%n",
          real.failedOrTimedOut(), real.mismatched(), real.maxLatenessMillis());
      boolean close = Math.abs(real.servedShare() - served) <= MAX_SERVED_SHARE_DIFFERENCE
          && Math.abs(real.p50Millis() / model.p50Millis() - 1) <= MAX_MEDIAN_DIFFERENCE
          && real.mismatched() == 0;
      out.println(close ? "close" : "not close");
      return close ? 0 : 1;
    }
  }

  /** Explains one request. */
  @Command(
      name = "explain",
      mixinStandardHelpOptions = true,
      description = "Play one run and print what happened to one request.",
      footer = {"Exit status: 0, or 1 if there is no such request."})
  static final class Explain extends SingleRunCommand {

    @Option(
        names = "--request",
        paramLabel = "ID",
        required = true,
        description = "The request's number, such as 17 or q17.")
    private String request;

    @Override
    public Integer call() {
      String digits = request.replaceFirst("^q", "").replaceFirst("r\\d+$", "");
      if (!digits.matches("\\d{1,18}")) {
        throw new ParameterException(
            spec.commandLine(), "--request: expected a number such as 17 or q17, got " + request);
      }
      long number = Long.parseLong(digits);
      List<String> lines = new ArrayList<>();
      new FleetRun(world(), Policies.of(policy), seed, (requestNumber, nanos, event) -> {
            if (requestNumber == number) {
              lines.add(String.format("%10.1f ms  %s", nanos / 1e6, event));
            }
          })
          .play(() -> false);
      lines.forEach(spec.commandLine().getOut()::println);
      return lines.isEmpty() ? 1 : 0;
    }
  }

  /** Shrinks a failing run. */
  @Command(
      name = "shrink",
      mixinStandardHelpOptions = true,
      description = "Reduce a run in which a rule is broken to a smaller one.",
      footer = {"Exit status: 0 if one was found, 1 if no rule is broken."})
  static final class Shrink extends SingleRunCommand {
    @Override
    public Integer call() {
      PrintWriter out = spec.commandLine().getOut();
      WorldSpec smallest = new Shrinker(policy, seed, out::println).shrink(world());
      out.println(smallest == null ? "no rule is broken" : "smallest: " + smallest);
      return smallest == null ? 1 : 0;
    }
  }

  /** Simulates the whole program, by seed. */
  @Command(
      name = "program",
      mixinStandardHelpOptions = true,
      description =
          "Run the whole serving program in virtual time on a simulated network, with clients, upstreams and a discovery service"
              + " that fail as the seed decides, and check the four rules and the bounds on sockets and memory.",
      footer = {
        "Exit status: 0 if all checks passed, 1 if one failed; its line says how to repeat it."
      })
  static final class Program implements Callable<Integer> {

    @Option(
        names = "--seed",
        paramLabel = "S",
        defaultValue = "1",
        description = "The first seed. Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(
        names = "--runs",
        paramLabel = "N",
        defaultValue = "1",
        description = "Seeds from the first on, 1 to 10000000. Default: ${DEFAULT-VALUE}.")
    private long runs;

    @Option(
        names = "--threads",
        paramLabel = "N",
        description = "Number of parallel runs, 1 to 256. Default: the number of processors.")
    private Integer threads;

    @Option(names = "--trace", description = "Print every event of the single seed.")
    private boolean trace;

    @Option(
        names = "--shrink",
        description = "Reduce the single seed to the fewest steps that still break the same rule.")
    private boolean shrink;

    @Option(
        names = "--only",
        paramLabel = "N,N",
        split = ",",
        description = "Play only these steps of the single seed, as printed by --shrink.")
    private List<Integer> only;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      if (runs < 1 || runs > 10_000_000 || threads != null && (threads < 1 || threads > 256)) {
        throw new ParameterException(
            spec.commandLine(), "expected --runs 1 to 10000000, --threads 1 to 256");
      }
      if (runs > 1 && (trace || shrink || only != null) || shrink && only != null) {
        throw new ParameterException(
            spec.commandLine(),
            "expected one seed with --trace, --only or --shrink, and no --only with --shrink");
      }
      return shrink ? shrink() : runs == 1 ? runOne() : runAll();
    }

    private int runOne() {
      PrintWriter out = spec.commandLine().getOut();
      ProgramRun.Report r;
      try {
        r = new ProgramRun(seed, only, trace ? out::println : null).play();
      } catch (IllegalArgumentException e) {
        throw new ParameterException(spec.commandLine(), "--only: " + e.getMessage());
      }
      out.printf(
          "seed %d: %d requests, %d served, %d refused; at most %d sockets, %d bytes of buffers; %s%n",
          seed,
          r.requests(),
          r.served(),
          r.refused(),
          r.maxSockets(),
          r.maxBufferBytes(),
          r.violation() == null ? "all rules held" : "BROKEN: " + r.violation());
      return r.violation() == null ? 0 : 1;
    }

    private int runAll() throws InterruptedException {
      PrintWriter out = spec.commandLine().getOut();
      ProgramSeeds.Total total = new ProgramSeeds(
              seed,
              runs,
              threads == null ? Runtime.getRuntime().availableProcessors() : threads,
              spec.commandLine().getErr()::println)
          .play();
      out.printf(
          "%d runs from seed %d: %d requests, %.1f %% served, %.1f %% refused; broken: %d%n",
          total.runs(),
          seed,
          total.requests(),
          100.0 * total.served() / total.requests(),
          100.0 * total.refused() / total.requests(),
          total.violations().size());
      total
          .violations()
          .forEach((runSeed, violation) -> out.println("seed " + runSeed + ": " + violation
              + "; repeat with lab program --seed " + runSeed + " --trace"));
      return total.violations().isEmpty() ? 0 : 1;
    }

    private int shrink() {
      PrintWriter out = spec.commandLine().getOut();
      ProgramShrinker.Shrunk shrunk =
          new ProgramShrinker(seed, spec.commandLine().getErr()::println).shrink();
      if (shrunk == null) {
        out.println("seed " + seed + ": all rules held");
        return 0;
      }
      shrunk.descriptions().forEach(out::println);
      out.println("BROKEN: " + shrunk.violation() + "; repeat with lab program --seed " + seed
          + " --trace --only "
          + shrunk.steps().stream().map(String::valueOf).collect(Collectors.joining(",")));
      return 1;
    }
  }
}
