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

/** Real processes, judged by stand-ins. */
@Command(
    name = "rig",
    mixinStandardHelpOptions = true,
    description = "Real processes on this machine, judged by stand-ins.",
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

  /** A fleet of them. */
  @Command(
      name = "fleet",
      mixinStandardHelpOptions = true,
      description =
          "Start a fleet under its daemon, drive load at every instance, drain an upstream, let a cold one join,"
              + " restart all instances one after the other, and hold what the stand-ins saw against the four rules.",
      footer = {"Exit status: 0 where all rules held and the restart went through, else 1."})
  static final class Fleet implements Callable<Integer> {

    @Option(
        names = "--instances",
        paramLabel = "N",
        defaultValue = "20",
        description = "2 to 64. Default: ${DEFAULT-VALUE}.")
    private int instances;

    @Option(
        names = "--seconds",
        paramLabel = "N",
        defaultValue = "20",
        description = "Load before the restart, 10 to 600. Default: ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
        names = "--per-second",
        paramLabel = "N",
        defaultValue = "400",
        description =
            "Requests a second of each of two classes in all, 10 to 20000. Default: ${DEFAULT-VALUE}.")
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
      PrintStream out = DemoCommand.lines(spec.commandLine().getOut());
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

  /** How much more many of them serve than one. */
  @Command(
      name = "throughput",
      mixinStandardHelpOptions = true,
      description =
          "Requests a second of 1, 2, 4 and 8 instances, each asked as fast as it answers; ratios within a round.")
  static final class Throughput implements Callable<Integer> {

    @Option(
        names = "--seconds",
        paramLabel = "N",
        defaultValue = "5",
        description =
            "Each run's length, behind 3 s of warming up, 1 to 600. Default: ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
        names = "--rounds",
        paramLabel = "N",
        defaultValue = "3",
        description = "1 to 100. Default: ${DEFAULT-VALUE}.")
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
              DemoCommand.lines(spec.commandLine().getOut()))
          .run();
      return 0;
    }
  }
}
