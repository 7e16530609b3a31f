package pumicekeel.rig.scale;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.client.ControlCluster;

/**
 * Four real control machines and ever more hollow balancers: all ask for the whole configuration at once, rest, and are told of
 * changes one after the other.
 */
final class DeliveryScenario implements Scenario {

  private static final int MACHINES = 4;
  private static final int CHANGES = 10;
  private static final long EPOCH = 1;
  private static final Duration REST = Duration.ofSeconds(5);
  /** One copy of the text for all, what comes in parts, and the documents that deltas are made of. */
  private static final long TEXT_BYTES = 512L << 20;

  private final int percent;
  private final Duration rest;

  /** A configuration of so many percent of the target. */
  DeliveryScenario(int percent) {
    this(percent, REST);
  }

  /** So long are the subscribers watched at rest. */
  DeliveryScenario(int percent, Duration rest) {
    this.percent = percent;
    this.rest = rest;
  }

  @Override
  public String name() {
    return "delivery-of-" + percent + "-percent";
  }

  @Override
  public Role role() {
    return Role.CONTROL_MACHINE;
  }

  @Override
  public Axis axis() {
    return Axis.BALANCERS;
  }

  @Override
  public long estimatedBytes(int size) {
    return estimatedHeapBytes(size) + 2 * MACHINES * ControlMachines.HEAP_BYTES;
  }

  @Override
  public long estimatedHeapBytes(int size) {
    return HollowEstimate.bytes(size, 0, 0) + TEXT_BYTES;
  }

  @Override
  public long estimatedDescriptors(int size) {
    return HollowEstimate.descriptors(size);
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    ExecutorService worker = Executors.newSingleThreadExecutor();
    try (ControlMachines machines = ControlMachines.start(MACHINES, deadline);
        EventLoops loops = new EventLoops(size)) {
      Run run = new Run(machines, loops, worker, seed, deadline);
      run.snapshots();
      run.rest();
      run.changes();
      run.end();
      return run.figures;
    } finally {
      worker.shutdownNow();
    }
  }

  /** One measurement: its parts in their order. */
  private final class Run {
    private final ControlMachines machines;
    private final EventLoops loops;
    private final Deadline deadline;
    private final CountingSockets sockets = new CountingSockets();
    private final HollowSubscriber.Texts texts = new HollowSubscriber.Texts();
    private final List<HollowSubscriber> subscribers = new ArrayList<>();
    private final ConfigurationGenerator configuration;
    private final List<ConfigurationGenerator.Change> changes;
    private final ControlCluster cluster;
    private final Map<String, Double> figures = new TreeMap<>();

    private Run(
        ControlMachines machines,
        EventLoops loops,
        ExecutorService worker,
        long seed,
        Deadline deadline) {
      this.machines = machines;
      this.loops = loops;
      this.deadline = deadline;
      configuration =
          new ConfigurationGenerator(ConfigurationSizes.of(Axis.PERCENT, percent), seed);
      changes = configuration.changes(CHANGES);
      cluster = new ControlCluster(machines.addresses());
      for (int i = 0; i < loops.size(); i++) {
        subscribers.add(new HollowSubscriber(
            loops.get(i), sockets, "balancer-" + i, machines.addresses(), texts, worker, seed + i));
      }
    }

    private void snapshots() throws RefusedException, TimeoutException, InterruptedException {
      String text = configuration.text();
      figures.put("text-bytes", (double) text.length());
      ConfigurationVersion version = publish(text);
      double machineMicros = machines.processorMicros();
      long processor = loops.processorNanos();
      long from = System.nanoTime();
      subscribers.forEach(HollowSubscriber::start);
      List<Double> millis = awaitInForce(version, from);
      figures.put("snapshot-p50-ms", millis.get(millis.size() / 2));
      figures.put("snapshot-last-ms", millis.get(millis.size() - 1));
      figures.put("snapshot-bytes", perBalancer(sockets.readBytes()));
      figures.put("snapshot-calls", perBalancer(sockets.connections()));
      figures.put("snapshot-processor-us", perBalancer((loops.processorNanos() - processor) / 1e3));
      figures.put(
          "machine-snapshot-processor-us", (machines.processorMicros() - machineMicros) / MACHINES);
    }

    private void rest() throws InterruptedException {
      double machineMicros = machines.processorMicros();
      long processor = loops.processorNanos();
      long bytes = sockets.readBytes();
      long calls = sockets.connections();
      long from = System.nanoTime();
      TimeUnit.MILLISECONDS.sleep(rest.toMillis());
      double seconds = (System.nanoTime() - from) / 1e9;
      figures.put(
          "processor-us-per-s", perBalancer((loops.processorNanos() - processor) / 1e3) / seconds);
      figures.put("bytes-per-s", perBalancer(sockets.readBytes() - bytes) / seconds);
      figures.put("messages-per-s", perBalancer(sockets.connections() - calls) / seconds);
      figures.put(
          "machine-processor-us-per-s",
          (machines.processorMicros() - machineMicros) / MACHINES / seconds);
    }

    private void changes() throws RefusedException, TimeoutException, InterruptedException {
      List<Double> millis = new ArrayList<>();
      double last = 0;
      double machineMicros = machines.processorMicros();
      long processor = loops.processorNanos();
      long bytes = sockets.readBytes();
      for (int i = 1; i <= CHANGES; i++) {
        String text = configuration.text(changes.subList(0, i));
        long from = System.nanoTime();
        List<Double> times = awaitInForce(publish(text), from);
        last = Math.max(last, times.get(times.size() - 1));
        millis.addAll(times);
      }
      millis.sort(null);
      figures.put("change-p50-ms", millis.get(millis.size() / 2));
      figures.put("change-p99-ms", millis.get(millis.size() * 99 / 100));
      figures.put("change-last-ms", last);
      figures.put("change-bytes", perBalancer(sockets.readBytes() - bytes) / CHANGES);
      figures.put(
          "change-processor-us", perBalancer((loops.processorNanos() - processor) / 1e3) / CHANGES);
      figures.put(
          "machine-change-processor-us",
          (machines.processorMicros() - machineMicros) / MACHINES / CHANGES);
    }

    private void end() throws IOException {
      figures.put("machine-resident-peak-bytes", (double) machines.peakBytes());
      subscribers.forEach(HollowSubscriber::close);
    }

    private ConfigurationVersion publish(String text)
        throws RefusedException, InterruptedException {
      ControlCluster.Publication publication = cluster.publish(EPOCH, false, text);
      if (!publication.isAcknowledged()) {
        throw new RefusedException("no majority keeps the version: " + publication.refusal() + " "
            + publication.answers());
      }
      return publication.version();
    }

    /** Waits until all have a version; how long after a moment each had it, in milliseconds, the shortest first. */
    private List<Double> awaitInForce(ConfigurationVersion version, long since)
        throws TimeoutException, InterruptedException {
      deadline.await(
          "version " + version + " in force at all",
          () -> subscribers.stream().allMatch(s -> s.held().equals(version)));
      return subscribers.stream().map(s -> (s.heldAt() - since) / 1e6).sorted().toList();
    }

    private double perBalancer(double sum) {
      return sum / subscribers.size();
    }
  }
}
