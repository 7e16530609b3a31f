import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One balancer: a process of its own, started with the command of the deploy file. */
final class BalancerProcess {
  private final Path root;
  final Path config;
  final Path log;
  final String address;
  private Process process;

  /** Chooses a free port; {@code %LISTEN%} in the configuration is replaced by the address. */
  BalancerProcess(Path root, Path folder, String name, String configuration) throws IOException {
    this.root = root;
    config = folder.resolve(name + ".json");
    log = folder.resolve(name + ".log");
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      address = "127.0.0.1:" + free.getLocalPort();
    }
    Files.writeString(config, configuration.replace("%LISTEN%", address));
  }

  void start() throws IOException {
    String deploy = Files.readString(root.resolve("deploy/balancer.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no run in the deploy file");
    }
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
    builder.environment().put("PROXY_CONFIG", config.toString());
    builder.environment().put("TMPDIR", config.getParent().toString());
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    process = builder.start();
  }

  /** Waits until {@code GET /up} is answered with 200; returns false if it is not within 30 s. */
  boolean awaitReady() throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < end && process.isAlive()) {
      try (Client client = new Client(address)) {
        Client.Result up = client.exchange(
            "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1), 1_000);
        if (up.status() == 200) {
          return true;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    return false;
  }

  long pid() {
    return process.pid();
  }

  boolean alive() {
    return process.isAlive();
  }

  int exitValue() {
    return process.exitValue();
  }

  /** Sends a signal by its name. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  void kill() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
