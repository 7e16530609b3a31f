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

/** This program in a process of its own. It ends with this object, and with this process however that ends (Linux). */
final class ChildProcess implements Closeable {

  /** Has the kernel end the child when its parent is gone, also by SIGKILL. */
  private static final Path SET_PRIVILEGES = Path.of("/usr/bin/setpriv");

  private final Process process;
  private final List<String> lines = new CopyOnWriteArrayList<>();
  private final Thread reader;
  private long peakBytes;

  private ChildProcess(Process process) {
    this.process = process;
    reader = new Thread(this::read, "child-output");
    reader.setDaemon(true);
    reader.start();
  }

  /** Starts it with flags of the JVM, variables beside this process's own, and arguments of the program. */
  static ChildProcess start(
      List<String> flags, Map<String, String> variables, List<String> arguments)
      throws IOException {
    List<String> command = new ArrayList<>();
    if (Files.isExecutable(SET_PRIVILEGES)) {
      command.addAll(List.of(SET_PRIVILEGES.toString(), "--pdeathsig", "KILL"));
    }
    command.addAll(ProgramCommand.withFlags(flags));
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
    builder.environment().putAll(variables);
    return new ChildProcess(builder.start());
  }

  private void read() {
    try (BufferedReader in = new BufferedReader(
        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        lines.add(line);
      }
    } catch (IOException e) {
      // The process has ended.
    }
  }

  /** What it wrote so far. */
  List<String> lines() {
    return lines;
  }

  /** The first of them, or that there was none. */
  String firstLine() {
    return lines.stream().findFirst().orElse("no word");
  }

  boolean isRunning() {
    return process.isAlive();
  }

  /** Its exit status; only once it has ended. */
  int status() {
    return process.exitValue();
  }

  /** The largest resident set so far, in bytes, as of the last call while it ran. */
  long peakBytes() throws IOException {
    peakBytes = Math.max(peakBytes, memory("VmHWM:"));
    return peakBytes;
  }

  /** The resident set now, in bytes. */
  long residentBytes() throws IOException {
    return memory("VmRSS:");
  }

  private long memory(String field) throws IOException {
    try {
      return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
          .filter(line -> line.startsWith(field))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) << 10)
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      // It ended before the file was opened, or while it was read.
      if (!process.isAlive()) {
        return 0;
      }
      throw e;
    }
  }

  /** Processes that it has started. */
  List<ProcessHandle> descendants() {
    return process.descendants().toList();
  }

  /** Processor time so far; the system's grain is 10 ms. */
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
