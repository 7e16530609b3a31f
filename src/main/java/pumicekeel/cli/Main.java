package pumicekeel.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import picocli.CommandLine;
import pumicekeel.adapter.SimulatorSession;
import pumicekeel.adapter.WireException;
import pumicekeel.node.Node;

/** Entry point of the program. */
public final class Main {

  private Main() {}

  /**
   * Runs the command line. The platform's own commands, {@code serve}, {@code rehearse} and {@code adapter} without
   * further arguments, bypass the command-line library: it would take a tenth of the time to readiness of a balancer that
   * is restarted on half a core.
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    if (args.length == 1 && args[0].equals("serve") && System.getenv("PROXY_OPERATOR") == null) {
      System.exit(Node.serve(System.getenv(), null, System.err));
    }
    if (args.length == 1 && args[0].equals("rehearse")) {
      System.exit(Node.rehearse(System.getenv()));
    }
    System.exit(run(args, System.in, System.out, System.err));
  }

  /** Returns the exit status: 0 for success, 1 if the operation failed, 2 for a wrong command line or an invalid file. */
  static int run(String[] args, InputStream in, PrintStream out, PrintStream err)
      throws IOException {
    if (args.length == 1 && args[0].equals("adapter")) {
      return adapter(in, out, err);
    }
    CommandLine line = new CommandLine(new Commands());
    line.setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
    line.setExecutionExceptionHandler((e, command, parsed) -> {
      err.println(String.valueOf(e.getMessage()).replace('\n', ' '));
      return 1;
    });
    return line.execute(args);
  }

  private static int adapter(InputStream in, PrintStream out, PrintStream err) throws IOException {
    try {
      new SimulatorSession(in, out).run();
      return 0;
    } catch (WireException e) {
      err.println(e.getMessage());
      return 1;
    }
  }
}
