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

/** Control machines, which hand configurations to balancers. */
@Command(
    name = "control",
    mixinStandardHelpOptions = true,
    description = "Run a control machine, which keeps configurations and hands them to balancers.",
    subcommands = {ControlCommand.Serve.class})
final class ControlCommand implements Callable<Integer> {

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "expected a command: serve");
  }

  /** Runs one until SIGTERM. */
  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      description =
          "Keep what is published, hand it on and catch up with the peers; until SIGTERM.",
      footer = {"Exit status: 0 after SIGTERM, 2 for an address or a directory that is no good."})
  static final class Serve implements Callable<Integer> {

    @Option(
        names = "--listen",
        paramLabel = "HOST:PORT",
        required = true,
        description = "Where balancers and writers call. Nothing is authenticated: keep it inside.")
    private String listen;

    @Option(
        names = "--directory",
        paramLabel = "DIR",
        required = true,
        description = "Where versions are kept; of this process alone, made if absent.")
    private Path directory;

    @Option(
        names = "--peers",
        paramLabel = "HOST:PORT",
        split = ",",
        description = "The control machines; its own address among them is passed over.")
    private List<String> peers = List.of();

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
      ControlServer.Settings settings = new ControlServer.Settings(
          ControlAddresses.one(spec, "--listen", listen),
          directory,
          ControlAddresses.all(spec, "--peers", peers));
      ControlServer server;
      try {
        server = ControlServer.start(
            settings, text -> DeliveredOperator.faults(DeliveredOperator.DELIVERED, text));
      } catch (IOException e) {
        spec.commandLine().getErr().println("control: " + e.getMessage());
        return 2;
      }
      CountDownLatch ended = new CountDownLatch(1);
      Runtime.getRuntime().addShutdownHook(new Thread(() -> close(server, ended), "stop"));
      ended.await();
      return 0;
    }

    /** Java's own status after SIGTERM would be 143. */
    private static void close(ControlServer server, CountDownLatch ended) {
      try {
        server.close();
        Log.line("control machine ends");
      } catch (IOException e) {
        Log.line("control machine: " + e.getMessage());
      }
      ended.countDown();
      Runtime.getRuntime().halt(0);
    }
  }
}
