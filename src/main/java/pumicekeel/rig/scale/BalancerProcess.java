package pumicekeel.rig.scale;

import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import pumicekeel.demo.DemoSettings;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInDiscovery;

/** A balancer process with an operator file, and the stand-in discovery service that its configuration refers to. */
final class BalancerProcess implements Closeable {

  /** Maximum heap: half of it is the budget of the control plane, the other half is for everything else. */
  static final long HEAP_BYTES = 256L << 20;

  /** The JVM flags of the deploy file's {@code run} command, except for the heap size and the shared class archive. */
  private static final List<String> JVM_FLAGS = List.of(
      "-XX:+UseSerialGC",
      "-XX:-UsePerfData",
      "-XX:TieredStopAtLevel=1",
      "-Xms48m",
      "-Xmx" + HEAP_BYTES,
      "-XX:MaxMetaspaceSize=40m",
      "-XX:ReservedCodeCacheSize=24m",
      "-XX:MaxDirectMemorySize=16m",
      "-Xss512k",
      "-Dio.netty.jfr.enabled=false");

  private static final int SOCKET_LIMIT = 4_096;
  private static final String READY_MARKER = " serves at /";

  private final Path folder;
  private final StandInDiscovery discovery;
  private final ChildProcess process;
  private double readyMillis;

  private BalancerProcess(Path folder, StandInDiscovery discovery, ChildProcess process) {
    this.folder = folder;
    this.discovery = discovery;
    this.process = process;
  }

  /**
   * Starts a balancer with an operator file and waits until it is ready.
   *
   * @param operatorFile the text of the operator file
   * @throws RefusedException if the process exits before it is ready
   */
  static BalancerProcess start(String operatorFile, EventLoopGroup standIns, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    Path folder = Files.createTempDirectory("scale");
    Path operator = Files.writeString(folder.resolve("operator.toml"), operatorFile);
    StandInDiscovery discovery = new StandInDiscovery(standIns);
    Path configuration = Files.writeString(
        folder.resolve("config.json"), configuration(Addresses.text(discovery.address())));
    ChildProcess process = ChildProcess.start(
        JVM_FLAGS,
        Map.of("PROXY_CONFIG", configuration.toString()),
        List.of("serve", "--operator", operator.toString()));
    BalancerProcess balancer = new BalancerProcess(folder, discovery, process);
    try {
      balancer.awaitReady(deadline);
      return balancer;
    } catch (RefusedException | TimeoutException | InterruptedException e) {
      balancer.close();
      throw e;
    }
  }

  private static String configuration(String discovery) {
    return "{\"name\":\"scale\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery
        + "\",\"seed\":\"1\",\"limits\":{\"sockets\":" + SOCKET_LIMIT
        + "},\"known\":{\"index\":0,\"snapshot\":true,\"endpoints\":[]},\"settings\":"
        + DemoSettings.JSON + "}";
  }

  private void awaitReady(Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException {
    readyMillis =
        deadline.await("the balancer is ready", () -> !process.isRunning() || readyLine() != null);
    if (!process.isRunning()) {
      throw new RefusedException(
          "serve exited with status " + process.status() + ": " + process.firstLine());
    }
  }

  private String readyLine() {
    return process.lines().stream()
        .filter(line -> line.contains(READY_MARKER))
        .findFirst()
        .orElse(null);
  }

  /** Returns the address at which the balancer accepts clients. */
  InetSocketAddress address() {
    String line = readyLine();
    return Addresses.parse(
        "log", line.substring(line.indexOf(READY_MARKER) + READY_MARKER.length()));
  }

  /** Returns the time from the start of the process until it was ready. */
  double readyMillis() {
    return readyMillis;
  }

  Duration processorTime() {
    return process.processorTime();
  }

  long residentBytes() throws IOException {
    return process.residentBytes();
  }

  long peakBytes() throws IOException {
    return process.peakBytes();
  }

  @Override
  public void close() {
    process.close();
    discovery.close();
    try {
      Files.deleteIfExists(folder.resolve("operator.toml"));
      Files.deleteIfExists(folder.resolve("config.json"));
      Files.deleteIfExists(folder);
    } catch (IOException e) {
      // A temporary folder that cannot be deleted does not affect the results.
    }
  }
}
