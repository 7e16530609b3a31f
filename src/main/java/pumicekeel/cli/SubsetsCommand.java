package pumicekeel.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import pumicekeel.subset.SubsetFigures;
import pumicekeel.subset.Subsets;

/** Ways of choosing subsets, computed. */
@Command(
    name = "subsets",
    mixinStandardHelpOptions = true,
    description =
        "What ways of choosing a subset of the upstreams do to a fleet in which every balancer sends the same: load of the busiest and"
            + " the idlest upstream against the mean, balancers that one upstream hears at most, and what part of all connections is new once an"
            + " upstream was replaced, and once there is a balancer more.",
    footer = {"Exit status: 0, or 2 for numbers that can't be right."})
final class SubsetsCommand implements Callable<Integer> {

  private static final int MOST_BALANCERS = 1_000;
  private static final int MOST_UPSTREAMS = 20_000;

  @Option(
      names = "--balancers",
      paramLabel = "N",
      defaultValue = "20",
      description = "1 to 1000. Default: ${DEFAULT-VALUE}.")
  private int balancers;

  @Option(
      names = "--upstreams",
      paramLabel = "N",
      defaultValue = "100",
      description = "2 to 20000. Default: ${DEFAULT-VALUE}.")
  private int upstreams;

  @Option(
      names = "--size",
      paramLabel = "N",
      defaultValue = "25",
      description = "Upstreams that one balancer works with. Default: ${DEFAULT-VALUE}.")
  private int size;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    if (balancers < 1
        || balancers > MOST_BALANCERS
        || upstreams < 2
        || upstreams > MOST_UPSTREAMS
        || size < 1
        || size > upstreams) {
      throw new ParameterException(
          spec.commandLine(),
          "expected --balancers 1 to " + MOST_BALANCERS + ", --upstreams 2 to " + MOST_UPSTREAMS
              + ", --size 1 to the upstreams");
    }
    PrintWriter out = spec.commandLine().getOut();
    out.println(
        "way         most  least  deviation  heard by  new by an upstream  new by a balancer");
    for (Subsets way : Subsets.values()) {
      SubsetFigures f = SubsetFigures.of(way, balancers, upstreams, size);
      out.printf(
          "%-10s  %4.2f  %5.2f  %9.3f  %8d  %18.3f  %17.3f%n",
          way.toString().toLowerCase(java.util.Locale.ROOT),
          f.maxLoad(),
          f.minLoad(),
          f.loadDeviation(),
          f.maxConnections(),
          f.movedByUpstream(),
          f.movedByBalancer());
    }
    return 0;
  }
}
