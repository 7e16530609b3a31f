package pumicekeel.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import pumicekeel.delivery.control.ControlServer;
import pumicekeel.node.DeliveredOperator;
import pumicekeel.runtime.Log;

/** Runs control machines, which deliver configurations to balancers. */
@Command(
    name = "control",
    mixinStandardHelpOptions = true,
    description =
        "Run a control machine, which stores configurations and delivers them to balancers.",
    subcommands = {ControlCommand.Serve.class})
final class ControlCommand implements Callable<Integer> {

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "expected a command: serve");
  }

  /** Runs a control machine until SIGTERM. */
  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      description =
          "Store published configurations, deliver them and synchronize with the peers, until SIGTERM.",
      footer = {"Exit status: 0 after SIGTERM, 2 for an invalid address or directory."})
  static final class Serve implements Callable<Integer> {

    @Option(
        names = "--listen",
        paramLabel = "HOST:PORT",
        required = true,
        description =
            "Address for balancers and writers. Calls are not authenticated: use an internal network.")
    private String listen;

    @Option(
        names = "--directory",
        paramLabel = "DIR",
        required = true,
        description = "Where versions are stored; for this process alone, created if absent.")
    private Path directory;

    @Option(
        names = "--peers",
        paramLabel = "HOST:PORT",
        split = ",",
        description = "All control machines; its own address in the list is ignored.")
    private List<String> peers = List.of();

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
      ControlServer.Settings settings = new ControlServer.Settings(
          ControlAddresses.parse(spec, "--listen", listen),
          directory,
          ControlAddresses.parseAll(spec, "--peers", peers));
      ControlServer server;
      try {
        server = ControlServer.start(
            settings, text -> DeliveredOperator.faults(DeliveredOperator.DELIVERED, text));
      } catch (IOException e) {
        spec.commandLine().getErr().println("control: " + e.getMessage());
        return 2;
      }
      CountDownLatch closed = new CountDownLatch(1);
      Runtime.getRuntime().addShutdownHook(new Thread(() -> close(server, closed), "stop"));
      closed.await();
      return 0;
    }

    /** Closes the server and halts with status 0; Java's own exit status after SIGTERM would be 143. */
    private static void close(ControlServer server, CountDownLatch closed) {
      try {
        server.close();
        Log.line("control machine stopped");
      } catch (IOException e) {
        Log.line("control machine did not close cleanly: " + e.getMessage());
      }
      closed.countDown();
      Runtime.getRuntime().halt(0);
    }
  }
}
