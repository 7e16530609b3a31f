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

/** Simulations of the project's own, in virtual time; the platform's simulator speaks to {@code adapter}. */
@Command(
    name = "sim",
    mixinStandardHelpOptions = true,
    description = "Simulate in virtual time, by a seed.",
    subcommands = {SimCommand.Fleet.class, SimCommand.Modules.class, SimCommand.Quotas.class})
final class SimCommand implements Callable<Integer> {

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "expected a command");
  }

  /** The membership of a fleet. */
  @Command(
      name = "fleet",
      mixinStandardHelpOptions = true,
      description =
          "The membership of a whole fleet on a network that loses, repeats, delays, cuts and splits, with members"
              + " that die, return, sleep and have their clocks set back. Without --detect: faults by the seed, then quiet, then"
              + " every view has to be the truth. With it: how long a death takes to be seen, and what membership costs at rest.",
      footer = {
        "Exit status: 0 where all held, 1 at the first seed that did not; its line says how to repeat it."
      })
  static final class Fleet extends BySeed {

    private static final long SECOND = 1_000_000_000L;
    private static final int LEAST = 3;
    private static final int KILLS = 10;

    @Option(
        names = "--size",
        paramLabel = "N",
        description =
            "Members, 3 to 1000. Default: 3 to 20 by the seed; with --detect 3, 20, 100 and 1000.")
    private Integer size;

    @Option(names = "--detect", description = "Measure detection and cost instead.")
    private boolean detect;

    @Option(
        names = "--loss",
        paramLabel = "PART",
        defaultValue = "0",
        description =
            "With --detect: the part of datagrams that is lost, 0 to 0.9. Default: ${DEFAULT-VALUE}.")
    private double loss;

    @Override
    public Integer call() {
      if (runs < 1
          || runs > 10_000_000
          || size != null && (size < LEAST || size > 1_000)
          || loss < 0
          || loss > 0.9) {
        throw new ParameterException(
            spec.commandLine(), "expected --runs 1 to 10000000, --size 3 to 1000, --loss 0 to 0.9");
      }
      PrintWriter out = spec.commandLine().getOut();
      return detect ? measure(out) : play(out);
    }

    private int play(PrintWriter out) {
      for (long i = 0; i < runs; i++) {
        long s = seed + i;
        FleetSim.Report r = new FleetSim(s, sizeOf(size, s)).faults();
        if (r.fault() != null) {
          out.println("seed " + s + ": " + r.fault());
          return 1;
        }
        progress(i + 1);
      }
      out.println(runs + " runs from seed " + seed + ": every view was the truth");
      return 0;
    }

    private int measure(PrintWriter out) {
      out.println(
          "members  first sees it s  all see it s  false deaths  bytes/s a member  datagrams/s a member  processor us/s a member");
      for (int n : size == null ? new int[] {3, 20, 100, 1_000} : new int[] {size}) {
        List<Long> first = new ArrayList<>();
        List<Long> all = new ArrayList<>();
        long falseDeaths = 0;
        double bytes = 0;
        double datagrams = 0;
        double work = 0;
        int fleets = n >= 1_000 ? 1 : n >= 100 ? 3 : KILLS;
        for (int i = 0; i < fleets; i++) {
          FleetSim sim = new FleetSim(seed + i, n);
          FleetSim.Report r = sim.detection(loss, n >= 1_000 ? 2 : 1, 60 * SECOND);
          work += sim.quietWorkNanos() / 1e3 * 1e9 / r.virtualNanos() / n / fleets;
          first.addAll(r.firstDetections());
          all.addAll(r.allDetections());
          falseDeaths += r.falseDeaths();
          bytes += r.bytes() * 1e9 / r.virtualNanos() / n / fleets;
          datagrams += r.datagrams() * 1e9 / r.virtualNanos() / n / fleets;
        }
        out.printf(
            "%7d  %15s  %12s  %12d  %16.0f  %20.1f  %23.1f%n",
            n, spread(first), spread(all), falseDeaths, bytes, datagrams, work);
        out.flush();
      }
      return 0;
    }

    private static String spread(List<Long> nanos) {
      List<Long> sorted = nanos.stream().sorted().toList();
      return String.format(
          "%.1f (%.1f-%.1f)",
          sorted.get(sorted.size() / 2) / 1e9,
          sorted.get(0) / 1e9,
          sorted.get(sorted.size() - 1) / 1e9);
    }
  }

  /** Seeds one after the other; the seed decides the size where none is given. */
  private abstract static class BySeed implements Callable<Integer> {

    private static final int LEAST = 3;
    private static final int SPREAD = 18;
    private static final int LINES = 20;

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
        description = "Seeds from the first on, 1 to 10000000. Default: ${DEFAULT-VALUE}.")
    protected long runs;

    @Spec
    protected CommandSpec spec;

    protected static int sizeOf(Integer given, long seed) {
      return given == null ? LEAST + (int) Math.floorMod(seed * 7, (long) SPREAD) : given;
    }

    protected void progress(long done) {
      if (runs > 1 && done % Math.max(1, runs / LINES) == 0) {
        spec.commandLine().getOut().println(done + " of " + runs);
        spec.commandLine().getOut().flush();
      }
    }
  }

  /** The decisions of a fleet. */
  @Command(
      name = "modules",
      mixinStandardHelpOptions = true,
      description =
          "The decision modules of a whole fleet, with upstreams that hang, die, drain and return cold, a list that"
              + " reaches each instance late, and instances that die, sleep and start from old lists. What reaches the upstreams is"
              + " held against the four rules.",
      footer = {
        "Exit status: 0 where all held, 1 at the first seed that did not; its line says how to repeat it."
      })
  static final class Modules extends BySeed {

    @Option(
        names = "--size",
        paramLabel = "N",
        description = "Instances, 1 to 1000. Default: 3 to 20 by the seed.")
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
        long s = seed + i;
        int of = sizeOf(size, s);
        ModuleSim.Report r = new ModuleSim(s, of).run();
        if (r.fault() != null) {
          out.println("seed " + s + ": " + r.fault() + "; again by sim modules --seed " + s
              + " --size " + of);
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

  /** How a fleet shares quotas. */
  @Command(
      name = "quotas",
      mixinStandardHelpOptions = true,
      description =
          "How the members of a fleet lend each other parts of tenants' quotas, on a network that loses, repeats, delays"
              + " and splits, with members that die, sleep and return. At every step all together may admit no more than the quota."
              + " Then how much of what could be admitted is, with lending and with fixed even parts.",
      footer = {
        "Exit status: 0 where all held, 1 at the first seed that did not; its line says how to repeat it."
      })
  static final class Quotas extends BySeed {

    @Option(
        names = "--size",
        paramLabel = "N",
        description = "Members, 2 to 1000. Default: 3 to 20 by the seed.")
    private Integer size;

    @Option(names = "--calm", description = "No faults: only demand moves.")
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
        long s = seed + i;
        int of = sizeOf(size, s);
        QuotaSim.Report r = new QuotaSim(s, of).run(course);
        if (r.fault() != null) {
          out.println("seed " + s + ": " + r.fault() + "; again by sim quotas --seed " + s
              + " --size " + of);
          return 1;
        }
        shared += r.shared() / runs;
        fixed += r.fixed() / runs;
        bytes += r.bytes() * 1e9 / r.virtualNanos() / of / runs;
        progress(i + 1);
      }
      out.printf(
          "%d runs from seed %d: never more than the quota; of what it allowed %.1f %% was admitted, by fixed even parts"
              + " %.1f %%; %.0f bytes a second a member%n",
          runs, seed, 100 * shared, 100 * fixed, bytes);
      return 0;
    }
  }
}
