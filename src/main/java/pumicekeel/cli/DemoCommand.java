package pumicekeel.cli;

import java.io.OutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import pumicekeel.demo.Demo;
import pumicekeel.demo.RpcDemo;

/** Shows two pools at work on this machine alone. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description =
        "Start stand-in upstreams, a discovery and a balancer with two pools on loopback, drive load, kill and"
            + " drain an upstream on the way, and hold what the stand-ins saw against the four rules.",
    footer = {"Exit status: 0 where all rules held, 1 where one broke."})
final class DemoCommand implements Callable<Integer> {

  /** Shorter, a drain's two seconds would not be over. */
  private static final int LEAST_SECONDS = 6;

  private static final int MOST_SECONDS = 600;

  @Option(
      names = "--seconds",
      paramLabel = "N",
      defaultValue = "20",
      description = "How long the load lasts, 6 to 600. Default: ${DEFAULT-VALUE}.")
  private int seconds;

  @Option(
      names = "--jsonrpc",
      description = "Show JSON-RPC clients and servers instead, of which some misbehave.")
  private boolean jsonrpc;

  @Option(
      names = "--connections",
      paramLabel = "N",
      defaultValue = "64",
      description = "With --jsonrpc: client connections, 8 to 2000. Default: ${DEFAULT-VALUE}.")
  private int connections;

  @Option(
      names = "--faults",
      paramLabel = "N",
      defaultValue = "20",
      description =
          "With --jsonrpc: of 100,000 calls, how many meet a fault of their server's, 0 to 10000."
              + " Default: ${DEFAULT-VALUE}.")
  private int faults;

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description = "With --jsonrpc: the faults' seed. Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    if (seconds < LEAST_SECONDS || seconds > MOST_SECONDS) {
      throw new ParameterException(
          spec.commandLine(),
          "--seconds: expected " + LEAST_SECONDS + " to " + MOST_SECONDS + ", got " + seconds);
    }
    if (connections < 8 || connections > 2_000 || faults < 0 || faults > 10_000) {
      throw new ParameterException(
          spec.commandLine(), "expected --connections 8 to 2000 and --faults 0 to 10000");
    }
    PrintStream out = lines(spec.commandLine().getOut());
    boolean held = jsonrpc
        ? new RpcDemo(seconds, connections, faults, seed, out).run()
        : new Demo(seconds, out).run();
    return held ? 0 : 1;
  }

  /** A stream that hands whole lines to a command's writer. */
  static PrintStream lines(PrintWriter writer) {
    return new PrintStream(
        new OutputStream() {
          private final java.io.ByteArrayOutputStream line = new java.io.ByteArrayOutputStream();

          @Override
          public void write(int b) {
            line.write(b);
            if (b == '\n') {
              writer.print(line.toString(StandardCharsets.UTF_8));
              writer.flush();
              line.reset();
            }
          }
        },
        true,
        StandardCharsets.UTF_8);
  }
}
