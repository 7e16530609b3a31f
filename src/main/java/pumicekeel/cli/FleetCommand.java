package pumicekeel.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;
import pumicekeel.adapter.Fields;
import pumicekeel.config.OperatorLoader;
import pumicekeel.fleet.Control;
import pumicekeel.fleet.Daemon;
import pumicekeel.fleet.Limits;
import pumicekeel.fleet.Settings;
import pumicekeel.runtime.Addresses;
import pumicekeel.runtime.Log;

/** A daemon that runs many instances, and commands to it. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description =
        "Start, monitor and stop many instances. Runs until SIGTERM or fleet stop; instances keep running when the daemon"
            + " is killed, and the next daemon takes them over.",
    subcommands = {
      FleetCommand.Status.class,
      FleetCommand.Restart.class,
      FleetCommand.Reload.class,
      FleetCommand.Stop.class
    },
    footer = {"Exit status: 0 after a stop, 2 for an invalid setting, file or run directory."})
final class FleetCommand implements Callable<Integer> {

  /** The JVM flags of the service's run line, which gives each instance half a core. */
  private static final List<String> DEFAULT_JVM_FLAGS = List.of(
      "-XX:+UseSerialGC",
      "-XX:TieredStopAtLevel=1",
      "-Xms48m",
      "-Xmx64m",
      "-XX:MaxMetaspaceSize=40m",
      "-XX:ReservedCodeCacheSize=24m",
      "-XX:MaxDirectMemorySize=16m",
      "-Xss512k");

  private static final long NANOS_PER_MILLI = 1_000_000L;

  @Option(names = "--instances", paramLabel = "N", description = "Number of instances, 1 to 256.")
  private int instances;

  @Option(
      names = "--run-dir",
      paramLabel = "DIR",
      description = "The daemon's own directory, of mode 0700; created if absent.")
  private Path directory;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "The platform's configuration for all instances.")
  private Path config;

  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description = "The operator file for all instances. Default: none.")
  private Path operator;

  @Option(
      names = "--listen",
      paramLabel = "HOST:PORT",
      defaultValue = "127.0.0.1:7000",
      description =
          "Address of instance 0; each further instance uses the next port. Default: ${DEFAULT-VALUE}.")
  private String listen;

  @Option(
      names = "--one-address",
      description = "All instances accept clients from the listening socket that is this process's"
          + " descriptor 0; --listen then gives the addresses of their admin endpoints.")
  private boolean oneAddress;

  @Option(
      names = "--name",
      paramLabel = "NAME",
      defaultValue = "fleet",
      description = "Name of the fleet. Default: ${DEFAULT-VALUE}.")
  private String name;

  @Option(
      names = "--away",
      paramLabel = "K",
      defaultValue = "1",
      description =
          "How many instances may be intentionally unavailable at once, 1 to N. Default: ${DEFAULT-VALUE}.")
  private int away;

  @Option(
      names = "--watch-ms",
      paramLabel = "N",
      defaultValue = "5000",
      description =
          "How long a restarted instance has to stay ready before the next is restarted, 0 to 600000. Default: ${DEFAULT-VALUE}.")
  private long watchMillis;

  @Option(
      names = "--hang-ms",
      paramLabel = "N",
      defaultValue = "15000",
      description =
          "A ready instance that has not answered"
              + " for this long is killed and started again; 0 disables this, else 1000 to 600000. Default: ${DEFAULT-VALUE}.")
  private long hangMillis;

  @Option(
      names = "--flag",
      paramLabel = "FLAG",
      description = "A JVM flag that replaces the service's own flags; may be repeated.")
  private List<String> flags;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Settings settings = settings();
    Daemon daemon;
    try {
      if (operator != null) {
        OperatorLoader.load(operator);
      }
      daemon = new Daemon(settings, Log::line);
      daemon.start();
    } catch (OperatorLoader.InvalidFileException e) {
      e.lines().forEach(l -> spec.commandLine().getErr().println(l));
      return 2;
    } catch (IOException e) {
      spec.commandLine().getErr().println(e.getMessage());
      return 2;
    }
    Thread hook = new Thread(
        () -> {
          try {
            daemon.stop();
            daemon.close();
          } catch (IOException | InterruptedException e) {
            // The process halts in either case.
          }
          Runtime.getRuntime().halt(0);
        },
        "stop");
    Runtime.getRuntime().addShutdownHook(hook);
    spec.commandLine().getOut().println("fleet of " + instances + " in " + directory);
    daemon.awaitStopped();
    daemon.close();
    return 0;
  }

  private Settings settings() {
    InetSocketAddress first;
    try {
      first = Addresses.parse("--listen", listen);
    } catch (IllegalArgumentException e) {
      throw usageError(e.getMessage());
    }
    if (instances < 1
        || instances > Settings.MAX_INSTANCES
        || directory == null
        || config == null
        || away < 1
        || away > instances
        || watchMillis < 0
        || watchMillis > 600_000
        || hangMillis != 0 && (hangMillis < 1_000 || hangMillis > 600_000)) {
      throw usageError("expected --instances 1 to " + Settings.MAX_INSTANCES
          + ", --run-dir, --config, --away 1 to N,"
          + " --watch-ms 0 to 600000, --hang-ms 0 or 1000 to 600000");
    }
    if (first.getPort() < 1 || first.getPort() + instances > 65_536) {
      throw usageError("--listen: expected the first of " + instances + " consecutive ports, got "
          + first.getPort());
    }
    if (!Files.isReadable(config)) {
      throw usageError("--config: expected a file that can be read, got " + config);
    }
    return new Settings(
        instances,
        directory,
        first,
        operator == null ? null : operator.toAbsolutePath(),
        config.toAbsolutePath(),
        name,
        command(flags == null ? DEFAULT_JVM_FLAGS : flags),
        Limits.of(away, watchMillis * NANOS_PER_MILLI, hangMillis * NANOS_PER_MILLI),
        oneAddress);
  }

  /** Returns the command that starts an instance with this process's own JVM and class path. */
  private static List<String> command(List<String> flags) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "pumicekeel.cli.Main"));
    return command;
  }

  private ParameterException usageError(String message) {
    return new ParameterException(spec.commandLine(), message);
  }

  /** Base of the commands that call a running daemon. */
  private abstract static class DaemonCommand implements Callable<Integer> {
    @ParentCommand
    private FleetCommand fleet;

    @Option(
        names = "--run-dir",
        paramLabel = "DIR",
        description = "The daemon's directory; may also be given before the command.")
    private Path directory;

    @Spec
    protected CommandSpec spec;

    /** Calls the daemon of the run directory and returns its answer. */
    protected String callDaemon(String call) throws IOException {
      Path runDirectory = directory == null ? fleet.directory : directory;
      if (runDirectory == null) {
        throw new ParameterException(spec.commandLine(), "expected --run-dir");
      }
      return Control.call(runDirectory, call);
    }

    /** Prints whether the daemon accepted a call; returns the exit status. */
    protected int printOutcome(String answer) {
      boolean accepted = answer.equals("{\"ok\":true}");
      (accepted ? spec.commandLine().getOut() : spec.commandLine().getErr())
          .println(accepted ? "started" : answer);
      return accepted ? 0 : 1;
    }
  }

  /** Prints the state of each instance and the daemon's work in progress. */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Show the state of each instance, and the work in progress.",
      footer = {"Exit status: 0 if all are ready, 1 if one is not or no daemon answers."})
  static final class Status extends DaemonCommand {

    @Option(names = "--json", description = "Print the daemon's answer unchanged.")
    private boolean json;

    @Override
    public Integer call() throws Exception {
      String answer = callDaemon("status");
      PrintWriter out = spec.commandLine().getOut();
      if (json) {
        out.println(answer);
      } else {
        print(answer, out);
      }
      return answer.contains("\"state\":\"")
              && !answer.replace("\"state\":\"ready\"", "").contains("\"state\":\"")
          ? 0
          : 1;
    }

    private static void print(String answer, PrintWriter out) throws IOException {
      Map<?, ?> status = Fields.parse("status", answer).values();
      out.println(
          "instance state      for s   pid      address (or door)      crashes  silent s  peers");
      for (Object entry : (List<?>) status.get("instances")) {
        Map<?, ?> i = (Map<?, ?>) entry;
        out.printf(
            "%8s %-10s %6.1f  %-8s %-22s %7s  %8.1f  %s%n",
            i.get("instance"),
            i.get("state"),
            seconds(i.get("for-ms")),
            i.get("pid"),
            i.get(i.containsKey("door") ? "door" : "listen"),
            i.get("crashes"),
            seconds(i.get("silent-ms")),
            i.get("peers") instanceof Map<?, ?> view ? peerSummary(view) : "-");
      }
      out.println("work " + status.get("work") + ", left " + status.get("left") + ", halted "
          + status.get("halted"));
    }

    private static double seconds(Object millis) {
      return Double.parseDouble(String.valueOf(millis)) / 1e3;
    }

    /** Summarizes one instance's view of its peers. */
    private static String peerSummary(Map<?, ?> view) {
      return view.get("live") + " of " + view.get("size") + memberList(view, "suspect")
          + memberList(view, "dead") + memberList(view, "unknown")
          + ("0".equals(String.valueOf(view.get("health"))) ? "" : ", local health degraded");
    }

    private static String memberList(Map<?, ?> view, String state) {
      return view.get(state) instanceof List<?> names && !names.isEmpty()
          ? ", " + state + " " + names
          : "";
    }
  }

  /** Restarts the instances one after the other. */
  @Command(
      name = "restart",
      mixinStandardHelpOptions = true,
      description = "Restart the instances one after the other.",
      footer = {
        "Exit status: 0 if the restart has started (with --wait: is done), 1 if it has not, or was halted."
      })
  static final class Restart extends DaemonCommand {

    @Option(
        names = "--rolling",
        description =
            "Restart at most as many at once as the daemon's --away allows; required, the only mode.")
    private boolean rolling;

    @Option(
        names = "--wait",
        description = "Wait until the restart is done or halted, and print a line for each step.")
    private boolean wait;

    @Override
    public Integer call() throws Exception {
      if (!rolling) {
        throw new ParameterException(spec.commandLine(), "expected --rolling");
      }
      int status = printOutcome(callDaemon("restart"));
      String last = "";
      while (status == 0 && wait) {
        String answer = callDaemon("status");
        String work = answer.substring(answer.indexOf("],") + 2);
        if (!work.equals(last)) {
          spec.commandLine().getOut().println(work.substring(0, work.length() - 1));
          spec.commandLine().getOut().flush();
          last = work;
        }
        if (work.startsWith("\"work\":\"none\"")) {
          return work.contains("\"halted\":null") ? 0 : 1;
        }
        TimeUnit.MILLISECONDS.sleep(100);
      }
      return status;
    }
  }

  /** Reloads the operator file, one instance after the other. */
  @Command(
      name = "reload",
      mixinStandardHelpOptions = true,
      description =
          "Check the operator file, then make the instances reload it one after the other.")
  static final class Reload extends DaemonCommand {
    @Override
    public Integer call() throws Exception {
      return printOutcome(callDaemon("reload"));
    }
  }

  /** Stops all instances and the daemon. */
  @Command(
      name = "stop",
      mixinStandardHelpOptions = true,
      description = "Stop the instances in order, then the daemon.")
  static final class Stop extends DaemonCommand {
    @Override
    public Integer call() throws Exception {
      return printOutcome(callDaemon("stop"));
    }
  }
}
