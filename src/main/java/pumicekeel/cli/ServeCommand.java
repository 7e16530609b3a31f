package pumicekeel.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import pumicekeel.node.Node;

/** Serves until SIGTERM. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = "Balance on sockets as the PROXY_ variables and their configuration file say.",
    footer = {
      "Exit status: 0 after SIGTERM, 1 after a defect, 2 for a file or an address that is no good."
    })
final class ServeCommand implements Callable<Integer> {

  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description =
          "Routes, pools and listeners (TOML). Default: PROXY_OPERATOR; without either, one pool.")
  private Path operator;

  @Override
  public Integer call() throws InterruptedException {
    String variable = System.getenv("PROXY_OPERATOR");
    Path file =
        operator != null || variable == null || variable.isEmpty() ? operator : Path.of(variable);
    return Node.serve(System.getenv(), file, System.err);
  }
}
