package pumicekeel.fleet;

import java.io.File;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import pumicekeel.config.Configuration;

/**
 * The processes of the instances. Each has its run directory and number on its command line, so that a daemon finds the processes of an
 * earlier one without any stored state: a daemon killed right after a start could not have written any.
 */
final class Processes {

  private static final String MARKER_PROPERTY = "-Dhoneyvalve.fleet=";

  private final Settings settings;
  private final RunDirectory run;
  private final String marker;
  private final Consumer<String> log;

  Processes(Settings settings, RunDirectory run, Consumer<String> log) {
    this.log = log;
    this.settings = settings;
    this.run = run;
    marker =
        MARKER_PROPERTY + UUID.nameUUIDFromBytes(run.path().toString().getBytes(StandardCharsets.UTF_8)) + ":";
  }

  /** Starts an instance. */
  Process start(int instance) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(settings.command().get(0));
    command.add(marker + instance + ":");
    command.addAll(settings.command().subList(1, settings.command().size()));
    command.add("serve");
    if (settings.operator() != null) {
      command.addAll(List.of("--operator", settings.operator().toString()));
    }
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder
        .redirectOutput(logOutput(instance))
        .redirectInput(
            settings.oneAddress()
                ? ProcessBuilder.Redirect.INHERIT
                : ProcessBuilder.Redirect.from(new File("/dev/null")));
    builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
    builder.environment().put("PROXY_CONFIG", settings.configuration().toString());
    builder.environment().put("PROXY_NAME", settings.name() + "-" + instance);
    if (settings.oneAddress()) {
      builder.environment().put("PROXY_SOCKET_FD", "0");
    }
    String address = settings.first().getAddress().getHostAddress() + ":"
        + settings.addressOf(instance).getPort();
    if (settings.oneAddress()) {
      builder.environment().put("PROXY_ADMIN", address);
    } else {
      builder.environment().put("PROXY_LISTEN", address);
      builder
          .environment()
          .put("PROXY_ADMIN", Configuration.UNIX_PREFIX + RunDirectory.adminSocket(run.path(), instance));
    }
    builder.environment().put("PROXY_GROUP", instance + "/" + settings.instances());
    return builder.start();
  }

  /** Returns the log output of an instance; if none can be written the instance runs without one, which is better than not starting. */
  private ProcessBuilder.Redirect logOutput(int instance) {
    File file = run.logOf(instance).toFile();
    try (FileOutputStream probe = new FileOutputStream(file, true)) {
      return ProcessBuilder.Redirect.appendTo(file);
    } catch (IOException e) {
      log.accept("instance " + instance + " runs without a log: " + e.getMessage());
      return ProcessBuilder.Redirect.DISCARD;
    }
  }

  /** Returns the live processes of an instance of this run directory, the oldest first. */
  List<ProcessHandle> of(int instance) {
    return all().stream()
        .filter(p -> markerOf(p).orElse("").equals(marker + instance + ":"))
        .sorted(Comparator.comparing(
            (ProcessHandle p) -> p.info().startInstant().orElse(java.time.Instant.MAX)))
        .toList();
  }

  /** Returns processes with a number beyond this daemon's instances, started by the daemon of a larger fleet. */
  List<ProcessHandle> ofLargerFleet() {
    return all().stream().filter(p -> number(p) >= settings.instances()).toList();
  }

  private int number(ProcessHandle p) {
    String text = markerOf(p).orElse("");
    try {
      return Integer.parseInt(text.substring(marker.length(), text.length() - 1));
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      return -1;
    }
  }

  private List<ProcessHandle> all() {
    return ProcessHandle.allProcesses()
        .filter(p -> markerOf(p).isPresent() && p.isAlive())
        .toList();
  }

  private Optional<String> markerOf(ProcessHandle p) {
    for (String argument : p.info().arguments().orElse(new String[0])) {
      if (argument.startsWith(marker)) {
        return Optional.of(argument);
      }
    }
    return Optional.empty();
  }

  /** Sends SIGHUP, for which Java has no API. */
  static void hangup(ProcessHandle process) throws IOException {
    try {
      Process kill = new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.DISCARD)
          .start();
      if (kill.waitFor() != 0) {
        throw new IOException("kill -HUP " + process.pid() + " ended with " + kill.exitValue());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Path javaBinary() {
    return Path.of(System.getProperty("java.home"), "bin", "java");
  }
}
