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
 * The instances' processes. Each carries its run directory and number on its command line, so that a daemon finds what an
 * earlier one left, whatever that had time to write down: nothing, if it was killed between a start and the next line.
 */
final class Processes {

  private static final String MARK = "-Dhoneyvalve.fleet=";

  private final Settings settings;
  private final RunDirectory run;
  private final String mark;
  private final Consumer<String> say;

  Processes(Settings settings, RunDirectory run, Consumer<String> say) {
    this.say = say;
    this.settings = settings;
    this.run = run;
    mark =
        MARK + UUID.nameUUIDFromBytes(run.path().toString().getBytes(StandardCharsets.UTF_8)) + ":";
  }

  /** Starts an instance. */
  Process start(int instance) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(settings.command().get(0));
    command.add(mark + instance + ":");
    command.addAll(settings.command().subList(1, settings.command().size()));
    command.add("serve");
    if (settings.operator() != null) {
      command.addAll(List.of("--operator", settings.operator().toString()));
    }
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder
        .redirectOutput(log(instance))
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
          .put("PROXY_ADMIN", Configuration.UNIX_PREFIX + RunDirectory.door(run.path(), instance));
    }
    builder.environment().put("PROXY_GROUP", instance + "/" + settings.instances());
    return builder.start();
  }

  /** Its log; where none can be written it runs without: better than an instance that does not start. */
  private ProcessBuilder.Redirect log(int instance) {
    File log = run.logOf(instance).toFile();
    try (FileOutputStream probe = new FileOutputStream(log, true)) {
      return ProcessBuilder.Redirect.appendTo(log);
    } catch (IOException e) {
      say.accept("instance " + instance + " runs without a log: " + e.getMessage());
      return ProcessBuilder.Redirect.DISCARD;
    }
  }

  /** Processes of this run directory that are alive, those of an instance the oldest first. */
  List<ProcessHandle> of(int instance) {
    return all().stream()
        .filter(p -> markOf(p).orElse("").equals(mark + instance + ":"))
        .sorted(Comparator.comparing(
            (ProcessHandle p) -> p.info().startInstant().orElse(java.time.Instant.MAX)))
        .toList();
  }

  /** Processes of instances that this daemon does not have: of a larger fleet before it. */
  List<ProcessHandle> beyond() {
    return all().stream().filter(p -> number(p) >= settings.instances()).toList();
  }

  private int number(ProcessHandle p) {
    String text = markOf(p).orElse("");
    try {
      return Integer.parseInt(text.substring(mark.length(), text.length() - 1));
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      return -1;
    }
  }

  private List<ProcessHandle> all() {
    return ProcessHandle.allProcesses()
        .filter(p -> markOf(p).isPresent() && p.isAlive())
        .toList();
  }

  private Optional<String> markOf(ProcessHandle p) {
    for (String argument : p.info().arguments().orElse(new String[0])) {
      if (argument.startsWith(mark)) {
        return Optional.of(argument);
      }
    }
    return Optional.empty();
  }

  /** SIGHUP, which Java has no call for. */
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
