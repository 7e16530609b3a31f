package pumicekeel.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The root command. */
@Command(
    name = "pumicekeel",
    mixinStandardHelpOptions = true,
    version = Commands.VERSION,
    description = "A load balancer for HTTP upstreams.",
    subcommands = {
      ServeCommand.class,
      Commands.Rehearse.class,
      Commands.Adapter.class,
      CheckCommand.class,
      RoutesCommand.class,
      DemoCommand.class,
      JournalCommand.class,
      MeasureCommand.class,
      FuzzCommand.class,
      CallCommand.class,
      SimCommand.class,
      FleetCommand.class,
      ControlCommand.class,
      ConfigCommand.class,
      RigCommand.class,
      LabCommand.class
    })
final class Commands implements Callable<Integer> {

  /** Equals the version in pom.xml; a test compares the two. */
  static final String VERSION = "pumicekeel 0.2.0";

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "expected a command");
  }

  /** Declared for the help text; {@link Main} runs {@code rehearse} itself, without the command-line library. */
  @Command(
      name = "rehearse",
      mixinStandardHelpOptions = true,
      description = "Start like serve and exit once ready; used to create a class-data archive.")
  static final class Rehearse implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
      return pumicekeel.node.Node.rehearse(System.getenv());
    }
  }

  /** Declared for the help text; {@link Main} runs {@code adapter} itself. */
  @Command(
      name = "adapter",
      mixinStandardHelpOptions = true,
      description =
          "Read batches of events from standard input and write actions to standard output.")
  static final class Adapter implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
      return Main.run(new String[] {"adapter"}, System.in, System.out, System.err);
    }
  }
}
