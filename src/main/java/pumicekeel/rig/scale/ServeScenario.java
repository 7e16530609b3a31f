package pumicekeel.rig.scale;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Measures a real balancer that starts with an operator file and stays idle: the time until it is ready, and the memory it uses. */
final class ServeScenario implements Scenario {

  /** A few copies of the file's text in this process. */
  private static final long FILE_TEXT_BYTES = 32L << 20;

  private static final long DESCRIPTORS = 200;
  /** Excludes the work that the JIT compiler threads still do after the start. */
  private static final int SETTLE_SECONDS = 3;

  private static final int IDLE_SECONDS = 5;

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
    return 2 * BalancerProcess.HEAP_BYTES;
  }

  @Override
  public long estimatedHeapBytes(int size) {
    return FILE_TEXT_BYTES;
  }

  @Override
  public long estimatedDescriptors(int size) {
    return DESCRIPTORS;
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    String operatorFile =
        new ConfigurationGenerator(ConfigurationSizes.of(axis, size), seed).text();
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (BalancerProcess balancer = BalancerProcess.start(operatorFile, group, deadline)) {
      Map<String, Double> figures = new TreeMap<>();
      figures.put("ready-ms", balancer.readyMillis());
      figures.put("ready-processor-ms", (double) balancer.processorTime().toMillis());
      TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
      double processorNanosBefore = balancer.processorTime().toNanos();
      TimeUnit.SECONDS.sleep(IDLE_SECONDS);
      figures.put(
          "processor-us-per-s",
          (balancer.processorTime().toNanos() - processorNanosBefore) / 1e3 / IDLE_SECONDS);
      figures.put("resident-bytes", (double) balancer.residentBytes());
      figures.put("resident-peak-bytes", (double) balancer.peakBytes());
      return figures;
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
