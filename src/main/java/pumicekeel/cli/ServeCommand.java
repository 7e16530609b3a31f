package pumicekeel.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import pumicekeel.node.Node;

/** Runs the balancer until SIGTERM. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description =
        "Run the balancer as configured by the PROXY_ variables and their configuration file.",
    footer = {
      "Exit status: 0 after SIGTERM, 1 after an internal error, 2 for an invalid file or address."
    })
final class ServeCommand implements Callable<Integer> {

  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description =
          "Routes, pools and listeners (TOML). Default: PROXY_OPERATOR; without either, a single pool.")
  private Path operator;

  @Override
  public Integer call() throws InterruptedException {
    String variable = System.getenv("PROXY_OPERATOR");
    Path file =
        operator != null || variable == null || variable.isEmpty() ? operator : Path.of(variable);
    return Node.serve(System.getenv(), file, System.err);
  }
}
