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

/** Demonstrates two pools, with all processes on this machine. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description =
        "Start stand-in upstreams, a discovery service and a balancer with two pools on loopback, generate load, kill and"
            + " drain an upstream meanwhile, and check what the stand-ins recorded against the four rules.",
    footer = {"Exit status: 0 if all rules held, 1 if one was broken."})
final class DemoCommand implements Callable<Integer> {

  /** A shorter load would end before the two seconds of a drain are over. */
  private static final int MIN_SECONDS = 6;

  private static final int MAX_SECONDS = 600;

  @Option(
      names = "--seconds",
      paramLabel = "N",
      defaultValue = "20",
      description = "Duration of the load, 6 to 600. Default: ${DEFAULT-VALUE}.")
  private int seconds;

  @Option(
      names = "--jsonrpc",
      description = "Use JSON-RPC clients and servers instead, some of which misbehave.")
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
      description = "With --jsonrpc: how many of 100,000 calls meet a server fault, 0 to 10000."
          + " Default: ${DEFAULT-VALUE}.")
  private int faults;

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description = "With --jsonrpc: the seed of the faults. Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    if (seconds < MIN_SECONDS || seconds > MAX_SECONDS) {
      throw new ParameterException(
          spec.commandLine(),
          "--seconds: expected " + MIN_SECONDS + " to " + MAX_SECONDS + ", got " + seconds);
    }
    if (connections < 8 || connections > 2_000 || faults < 0 || faults > 10_000) {
      throw new ParameterException(
          spec.commandLine(), "expected --connections 8 to 2000 and --faults 0 to 10000");
    }
    PrintStream out = lineStream(spec.commandLine().getOut());
    boolean held = jsonrpc
        ? new RpcDemo(seconds, connections, faults, seed, out).run()
        : new Demo(seconds, out).run();
    return held ? 0 : 1;
  }

  /** Returns a stream that forwards whole lines to a command's writer. */
  static PrintStream lineStream(PrintWriter writer) {
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
