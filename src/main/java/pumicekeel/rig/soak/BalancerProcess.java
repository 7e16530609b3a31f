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
import pumicekeel.rig.ProgramCommand;
import pumicekeel.runtime.Addresses;

/** A balancer as a real process: what {@code run} of the deploy file starts, with call faults loaded into it. */
public final class BalancerProcess implements Closeable {

  private static final Path DEPLOY_FILE = Path.of("deploy", "balancer.toml");
  private static final String SERVES = " serves at /";
  private static final long START_SECONDS = 60;

  private final String name;
  private final RequestLog log;
  private final Process process;
  private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
  private final List<String> timed = Collections.synchronizedList(new ArrayList<>());
  private final CountDownLatch serving = new CountDownLatch(1);
  private final Thread reader;
  private final Thread endWithThis;
  private volatile InetSocketAddress address;

  /** Starts one with a configuration file, and an operator file unless that is null. */
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
    faults.into(builder.environment());
    process = builder.start();
    // None is left behind where this program is ended in the middle of a run.
    endWithThis = new Thread(process::destroyForcibly);
    Runtime.getRuntime().addShutdownHook(endWithThis);
    reader = new Thread(this::read, name + " log");
    reader.setDaemon(true);
    reader.start();
  }

  /** The flags of the deploy file's own line, with the classes of this process. */
  private static List<String> command() throws IOException {
    String run = Files.readAllLines(DEPLOY_FILE).stream()
        .filter(line -> line.startsWith("run = "))
        .findFirst()
        .orElseThrow();
    String java = run.substring(run.indexOf("java ") + "java ".length(), run.indexOf(" -jar "));
    List<String> flags = Stream.of(java.split(" "))
        .filter(flag -> !flag.startsWith("-XX:SharedArchiveFile"))
        .toList();
    List<String> command = ProgramCommand.with(flags);
    command.add("serve");
    return command;
  }

  private void read() {
    try (BufferedReader from = new BufferedReader(
        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = from.readLine(); line != null; line = from.readLine()) {
        lines.add(line);
        log.balancerSaid(name, line);
        timed.add(String.format("%.1f ms %s", (System.nanoTime() - log.startedAt()) / 1e6, line));
        if (line.contains(SERVES)) {
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

  /** Waits until it serves. */
  public InetSocketAddress awaitServing() throws IOException, InterruptedException {
    boolean in = serving.await(START_SECONDS, TimeUnit.SECONDS);
    if (!in || address == null) {
      throw new IOException(name + " did not start: " + lines());
    }
    return address;
  }

  /** Whether it has said that it serves. */
  public boolean serves() {
    return address != null && process.isAlive();
  }

  /** Sends a signal, by its name without SIG; nothing where it has ended. */
  public void signal(String signal) throws IOException, InterruptedException {
    if (process.isAlive()) {
      timed.add(String.format(
          "%.1f ms SIG%s is sent", (System.nanoTime() - log.startedAt()) / 1e6, signal));
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
          .start()
          .waitFor();
    }
  }

  /** The process's number. */
  long pid() {
    return process.pid();
  }

  /** Whether it runs. */
  public boolean runs() {
    return process.isAlive();
  }

  /** Waits for its end; the exit status, or -1 where it goes on for too long. */
  public int awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
  }

  /** How many descriptors it holds; 0 where it has ended. */
  public int descriptors() throws IOException {
    Path folder = Path.of("/proc", Long.toString(process.pid()), "fd");
    try (Stream<Path> all = Files.list(folder)) {
      return (int) all.count();
    } catch (java.nio.file.NoSuchFileException e) {
      return 0;
    }
  }

  /** The lines of its log so far. */
  public List<String> lines() {
    synchronized (lines) {
      return List.copyOf(lines);
    }
  }

  /** The same, each with its time since the beginning of the requests' log. */
  public List<String> timedLines() {
    synchronized (timed) {
      return List.copyOf(timed);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor();
      Runtime.getRuntime().removeShutdownHook(endWithThis);
    } catch (IllegalStateException e) {
      // This program ends already.
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
