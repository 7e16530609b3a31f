package pumicekeel.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import pumicekeel.sim.FleetSim;
import pumicekeel.sim.ModuleSim;
import pumicekeel.sim.QuotaSim;

/** Runs this project's own simulations in virtual time; the platform's simulator uses {@code adapter}. */
@Command(
    name = "sim",
    mixinStandardHelpOptions = true,
    description = "Simulate in virtual time, by seed.",
    subcommands = {SimCommand.Fleet.class, SimCommand.Modules.class, SimCommand.Quotas.class})
final class SimCommand implements Callable<Integer> {

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "expected a command");
  }

  /** Simulates the membership of a fleet. */
  @Command(
      name = "fleet",
      mixinStandardHelpOptions = true,
      description =
          "Simulate the membership of a whole fleet on a network that loses, duplicates and delays datagrams, cuts links"
              + " and partitions, with members that crash, return, pause and have their clocks set back. Without --detect: faults by the"
              + " seed, then a quiet time, after which every view has to match the true membership. With --detect: measure how long"
              + " the detection of a crash takes, and what membership costs at rest.",
      footer = {
        "Exit status: 0 if all checks passed, 1 at the first seed that failed one; its line says how to repeat it."
      })
  static final class Fleet extends SeededCommand {

    private static final long SECOND = 1_000_000_000L;
    private static final int MIN_SIZE = 3;
    private static final int SMALL_FLEET_RUNS = 10;

    @Option(
        names = "--size",
        paramLabel = "N",
        description =
            "Number of members, 3 to 1000. Default: 3 to 20 by the seed; with --detect 3, 20, 100 and 1000.")
    private Integer size;

    @Option(names = "--detect", description = "Measure the time to detection and the cost instead.")
    private boolean detect;

    @Option(
        names = "--loss",
        paramLabel = "PART",
        defaultValue = "0",
        description =
            "With --detect: the share of datagrams that is lost, 0 to 0.9. Default: ${DEFAULT-VALUE}.")
    private double loss;

    @Override
    public Integer call() {
      if (runs < 1
          || runs > 10_000_000
          || size != null && (size < MIN_SIZE || size > 1_000)
          || loss < 0
          || loss > 0.9) {
        throw new ParameterException(
            spec.commandLine(), "expected --runs 1 to 10000000, --size 3 to 1000, --loss 0 to 0.9");
      }
      PrintWriter out = spec.commandLine().getOut();
      return detect ? measureDetection(out) : runFaults(out);
    }

    private int runFaults(PrintWriter out) {
      for (long i = 0; i < runs; i++) {
        long runSeed = seed + i;
        FleetSim.Report r = new FleetSim(runSeed, sizeOf(size, runSeed)).faults();
        if (r.fault() != null) {
          out.println("seed " + runSeed + ": " + r.fault());
          return 1;
        }
        progress(i + 1);
      }
      out.println(runs + " runs from seed " + seed + ": every view was the truth");
      return 0;
    }

    private int measureDetection(PrintWriter out) {
      out.println(
          "members  first detects s  all detect s  false deaths  bytes/s a member  datagrams/s a member  processor us/s a member");
      for (int n : size == null ? new int[] {3, 20, 100, 1_000} : new int[] {size}) {
        List<Long> first = new ArrayList<>();
        List<Long> all = new ArrayList<>();
        long falseDeaths = 0;
        double bytes = 0;
        double datagrams = 0;
        double workMicros = 0;
        int fleets = n >= 1_000 ? 1 : n >= 100 ? 3 : SMALL_FLEET_RUNS;
        for (int i = 0; i < fleets; i++) {
          FleetSim sim = new FleetSim(seed + i, n);
          FleetSim.Report r = sim.detection(loss, n >= 1_000 ? 2 : 1, 60 * SECOND);
          workMicros += sim.quietWorkNanos() / 1e3 * 1e9 / r.virtualNanos() / n / fleets;
          first.addAll(r.firstDetections());
          all.addAll(r.allDetections());
          falseDeaths += r.falseDeaths();
          bytes += r.bytes() * 1e9 / r.virtualNanos() / n / fleets;
          datagrams += r.datagrams() * 1e9 / r.virtualNanos() / n / fleets;
        }
        out.printf(
            "%7d  %15s  %12s  %12d  %16.0f  %20.1f  %23.1f%n",
            n,
            medianAndRange(first),
            medianAndRange(all),
            falseDeaths,
            bytes,
            datagrams,
            workMicros);
        out.flush();
      }
      return 0;
    }

    private static String medianAndRange(List<Long> nanos) {
      List<Long> sorted = nanos.stream().sorted().toList();
      return String.format(
          "%.1f (%.1f-%.1f)",
          sorted.get(sorted.size() / 2) / 1e9,
          sorted.get(0) / 1e9,
          sorted.get(sorted.size() - 1) / 1e9);
    }
  }

  /** Base of the commands that run seeds one after the other; the seed decides the size if none is given. */
  private abstract static class SeededCommand implements Callable<Integer> {

    private static final int MIN_DEFAULT_SIZE = 3;
    /** Number of different sizes that seeds choose from if none is given. */
    private static final int DEFAULT_SIZES = 18;

    private static final int PROGRESS_LINES = 20;

    @Option(
        names = "--seed",
        paramLabel = "S",
        defaultValue = "1",
        description = "The first seed. Default: ${DEFAULT-VALUE}.")
    protected long seed;

    @Option(
        names = "--runs",
        paramLabel = "N",
        defaultValue = "1",
        description =
            "Number of seeds from the first on, 1 to 10000000. Default: ${DEFAULT-VALUE}.")
    protected long runs;

    @Spec
    protected CommandSpec spec;

    /** Returns the requested size or, if it is null, one of 3 to 20 by the seed. */
    protected static int sizeOf(Integer requested, long seed) {
      return requested == null
          ? MIN_DEFAULT_SIZE + (int) Math.floorMod(seed * 7, (long) DEFAULT_SIZES)
          : requested;
    }

    /** Prints the number of finished runs about 20 times in all. */
    protected void progress(long done) {
      if (runs > 1 && done % Math.max(1, runs / PROGRESS_LINES) == 0) {
        spec.commandLine().getOut().println(done + " of " + runs);
        spec.commandLine().getOut().flush();
      }
    }
  }

  /** Simulates the decision modules of a fleet. */
  @Command(
      name = "modules",
      mixinStandardHelpOptions = true,
      description =
          "Simulate the decision modules of a whole fleet, with upstreams that hang, crash, drain and return cold, a list that"
              + " reaches each instance late, and instances that crash, pause and start from old lists. What reaches the upstreams"
              + " is checked against the four rules.",
      footer = {
        "Exit status: 0 if all checks passed, 1 at the first seed that failed one; its line says how to repeat it."
      })
  static final class Modules extends SeededCommand {

    @Option(
        names = "--size",
        paramLabel = "N",
        description = "Number of instances, 1 to 1000. Default: 3 to 20 by the seed.")
    private Integer size;

    @Override
    public Integer call() {
      if (runs < 1 || runs > 10_000_000 || size != null && (size < 1 || size > 1_000)) {
        throw new ParameterException(
            spec.commandLine(), "expected --runs 1 to 10000000, --size 1 to 1000");
      }
      PrintWriter out = spec.commandLine().getOut();
      long requests = 0;
      long served = 0;
      double cold = 0;
      for (long i = 0; i < runs; i++) {
        long runSeed = seed + i;
        int fleetSize = sizeOf(size, runSeed);
        ModuleSim.Report r = new ModuleSim(runSeed, fleetSize).run();
        if (r.fault() != null) {
          out.println("seed " + runSeed + ": " + r.fault() + "; repeat with sim modules --seed "
              + runSeed + " --size " + fleetSize);
          return 1;
        }
        requests += r.requests();
        served += r.served();
        cold = Math.max(cold, r.coldShare());
        progress(i + 1);
      }
      out.printf(
          "%d runs from seed %d: all rules held; %d requests, %.1f %% served; a cold upstream got at most %.0f %% of its"
              + " budget%n",
          runs, seed, requests, 100.0 * served / requests, 100 * cold);
      return 0;
    }
  }

  /** Simulates how a fleet shares quotas. */
  @Command(
      name = "quotas",
      mixinStandardHelpOptions = true,
      description =
          "Simulate how the members of a fleet lend each other parts of tenants' quotas, on a network that loses, duplicates,"
              + " delays and partitions, with members that crash, pause and return. At every step all members together may admit no"
              + " more than the quota. Then print which share of the admissible requests is admitted, with lending and with fixed even"
              + " parts.",
      footer = {
        "Exit status: 0 if all checks passed, 1 at the first seed that failed one; its line says how to repeat it."
      })
  static final class Quotas extends SeededCommand {

    @Option(
        names = "--size",
        paramLabel = "N",
        description = "Number of members, 2 to 1000. Default: 3 to 20 by the seed.")
    private Integer size;

    @Option(names = "--calm", description = "No faults: only the demand changes.")
    private boolean calm;

    @Option(
        names = "--rising",
        description =
            "No faults: one member's demand rises from nothing to the quota in small steps.")
    private boolean rising;

    @Override
    public Integer call() {
      if (runs < 1 || runs > 10_000_000 || size != null && (size < 2 || size > 1_000)) {
        throw new ParameterException(
            spec.commandLine(), "expected --runs 1 to 10000000, --size 2 to 1000");
      }
      if (calm && rising) {
        throw new ParameterException(spec.commandLine(), "expected --calm or --rising, got both");
      }
      QuotaSim.Course course =
          calm ? QuotaSim.Course.CALM : rising ? QuotaSim.Course.RISING : QuotaSim.Course.FAULTS;
      PrintWriter out = spec.commandLine().getOut();
      double shared = 0;
      double fixed = 0;
      double bytes = 0;
      for (long i = 0; i < runs; i++) {
        long runSeed = seed + i;
        int fleetSize = sizeOf(size, runSeed);
        QuotaSim.Report r = new QuotaSim(runSeed, fleetSize).run(course);
        if (r.fault() != null) {
          out.println("seed " + runSeed + ": " + r.fault() + "; repeat with sim quotas --seed "
              + runSeed + " --size " + fleetSize);
          return 1;
        }
        shared += r.shared() / runs;
        fixed += r.fixed() / runs;
        bytes += r.bytes() * 1e9 / r.virtualNanos() / fleetSize / runs;
        progress(i + 1);
      }
      out.printf(
          "%d runs from seed %d: never more than the quota; of the admissible requests %.1f %% were admitted, with fixed even parts"
              + " %.1f %%; %.0f bytes a second a member%n",
          runs, seed, 100 * shared, 100 * fixed, bytes);
      return 0;
    }
  }
}
