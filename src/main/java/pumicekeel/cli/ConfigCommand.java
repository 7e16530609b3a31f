package pumicekeel.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Commands with which writers and operators call the control machines. */
@Command(
    name = "config",
    mixinStandardHelpOptions = true,
    description =
        "Publish a configuration to the control machines, and show which version is where.",
    subcommands = {ConfigPublish.class, ConfigStatus.class, ConfigDiff.class})
final class ConfigCommand implements Callable<Integer> {

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "expected a command: publish, status or diff");
  }
}
