package pumicekeel.rig.scale;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import pumicekeel.demo.DemoSettings;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInDiscovery;

/** A real balancer that starts with an operator file and rests: how soon it is ready, and what it holds. */
final class ServeScenario implements Scenario {

  private static final long HEAP_BYTES = 256L << 20;
  /** Those of the deploy file's {@code run}, but for the heap and without the archive. */
  private static final List<String> FLAGS = List.of(
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

  private static final int SOCKETS = 4_096;
  /** The file's text in this process, some copies of it. */
  private static final long TEXT_BYTES = 32L << 20;

  private static final long DESCRIPTORS = 200;
  private static final long RESIDENT_BYTES = 2 * HEAP_BYTES;
  private static final int REST_SECONDS = 5;
  private static final String READY = " serves at /";

  private final Axis axis;

  ServeScenario(Axis axis) {
    this.axis = axis;
  }

  @Override
  public String name() {
    return "serve-by-" + axis.key();
  }

  @Override
  public Role role() {
    return Role.DATA_PATH;
  }

  @Override
  public Axis axis() {
    return axis;
  }

  @Override
  public long estimatedBytes(int size) {
    return RESIDENT_BYTES;
  }

  @Override
  public long estimatedHeapBytes(int size) {
    return TEXT_BYTES;
  }

  @Override
  public long estimatedDescriptors(int size) {
    return DESCRIPTORS;
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    Path folder = Files.createTempDirectory("scale");
    Path operator = folder.resolve("operator.toml");
    Path configuration = folder.resolve("config.json");
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (StandInDiscovery discovery = new StandInDiscovery(group)) {
      Files.writeString(
          operator, new ConfigurationGenerator(ConfigurationSizes.of(axis, size), seed).text());
      Files.writeString(configuration, configuration(Addresses.text(discovery.address())));
      return measure(configuration, operator, deadline);
    } finally {
      Files.deleteIfExists(operator);
      Files.deleteIfExists(configuration);
      Files.delete(folder);
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  private static String configuration(String discovery) {
    return "{\"name\":\"scale\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery
        + "\",\"seed\":\"1\",\"limits\":{\"sockets\":" + SOCKETS
        + "},\"known\":{\"index\":0,\"snapshot\":true,\"endpoints\":[]},\"settings\":"
        + DemoSettings.JSON + "}";
  }

  private static Map<String, Double> measure(Path configuration, Path operator, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    Map<String, Double> figures = new TreeMap<>();
    try (ChildProcess balancer = ChildProcess.start(
        FLAGS,
        Map.of("PROXY_CONFIG", configuration.toString()),
        List.of("serve", "--operator", operator.toString()))) {
      figures.put(
          "ready-ms",
          deadline.await(
              "the balancer is ready",
              () -> !balancer.isRunning()
                  || balancer.lines().stream().anyMatch(line -> line.contains(READY))));
      if (!balancer.isRunning()) {
        throw new RefusedException("serve ended with " + balancer.status() + ": "
            + balancer.lines().stream().findFirst().orElse("no word"));
      }
      figures.put("ready-processor-ms", (double) balancer.processorTime().toMillis());
      double before = balancer.processorTime().toNanos();
      TimeUnit.SECONDS.sleep(REST_SECONDS);
      figures.put(
          "processor-us-per-s", (balancer.processorTime().toNanos() - before) / 1e3 / REST_SECONDS);
      figures.put("resident-bytes", (double) balancer.residentBytes());
      figures.put("resident-peak-bytes", (double) balancer.peakBytes());
    }
    return figures;
  }
}
