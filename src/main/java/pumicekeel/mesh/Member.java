package pumicekeel.mesh;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pumicekeel.runtime.Addresses;

/**
 * A child process of the program. A guard shell kills it as soon as the shell's input ends, so that it does not outlive the process that
 * started it, even if that one is killed.
 */
public final class Member implements Closeable {

  /** The guard shell: prints the child's pid, kills the child at the end of its input, and reports the child's exit status. */
  private static final String GUARD =
      "exec 3<&0; \"$@\" 3<&- </dev/null & child=$!; echo \"pid $child\"; "
          + "(cat <&3 >/dev/null; kill -9 $child) 2>/dev/null & wait $child; code=$?; kill $! 2>/dev/null; echo \"ended $code\"";

  private static final int LOG_LINES = 200;
  private static final long READY_TIMEOUT_SECONDS = 60;
  private static final long END_TIMEOUT_SECONDS = 20;

  private final String name;
  private final List<String> command;
  private final Path folder;
  private final ArrayDeque<String> log = new ArrayDeque<>();
  private Process guard;
  private Thread reader;
  private long pid;
  private InetSocketAddress address;
  private boolean ended;

  /** Creates a member that is started by {@code command}; its configuration and operator file are written to {@code folder}. */
  Member(String name, List<String> command, Path folder) {
    this.name = name;
    this.command = command;
    this.folder = folder;
  }

  /** Starts the process, under the same name each time; {@link #awaitReady} waits until it serves. */
  synchronized void start(String configuration, String operator) throws IOException {
    Path config = Files.writeString(folder.resolve(name + ".json"), configuration);
    List<String> all = new ArrayList<>(List.of("/bin/sh", "-c", GUARD, "guard"));
    all.addAll(command);
    if (operator != null) {
      all.addAll(List.of(
          "--operator",
          Files.writeString(folder.resolve(name + ".toml"), operator).toString()));
    }
    ProcessBuilder builder = new ProcessBuilder(all).redirectErrorStream(true);
    builder.environment().keySet().removeIf(key -> key.startsWith("PROXY_"));
    builder.environment().put("PROXY_CONFIG", config.toString());
    pid = 0;
    address = null;
    ended = false;
    guard = builder.start();
    Process started = guard;
    reader = new Thread(() -> read(started), "log-" + name);
    reader.setDaemon(true);
    reader.start();
  }

  private void read(Process from) {
    try (BufferedReader in =
        new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        handleLine(from, line);
      }
    } catch (IOException e) {
      handleLine(from, "reading its output failed: " + e.getMessage());
    }
    handleLine(from, "ended");
  }

  private synchronized void handleLine(Process from, String line) {
    if (log.size() == LOG_LINES) {
      log.poll();
    }
    log.add(line);
    if (from != guard) {
      return;
    }
    if (line.startsWith("pid ")) {
      pid = Long.parseLong(line.substring(4));
    } else if (line.contains(" serves at /")) {
      address = Addresses.parse("log", line.substring(line.indexOf('/') + 1));
    } else if (line.startsWith("ended")) {
      ended = true;
    }
    notifyAll();
  }

  /** Waits until it serves; on failure the exception contains its last log lines. */
  synchronized InetSocketAddress awaitReady() throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
    while (address == null) {
      long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
      if (ended || left <= 0) {
        throw new IOException(name + " did not start: " + log);
      }
      wait(left);
    }
    return address;
  }

  public String name() {
    return name;
  }

  /** Returns its address for clients; null while it does not serve. */
  public synchronized InetSocketAddress address() {
    return address;
  }

  /** Returns the pid of the program's process, not of the guard shell. */
  public synchronized long pid() {
    return pid;
  }

  /** Returns its last log lines. */
  public synchronized List<String> log() {
    return List.copyOf(log);
  }

  public synchronized boolean runs() {
    return pid != 0 && !ended;
  }

  /** Sends a signal by its name, such as STOP, CONT, TERM, HUP or KILL. */
  public void signal(String signal) throws IOException, InterruptedException {
    long to = pid();
    if (!runs()
        || new ProcessBuilder("/bin/kill", "-" + signal, Long.toString(to))
                .start()
                .waitFor()
            != 0) {
      throw new IOException(name + ": no running process for signal " + signal);
    }
  }

  /** Waits until the process has ended. */
  public synchronized void awaitEnd() throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(END_TIMEOUT_SECONDS);
    while (!ended) {
      long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
      if (left <= 0) {
        throw new IOException(name + " did not end: " + log);
      }
      wait(left);
    }
    address = null;
  }

  @Override
  public void close() {
    // Ends the guard's input, upon which it kills the child, even one that is stopped by a signal.
    Process current;
    synchronized (this) {
      current = guard;
    }
    if (current == null) {
      return;
    }
    try {
      current.getOutputStream().close();
      if (!current.waitFor(END_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        current.destroyForcibly();
      }
    } catch (IOException e) {
      current.destroyForcibly();
    } catch (InterruptedException e) {
      current.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
