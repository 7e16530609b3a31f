package pumicekeel.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pumicekeel.config.Configuration;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.config.OperatorLoader;
import pumicekeel.node.Node;

/** Checks an operator file in the same way as a start or a reload. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description =
        "Check an operator file; each error is printed as one line, FILE:LINE: KEY: what was expected.",
    footer = {"Exit status: 0 for a valid file, 2 for an invalid one."})
final class CheckCommand implements Callable<Integer> {

  @Parameters(index = "0", paramLabel = "FILE", description = "The operator file.")
  private Path file;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description =
          "The platform's configuration. Also checks that the capacity that the file requests fits into it.")
  private Path config;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    var err = spec.commandLine().getErr();
    OperatorConfiguration operator;
    try {
      operator = OperatorLoader.load(file);
    } catch (OperatorLoader.InvalidFileException e) {
      e.lines().forEach(err::println);
      return 2;
    }
    if (config != null) {
      try {
        Node.check(Configuration.read(Map.of("PROXY_CONFIG", config.toString())), operator);
      } catch (java.io.IOException | RuntimeException e) {
        err.println(
            file + ": with " + config + ": " + String.valueOf(e.getMessage()).replace('\n', ' '));
        return 2;
      }
    }
    spec.commandLine()
        .getOut()
        .println(file + ": good: " + operator.pools().size() + " pools, "
            + operator.routes().size() + " routes, " + operator.listeners().size() + " listeners");
    return 0;
  }
}
