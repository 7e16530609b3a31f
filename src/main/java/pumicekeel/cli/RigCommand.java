package pumicekeel.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import pumicekeel.rig.FleetRig;
import pumicekeel.rig.FleetThroughput;

/** Tests real processes against stand-in clients and upstreams. */
@Command(
    name = "rig",
    mixinStandardHelpOptions = true,
    description = "Test real processes on this machine against stand-in clients and upstreams.",
    subcommands = {
      RigCommand.Fleet.class,
      RigCommand.Throughput.class,
      RigScaleCommand.class,
      RigSoakCommand.class
    })
final class RigCommand implements Callable<Integer> {

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "expected a command");
  }

  /** Tests a fleet under its daemon. */
  @Command(
      name = "fleet",
      mixinStandardHelpOptions = true,
      description =
          "Start a fleet under its daemon, send load to every instance, drain an upstream, let a cold one join,"
              + " restart all instances one after the other, and check what the stand-ins recorded against the four rules.",
      footer = {"Exit status: 0 if all rules held and the restart completed, else 1."})
  static final class Fleet implements Callable<Integer> {

    @Option(
        names = "--instances",
        paramLabel = "N",
        defaultValue = "20",
        description = "Number of instances, 2 to 64. Default: ${DEFAULT-VALUE}.")
    private int instances;

    @Option(
        names = "--seconds",
        paramLabel = "N",
        defaultValue = "20",
        description =
            "Duration of the load before the restart, 10 to 600. Default: ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
        names = "--per-second",
        paramLabel = "N",
        defaultValue = "400",
        description =
            "Requests per second of each of two classes, for the whole fleet, 10 to 20000. Default: ${DEFAULT-VALUE}.")
    private int perSecond;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      if (instances < 2
          || instances > 64
          || seconds < 10
          || seconds > 600
          || perSecond < 10
          || perSecond > 20_000) {
        throw new ParameterException(
            spec.commandLine(),
            "expected --instances 2 to 64, --seconds 10 to 600, --per-second 10 to 20000");
      }
      PrintStream out = DemoCommand.lineStream(spec.commandLine().getOut());
      return new FleetRig(
                  instances,
                  seconds,
                  perSecond,
                  List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m"),
                  out)
              .run()
          ? 0
          : 1;
    }
  }

  /** Measures how the throughput grows with the number of instances. */
  @Command(
      name = "throughput",
      mixinStandardHelpOptions = true,
      description =
          "Measure the requests per second of 1, 2, 4 and 8 instances at full load; ratios within a round.")
  static final class Throughput implements Callable<Integer> {

    @Option(
        names = "--seconds",
        paramLabel = "N",
        defaultValue = "5",
        description =
            "Duration of each run after 3 s of warm-up, 1 to 600. Default: ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
        names = "--rounds",
        paramLabel = "N",
        defaultValue = "3",
        description = "Number of rounds, 1 to 100. Default: ${DEFAULT-VALUE}.")
    private int rounds;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      if (seconds < 1 || seconds > 600 || rounds < 1 || rounds > 100) {
        throw new ParameterException(
            spec.commandLine(), "expected --seconds 1 to 600, --rounds 1 to 100");
      }
      new FleetThroughput(
              seconds,
              rounds,
              List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m"),
              DemoCommand.lineStream(spec.commandLine().getOut()))
          .run();
      return 0;
    }
  }
}
