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

/** Computes what the strategies of subset selection do to a fleet. */
@Command(
    name = "subsets",
    mixinStandardHelpOptions = true,
    description =
        "Compute what the strategies of subset selection do to a fleet in which every balancer sends the same load: the load of the"
            + " most and the least loaded upstream relative to the mean, the maximum number of balancers per upstream, and the share"
            + " of all connections that is new after an upstream was replaced, and after a balancer was added.",
    footer = {"Exit status: 0, or 2 for invalid numbers."})
final class SubsetsCommand implements Callable<Integer> {

  private static final int MAX_BALANCERS = 1_000;
  private static final int MAX_UPSTREAMS = 20_000;

  @Option(
      names = "--balancers",
      paramLabel = "N",
      defaultValue = "20",
      description = "Number of balancers, 1 to 1000. Default: ${DEFAULT-VALUE}.")
  private int balancers;

  @Option(
      names = "--upstreams",
      paramLabel = "N",
      defaultValue = "100",
      description = "Number of upstreams, 2 to 20000. Default: ${DEFAULT-VALUE}.")
  private int upstreams;

  @Option(
      names = "--size",
      paramLabel = "N",
      defaultValue = "25",
      description = "Number of upstreams in one balancer's subset. Default: ${DEFAULT-VALUE}.")
  private int size;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    if (balancers < 1
        || balancers > MAX_BALANCERS
        || upstreams < 2
        || upstreams > MAX_UPSTREAMS
        || size < 1
        || size > upstreams) {
      throw new ParameterException(
          spec.commandLine(),
          "expected --balancers 1 to " + MAX_BALANCERS + ", --upstreams 2 to " + MAX_UPSTREAMS
              + ", --size 1 to the upstreams");
    }
    PrintWriter out = spec.commandLine().getOut();
    out.println(
        "strategy     max    min  deviation  max conn  new by an upstream  new by a balancer");
    for (Subsets strategy : Subsets.values()) {
      SubsetFigures f = SubsetFigures.of(strategy, balancers, upstreams, size);
      out.printf(
          "%-10s  %4.2f  %5.2f  %9.3f  %8d  %18.3f  %17.3f%n",
          strategy.toString().toLowerCase(java.util.Locale.ROOT),
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
