package pumicekeel.rig.scale;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import pumicekeel.rig.ProgramCommand;

/** This program in a child process. The child is killed on {@link #close} and, on Linux, whenever this process ends. */
final class ChildProcess implements Closeable {

  /** Makes the kernel kill the child when its parent ends, even if the parent is killed by SIGKILL. */
  private static final Path SETPRIV = Path.of("/usr/bin/setpriv");

  private final Process process;
  private final List<String> lines = new CopyOnWriteArrayList<>();
  private final Thread reader;
  private long peakBytes;

  private ChildProcess(Process process) {
    this.process = process;
    reader = new Thread(this::readOutput, "child-output");
    reader.setDaemon(true);
    reader.start();
  }

  /**
   * Starts the program.
   *
   * @param flags JVM flags
   * @param variables environment variables, added to those of this process without its {@code PROXY_} variables
   * @param arguments arguments of the program
   */
  static ChildProcess start(
      List<String> flags, Map<String, String> variables, List<String> arguments)
      throws IOException {
    List<String> command = new ArrayList<>();
    if (Files.isExecutable(SETPRIV)) {
      command.addAll(List.of(SETPRIV.toString(), "--pdeathsig", "KILL"));
    }
    command.addAll(ProgramCommand.withFlags(flags));
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
    builder.environment().putAll(variables);
    return new ChildProcess(builder.start());
  }

  private void readOutput() {
    try (BufferedReader output = new BufferedReader(
        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = output.readLine(); line != null; line = output.readLine()) {
        lines.add(line);
      }
    } catch (IOException e) {
      // The process has exited.
    }
  }

  /** Returns the lines that the process has written so far to standard output and standard error. */
  List<String> lines() {
    return lines;
  }

  /** Returns the first line that the process wrote, or a placeholder if it wrote none. */
  String firstLine() {
    return lines.stream().findFirst().orElse("no output");
  }

  boolean isRunning() {
    return process.isAlive();
  }

  /** Returns the exit status; fails while the process runs. */
  int status() {
    return process.exitValue();
  }

  /** Returns the peak resident set size in bytes; after the process has exited, that of the last call before. */
  long peakBytes() throws IOException {
    peakBytes = Math.max(peakBytes, statusBytes("VmHWM:"));
    return peakBytes;
  }

  /** Returns the current resident set size in bytes; 0 after the process has exited. */
  long residentBytes() throws IOException {
    return statusBytes("VmRSS:");
  }

  private long statusBytes(String field) throws IOException {
    try {
      return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
          .filter(line -> line.startsWith(field))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) << 10)
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      // The process exited before the file was opened or while it was read.
      if (!process.isAlive()) {
        return 0;
      }
      throw e;
    }
  }

  /** Returns the running processes that this one has started, directly or indirectly. */
  List<ProcessHandle> descendants() {
    return process.descendants().toList();
  }

  /** Returns the processor time used so far; the kernel counts it in steps of 10 ms. */
  Duration processorTime() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(10, TimeUnit.SECONDS);
      reader.join(1_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
