package pumicekeel.rig.soak;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import pumicekeel.rig.DeployFile;
import pumicekeel.rig.ProgramCommand;
import pumicekeel.runtime.Addresses;

/** A balancer process, started by the {@code run} command of the deploy file with the system call faults preloaded. */
public final class BalancerProcess implements Closeable {

  private static final String SERVING_MARKER = " serves at /";
  private static final long START_TIMEOUT_SECONDS = 60;

  private final String name;
  private final RequestLog log;
  private final Process process;
  private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
  private final List<String> timedLines = Collections.synchronizedList(new ArrayList<>());
  private final CountDownLatch serving = new CountDownLatch(1);
  private final Thread reader;
  private final Thread shutdownHook;
  private volatile InetSocketAddress address;

  /** Starts a process with a configuration file and, unless it is null, an operator file. */
  public BalancerProcess(
      String name, Path configuration, Path operator, CallFaults faults, RequestLog log)
      throws IOException {
    this.name = name;
    this.log = log;
    List<String> command = command();
    if (operator != null) {
      command.addAll(List.of("--operator", operator.toString()));
    }
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().keySet().removeIf(key -> key.startsWith("PROXY_"));
    builder.environment().put("PROXY_CONFIG", configuration.toString());
    faults.addTo(builder.environment());
    process = builder.start();
    // The process must not outlive this program when that is terminated during a run.
    shutdownHook = new Thread(process::destroyForcibly);
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    reader = new Thread(this::readLog, name + " log");
    reader.setDaemon(true);
    reader.start();
  }

  /** Returns the command with the JVM flags of the deploy file and the class path of this process. */
  private static List<String> command() throws IOException {
    List<String> command = ProgramCommand.withFlags(DeployFile.runFlags());
    command.add("serve");
    return command;
  }

  private void readLog() {
    try (BufferedReader output = new BufferedReader(
        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = output.readLine(); line != null; line = output.readLine()) {
        lines.add(line);
        log.addLogLine(name, line);
        timedLines.add(
            String.format("%.1f ms %s", (System.nanoTime() - log.startedAt()) / 1e6, line));
        if (line.contains(SERVING_MARKER)) {
          address = Addresses.parse("log", line.substring(line.indexOf('/') + 1));
          serving.countDown();
        }
      }
    } catch (IOException e) {
      lines.add("log: " + e);
    } finally {
      serving.countDown();
    }
  }

  /** Waits until the process reports that it serves; fails after {@link #START_TIMEOUT_SECONDS}. */
  public InetSocketAddress awaitServing() throws IOException, InterruptedException {
    boolean reported = serving.await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (!reported || address == null) {
      throw new IOException(name + " did not start: " + lines());
    }
    return address;
  }

  /** Returns whether the process runs and has reported that it serves. */
  public boolean isServing() {
    return address != null && process.isAlive();
  }

  /** Sends a signal, named without the prefix SIG; does nothing if the process has exited. */
  public void signal(String signal) throws IOException, InterruptedException {
    if (process.isAlive()) {
      timedLines.add(String.format(
          "%.1f ms SIG%s is sent", (System.nanoTime() - log.startedAt()) / 1e6, signal));
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
          .start()
          .waitFor();
    }
  }

  long pid() {
    return process.pid();
  }

  public boolean isRunning() {
    return process.isAlive();
  }

  /** Waits for the process to exit; returns its exit status, or -1 if it still runs after the time-out. */
  public int awaitExit(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
  }

  /** Returns the number of open file descriptors; 0 if the process has exited. */
  public int openDescriptors() throws IOException {
    Path folder = Path.of("/proc", Long.toString(process.pid()), "fd");
    try (Stream<Path> descriptors = Files.list(folder)) {
      return (int) descriptors.count();
    } catch (java.nio.file.NoSuchFileException e) {
      return 0;
    }
  }

  /** Returns the most memory that the process has had resident so far, in kB; 0 if it has exited. */
  public long peakResidentKilobytes() throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    if (!Files.exists(status)) {
      return 0;
    }
    return Files.readAllLines(status).stream()
        .filter(line -> line.startsWith("VmHWM:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .findFirst()
        .orElse(0);
  }

  /** Returns the log lines so far. */
  public List<String> lines() {
    synchronized (lines) {
      return List.copyOf(lines);
    }
  }

  /** Returns the log lines so far and the signals sent, each with the time since the request log began. */
  public List<String> timedLines() {
    synchronized (timedLines) {
      return List.copyOf(timedLines);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor();
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    } catch (IllegalStateException e) {
      // This program is already shutting down.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    try {
      reader.join(TimeUnit.SECONDS.toMillis(5));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
