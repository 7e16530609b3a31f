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

/** Whole fleets in virtual time, by policy, world and seed. */
@Command(
    name = "lab",
    mixinStandardHelpOptions = true,
    description = "Try policies on whole fleets in virtual time, compare them, and see why.",
    subcommands = {
      LabCommand.Run.class,
      LabCommand.Compare.class,
      LabCommand.MakeReport.class,
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

  /** An experiment. */
  @Command(
      name = "run",
      mixinStandardHelpOptions = true,
      description = "Play an experiment. What the result file holds already is not played again.",
      footer = {
        "Exit status: 0 where every run came to figures, 1 where some did not, 2 for a file that is no good."
      })
  static final class Run implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", description = "The experiment, TOML.")
    private Path file;

    @Option(
        names = "--out",
        paramLabel = "FILE",
        required = true,
        description = "Results, a line of JSON each; gone on with if it is there.")
    private Path out;

    @Option(
        names = "--threads",
        paramLabel = "N",
        description = "Runs side by side, 1 to 256. Default: the processors.")
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
        int without = new Runner(
                experiment,
                BuildName.current(),
                threads == null ? Runtime.getRuntime().availableProcessors() : threads,
                err::println)
            .run(results);
        return without == 0 ? 0 : 1;
      } catch (Experiment.Faulty e) {
        e.lines().forEach(err::println);
        return 2;
      } catch (IOException e) {
        err.println(e.getMessage());
        return 2;
      }
    }
  }

  /** Two results, or two policies of one. */
  @Command(
      name = "compare",
      mixinStandardHelpOptions = true,
      description =
          "Compare two files of results run by run, or two policies of one file, with a 95 %% interval for the mean difference.",
      footer = {"Exit status: 0, or 1 where nothing could be paired."})
  static final class Compare implements Callable<Integer> {

    @Parameters(arity = "1..2", paramLabel = "FILE", description = "One file of results, or two.")
    private List<Path> files;

    @Option(
        names = "--policies",
        arity = "2",
        paramLabel = "NAME",
        description = "Two policies: the second is held against the first.")
    private List<String> policies;

    @Option(
        names = "--metric",
        paramLabel = "NAME",
        defaultValue = "worth",
        description = "One of a run's figures. Default: ${DEFAULT-VALUE}.")
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
          default -> "not told from noise";
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

  /** A page. */
  @Command(
      name = "report",
      mixinStandardHelpOptions = true,
      description = "Write one self-contained page of results.")
  static final class MakeReport implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", description = "Results.")
    private Path file;

    @Option(names = "--out", paramLabel = "FILE", required = true, description = "The page, HTML.")
    private Path out;

    @Option(
        names = "--title",
        paramLabel = "TEXT",
        defaultValue = "lab",
        description = "Default: ${DEFAULT-VALUE}.")
    private String title;

    @Override
    public Integer call() throws Exception {
      System.setProperty("java.awt.headless", "true");
      Files.writeString(out, Report.html(title, ResultFile.read(file)));
      return 0;
    }
  }

  /** One run by name; what several commands take. */
  private abstract static class OneRun implements Callable<Integer> {

    @Option(
        names = "--world",
        paramLabel = "NAME",
        defaultValue = "calm",
        description = "Default: ${DEFAULT-VALUE}.")
    protected String world;

    @Option(
        names = "--policy",
        paramLabel = "NAME",
        defaultValue = Policies.OWN,
        description = "Default: ${DEFAULT-VALUE}.")
    protected String policy;

    @Option(
        names = "--balancers",
        paramLabel = "N",
        defaultValue = "2",
        description = "Default: ${DEFAULT-VALUE}.")
    protected int balancers;

    @Option(
        names = "--servers",
        paramLabel = "N",
        defaultValue = "10",
        description = "Default: ${DEFAULT-VALUE}.")
    protected int servers;

    @Option(
        names = "--seconds",
        paramLabel = "S",
        defaultValue = "45",
        description = "Default: ${DEFAULT-VALUE}.")
    protected double seconds;

    @Option(
        names = "--load",
        paramLabel = "PART",
        description = "Of what the upstreams can do without remembered keys.")
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

  /** One run. */
  @Command(
      name = "play",
      mixinStandardHelpOptions = true,
      description = "Play one run and print its figures.",
      footer = {"Exit status: 0 where all rules held, else 1."})
  static final class Play extends OneRun {
    @Override
    public Integer call() {
      long from = System.nanoTime();
      Figures f = new FleetRun(world(), Policies.of(policy), seed, null).play(() -> false);
      PrintWriter out = spec.commandLine().getOut();
      for (String name : Figures.NAMES) {
        out.printf("%-18s %.4f%n", name, f.get(name));
      }
      out.printf(
          "%d requests, %d tries, %d served, %d refused, %d failed, %d found nobody; %d events in %.1f s%n",
          f.asked(),
          f.tries(),
          f.served(),
          f.refused(),
          f.failed(),
          f.unreached(),
          f.events(),
          (System.nanoTime() - from) / 1e9);
      f.broken().forEach((rule, times) -> out.println("broken: " + rule + ", " + times + " times"));
      if (f.first() != null) {
        out.println("first: " + f.first());
      }
      return f.broken().isEmpty() ? 0 : 1;
    }
  }

  /** Model against sockets. */
  @Command(
      name = "real",
      mixinStandardHelpOptions = true,
      description =
          "Play a small world in virtual time and on real sockets with the real program, and hold the two against each other."
              + " Clients ask once; of troubles only bursts are played. Takes the world's seconds twice, and some.",
      footer = {
        "Exit status: 0 where the served share lies within 0.03 and the median within 15 %%, else 1."
      })
  static final class Real extends OneRun {

    private static final double SERVED_WITHIN = 0.03;
    private static final double MEDIAN_WITHIN = 0.15;
    /** Before the run that counts: a program that is just compiled is no steady state. */
    private static final double REHEARSAL_SECONDS = 10;

    @Override
    public Integer call() throws Exception {
      WorldSpec world = world().with("retry-part", 0);
      PrintWriter out = spec.commandLine().getOut();
      Figures model = new FleetRun(world, Policies.of(Policies.OWN), seed, null).play(() -> false);
      out.println("virtual time done; rehearsal");
      out.flush();
      new RealRun(world.withSeconds(REHEARSAL_SECONDS), seed + 1).play();
      out.println("real run of " + world.seconds() + " s");
      out.flush();
      RealRun.Figures real = new RealRun(world, seed).play();
      double served = (double) model.served() / model.tries();
      out.printf(
          "%-10s %9s %9s %9s %9s %9s %9s%n",
          "", "asked", "served", "refused", "worth", "p50 ms", "p99 ms");
      out.printf(
          "%-10s %9d %9.4f %9.4f %9.4f %9.1f %9.1f%n",
          "virtual",
          model.asked(),
          served,
          model.get("refused-part"),
          model.worth(),
          model.p50Millis(),
          model.p99Millis());
      out.printf(
          "%-10s %9d %9.4f %9.4f %9.4f %9.1f %9.1f%n",
          "sockets",
          real.asked(),
          real.servedPart(),
          real.refusedPart(),
          real.worth(),
          real.p50Millis(),
          real.p99Millis());
      out.printf(
          "without an answer or failed %d, another's answer %d; the world itself was late by %.1f ms at the worst%n",
          real.otherOrNone(), real.wrong(), real.lateMillis());
      boolean close = Math.abs(real.servedPart() - served) <= SERVED_WITHIN
          && Math.abs(real.p50Millis() / model.p50Millis() - 1) <= MEDIAN_WITHIN
          && real.wrong() == 0;
      out.println(close ? "close" : "not close");
      return close ? 0 : 1;
    }
  }

  /** One request. */
  @Command(
      name = "explain",
      mixinStandardHelpOptions = true,
      description = "Play one run and tell what became of one request.",
      footer = {"Exit status: 0, or 1 where there is no such request."})
  static final class Explain extends OneRun {

    @Option(
        names = "--request",
        paramLabel = "ID",
        required = true,
        description = "Its number, as 17 or q17.")
    private String request;

    @Override
    public Integer call() {
      String digits = request.replaceFirst("^q", "").replaceFirst("r\\d+$", "");
      if (!digits.matches("\\d{1,18}")) {
        throw new ParameterException(
            spec.commandLine(), "--request: expected a number, as 17 or q17, got " + request);
      }
      long number = Long.parseLong(digits);
      List<String> lines = new ArrayList<>();
      new FleetRun(world(), Policies.of(policy), seed, (of, at, what) -> {
            if (of == number) {
              lines.add(String.format("%10.1f ms  %s", at / 1e6, what));
            }
          })
          .play(() -> false);
      lines.forEach(spec.commandLine().getOut()::println);
      return lines.isEmpty() ? 1 : 0;
    }
  }

  /** A smaller world. */
  @Command(
      name = "shrink",
      mixinStandardHelpOptions = true,
      description = "Cut a run in which a rule is broken down to a smaller one.",
      footer = {"Exit status: 0 where one was found, 1 where no rule is broken."})
  static final class Shrink extends OneRun {
    @Override
    public Integer call() {
      PrintWriter out = spec.commandLine().getOut();
      WorldSpec smallest = new Shrinker(policy, seed, out::println).shrink(world());
      out.println(smallest == null ? "no rule is broken" : "smallest: " + smallest);
      return smallest == null ? 1 : 0;
    }
  }

  /** The whole program, by seed. */
  @Command(
      name = "program",
      mixinStandardHelpOptions = true,
      description =
          "Play the whole serving program in virtual time on a simulated network, between clients, upstreams and a discovery"
              + " that break in every way that the seed decides. Held against the four rules and against the bounds on sockets and memory.",
      footer = {
        "Exit status: 0 where all held, 1 where something did not; its line says how to repeat it."
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
        description = "Runs side by side, 1 to 256. Default: the processors.")
    private Integer threads;

    @Option(names = "--trace", description = "Tell every event of the one seed.")
    private boolean trace;

    @Option(
        names = "--shrink",
        description = "Cut the one seed down to the fewest steps that still break the same.")
    private boolean shrink;

    @Option(
        names = "--only",
        paramLabel = "N,N",
        split = ",",
        description = "Play only these steps of the one seed, as --shrink names them.")
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
      return shrink ? shrink() : runs == 1 ? one() : all();
    }

    private int one() {
      PrintWriter out = spec.commandLine().getOut();
      ProgramRun.Report r;
      try {
        r = new ProgramRun(seed, only, trace ? out::println : null).play();
      } catch (IllegalArgumentException e) {
        throw new ParameterException(spec.commandLine(), "--only: " + e.getMessage());
      }
      out.printf(
          "seed %d: %d asked, %d served, %d refused; at most %d sockets, %d bytes of buffers; %s%n",
          seed,
          r.asked(),
          r.served(),
          r.refused(),
          r.mostSockets(),
          r.mostBytes(),
          r.breach() == null ? "all rules held" : "BROKEN: " + r.breach());
      return r.breach() == null ? 0 : 1;
    }

    private int all() throws InterruptedException {
      PrintWriter out = spec.commandLine().getOut();
      ProgramSeeds.Total total = new ProgramSeeds(
              seed,
              runs,
              threads == null ? Runtime.getRuntime().availableProcessors() : threads,
              spec.commandLine().getErr()::println)
          .play();
      out.printf(
          "%d runs from seed %d: %d asked, %.1f %% served, %.1f %% refused; broken: %d%n",
          total.runs(),
          seed,
          total.asked(),
          100.0 * total.served() / total.asked(),
          100.0 * total.refused() / total.asked(),
          total.broken().size());
      total
          .broken()
          .forEach((s, what) -> out.println(
              "seed " + s + ": " + what + "; again by lab program --seed " + s + " --trace"));
      return total.broken().isEmpty() ? 0 : 1;
    }

    private int shrink() {
      PrintWriter out = spec.commandLine().getOut();
      ProgramShrinker.Shrunk left =
          new ProgramShrinker(seed, spec.commandLine().getErr()::println).shrink();
      if (left == null) {
        out.println("seed " + seed + ": all rules held");
        return 0;
      }
      left.told().forEach(out::println);
      out.println(
          "BROKEN: " + left.breach() + "; again by lab program --seed " + seed + " --trace --only "
              + left.steps().stream().map(String::valueOf).collect(Collectors.joining(",")));
      return 1;
    }
  }
}
