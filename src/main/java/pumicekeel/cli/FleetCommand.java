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
        "Start, watch and stop many instances. Runs until SIGTERM or fleet stop; instances outlive a daemon that is"
            + " killed, and the next one takes them over.",
    subcommands = {
      FleetCommand.Status.class,
      FleetCommand.Restart.class,
      FleetCommand.Reload.class,
      FleetCommand.Stop.class
    },
    footer = {
      "Exit status: 0 after a stop, 2 for a setting, a file or a run directory that is no good."
    })
final class FleetCommand implements Callable<Integer> {

  /** As the run line of service has it, for half a core each. */
  private static final List<String> FLAGS = List.of(
      "-XX:+UseSerialGC",
      "-XX:TieredStopAtLevel=1",
      "-Xms48m",
      "-Xmx64m",
      "-XX:MaxMetaspaceSize=40m",
      "-XX:ReservedCodeCacheSize=24m",
      "-XX:MaxDirectMemorySize=16m",
      "-Xss512k");

  private static final long MS = 1_000_000L;

  @Option(names = "--instances", paramLabel = "N", description = "How many, 1 to 256.")
  private int instances;

  @Option(
      names = "--run-dir",
      paramLabel = "DIR",
      description = "The daemon's own directory, of mode 0700; made if absent.")
  private Path directory;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "The platform's configuration, of all instances.")
  private Path config;

  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description = "The operator file of all instances. Default: none.")
  private Path operator;

  @Option(
      names = "--listen",
      paramLabel = "HOST:PORT",
      defaultValue = "127.0.0.1:7000",
      description =
          "Of instance 0; each further one takes the next port. Default: ${DEFAULT-VALUE}.")
  private String listen;

  @Option(
      names = "--one-address",
      description = "All instances take clients from the listening socket that is this process's"
          + " descriptor 0; --listen then says where their operators' doors are.")
  private boolean oneAddress;

  @Option(
      names = "--name",
      paramLabel = "NAME",
      defaultValue = "fleet",
      description = "Default: ${DEFAULT-VALUE}.")
  private String name;

  @Option(
      names = "--away",
      paramLabel = "K",
      defaultValue = "1",
      description =
          "Instances that may be away at once on purpose, 1 to N. Default: ${DEFAULT-VALUE}.")
  private int away;

  @Option(
      names = "--watch-ms",
      paramLabel = "N",
      defaultValue = "5000",
      description =
          "How long a restarted instance has to stay ready before the next goes, 0 to 600000. Default: ${DEFAULT-VALUE}.")
  private long watchMillis;

  @Option(
      names = "--hang-ms",
      paramLabel = "N",
      defaultValue = "15000",
      description =
          "A ready instance that has answered nothing"
              + " for so long is killed and started again; 0 for never, else 1000 to 600000. Default: ${DEFAULT-VALUE}.")
  private long hangMillis;

  @Option(
      names = "--flag",
      paramLabel = "FLAG",
      description = "A JVM flag instead of those of service; any number.")
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
            // The process ends either way.
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
      throw usage(e.getMessage());
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
      throw usage("expected --instances 1 to " + Settings.MAX_INSTANCES
          + ", --run-dir, --config, --away 1 to N,"
          + " --watch-ms 0 to 600000, --hang-ms 0 or 1000 to 600000");
    }
    if (first.getPort() < 1 || first.getPort() + instances > 65_536) {
      throw usage(
          "--listen: expected a port with " + instances + " from it on, got " + first.getPort());
    }
    if (!Files.isReadable(config)) {
      throw usage("--config: expected a file that can be read, got " + config);
    }
    return new Settings(
        instances,
        directory,
        first,
        operator == null ? null : operator.toAbsolutePath(),
        config.toAbsolutePath(),
        name,
        command(flags == null ? FLAGS : flags),
        Limits.of(away, watchMillis * MS, hangMillis * MS),
        oneAddress);
  }

  /** The JVM and program that this command itself is. */
  private static List<String> command(List<String> flags) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "pumicekeel.cli.Main"));
    return command;
  }

  private ParameterException usage(String what) {
    return new ParameterException(spec.commandLine(), what);
  }

  /** A command to the daemon. */
  private abstract static class Order implements Callable<Integer> {
    @ParentCommand
    private FleetCommand fleet;

    @Option(
        names = "--run-dir",
        paramLabel = "DIR",
        description = "The daemon's directory; may stand before the command too.")
    private Path directory;

    @Spec
    protected CommandSpec spec;

    protected String ask(String what) throws IOException {
      Path dir = directory == null ? fleet.directory : directory;
      if (dir == null) {
        throw new ParameterException(spec.commandLine(), "expected --run-dir");
      }
      return Control.call(dir, what);
    }

    protected int tell(String answer) {
      boolean good = answer.equals("{\"ok\":true}");
      (good ? spec.commandLine().getOut() : spec.commandLine().getErr())
          .println(good ? "begun" : answer);
      return good ? 0 : 1;
    }
  }

  /** Where the instances are. */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Where each instance is, and what goes on.",
      footer = {"Exit status: 0 where all are ready, 1 where one is not, or no daemon answers."})
  static final class Status extends Order {

    @Option(names = "--json", description = "The daemon's answer as it is.")
    private boolean json;

    @Override
    public Integer call() throws Exception {
      String answer = ask("status");
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
          "instance state      for s   pid      listens at (or door)   crashes  silent s  sees");
      for (Object each : (List<?>) status.get("instances")) {
        Map<?, ?> i = (Map<?, ?>) each;
        out.printf(
            "%8s %-10s %6.1f  %-8s %-22s %7s  %8.1f  %s%n",
            i.get("instance"),
            i.get("state"),
            seconds(i.get("for-ms")),
            i.get("pid"),
            i.get(i.containsKey("door") ? "door" : "listen"),
            i.get("crashes"),
            seconds(i.get("silent-ms")),
            i.get("peers") instanceof Map<?, ?> view ? seen(view) : "-");
      }
      out.println("work " + status.get("work") + ", left " + status.get("left") + ", halted "
          + status.get("halted"));
    }

    private static double seconds(Object millis) {
      return Double.parseDouble(String.valueOf(millis)) / 1e3;
    }

    /** One instance's view of the fleet, in a few words. */
    private static String seen(Map<?, ?> view) {
      return view.get("live") + " of " + view.get("size") + members(view, "suspect")
          + members(view, "dead") + members(view, "unknown")
          + ("0".equals(String.valueOf(view.get("health"))) ? "" : ", itself late");
    }

    private static String members(Map<?, ?> view, String state) {
      return view.get(state) instanceof List<?> some && !some.isEmpty()
          ? ", " + state + " " + some
          : "";
    }
  }

  /** One after the other. */
  @Command(
      name = "restart",
      mixinStandardHelpOptions = true,
      description = "Restart the instances one after the other.",
      footer = {
        "Exit status: 0 where it has begun (with --wait: is done), 1 where it has not, or was halted."
      })
  static final class Restart extends Order {

    @Option(
        names = "--rolling",
        description = "At most as many away as the daemon was told; there is no other way.")
    private boolean rolling;

    @Option(
        names = "--wait",
        description = "Until it is done or halted, with a line for each step.")
    private boolean wait;

    @Override
    public Integer call() throws Exception {
      if (!rolling) {
        throw new ParameterException(spec.commandLine(), "expected --rolling");
      }
      int status = tell(ask("restart"));
      String last = "";
      while (status == 0 && wait) {
        String now = ask("status");
        String work = now.substring(now.indexOf("],") + 2);
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

  /** The operator file, one after the other. */
  @Command(
      name = "reload",
      mixinStandardHelpOptions = true,
      description = "Check the operator file, then have the instances read it one after the other.")
  static final class Reload extends Order {
    @Override
    public Integer call() throws Exception {
      return tell(ask("reload"));
    }
  }

  /** All of them. */
  @Command(
      name = "stop",
      mixinStandardHelpOptions = true,
      description = "Stop the instances in order, and the daemon.")
  static final class Stop extends Order {
    @Override
    public Integer call() throws Exception {
      return tell(ask("stop"));
    }
  }
}
