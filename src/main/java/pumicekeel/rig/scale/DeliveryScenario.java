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
 * Measures the delivery of a configuration by four real control machines to a growing number of hollow balancers: all request the
 * whole configuration at once, stay idle, and then receive changes one at a time.
 */
final class DeliveryScenario implements Scenario {

  private static final int CONTROL_MACHINES = 4;
  private static final int CHANGE_COUNT = 10;
  private static final long EPOCH = 1;
  private static final Duration IDLE_TIME = Duration.ofSeconds(5);
  /** The one shared copy of the text, partially received texts, and the documents from which deltas are computed. */
  private static final long TEXT_BYTES = 512L << 20;

  private final int percent;
  private final Duration idleTime;

  /** Creates a scenario with a configuration of the given percentage of the target. */
  DeliveryScenario(int percent) {
    this(percent, IDLE_TIME);
  }

  /** Creates a scenario that measures the idle subscribers for the given time. */
  DeliveryScenario(int percent, Duration idleTime) {
    this.percent = percent;
    this.idleTime = idleTime;
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
    return estimatedHeapBytes(size) + 2 * CONTROL_MACHINES * ControlMachines.HEAP_BYTES;
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
    try (ControlMachines machines = ControlMachines.start(CONTROL_MACHINES, deadline);
        EventLoops loops = new EventLoops(size)) {
      Measurement measurement = new Measurement(machines, loops, worker, seed, deadline);
      measurement.measureSnapshots();
      measurement.measureIdle();
      measurement.measureChanges();
      measurement.finish();
      return measurement.figures;
    } finally {
      worker.shutdownNow();
    }
  }

  /** One measurement; its steps are called in the order in which they are declared. */
  private final class Measurement {
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

    private Measurement(
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
      changes = configuration.changes(CHANGE_COUNT);
      cluster = new ControlCluster(machines.addresses());
      for (int i = 0; i < loops.size(); i++) {
        subscribers.add(new HollowSubscriber(
            loops.get(i), sockets, "balancer-" + i, machines.addresses(), texts, worker, seed + i));
      }
    }

    private void measureSnapshots()
        throws RefusedException, TimeoutException, InterruptedException {
      String text = configuration.text();
      figures.put("text-bytes", (double) text.length());
      ConfigurationVersion version = publish(text);
      double machineMicrosBefore = machines.processorMicros();
      long processorBefore = loops.processorNanos();
      long startedAt = System.nanoTime();
      subscribers.forEach(HollowSubscriber::start);
      List<Double> latenciesMillis = awaitInForce(version, startedAt);
      figures.put("snapshot-p50-ms", latenciesMillis.get(latenciesMillis.size() / 2));
      figures.put("snapshot-last-ms", latenciesMillis.get(latenciesMillis.size() - 1));
      figures.put("snapshot-bytes", perBalancer(sockets.readBytes()));
      figures.put("snapshot-calls", perBalancer(sockets.connections()));
      figures.put(
          "snapshot-processor-us", perBalancer((loops.processorNanos() - processorBefore) / 1e3));
      figures.put(
          "machine-snapshot-processor-us",
          (machines.processorMicros() - machineMicrosBefore) / CONTROL_MACHINES);
    }

    private void measureIdle() throws InterruptedException {
      double machineMicrosBefore = machines.processorMicros();
      long processorBefore = loops.processorNanos();
      long bytesBefore = sockets.readBytes();
      long callsBefore = sockets.connections();
      long startedAt = System.nanoTime();
      TimeUnit.MILLISECONDS.sleep(idleTime.toMillis());
      double seconds = (System.nanoTime() - startedAt) / 1e9;
      figures.put(
          "processor-us-per-s",
          perBalancer((loops.processorNanos() - processorBefore) / 1e3) / seconds);
      figures.put("bytes-per-s", perBalancer(sockets.readBytes() - bytesBefore) / seconds);
      figures.put("messages-per-s", perBalancer(sockets.connections() - callsBefore) / seconds);
      figures.put(
          "machine-processor-us-per-s",
          (machines.processorMicros() - machineMicrosBefore) / CONTROL_MACHINES / seconds);
    }

    private void measureChanges() throws RefusedException, TimeoutException, InterruptedException {
      List<Double> latenciesMillis = new ArrayList<>();
      double slowestMillis = 0;
      double machineMicrosBefore = machines.processorMicros();
      long processorBefore = loops.processorNanos();
      long bytesBefore = sockets.readBytes();
      for (int i = 1; i <= CHANGE_COUNT; i++) {
        String text = configuration.text(changes.subList(0, i));
        long publishedAt = System.nanoTime();
        List<Double> changeMillis = awaitInForce(publish(text), publishedAt);
        slowestMillis = Math.max(slowestMillis, changeMillis.get(changeMillis.size() - 1));
        latenciesMillis.addAll(changeMillis);
      }
      latenciesMillis.sort(null);
      figures.put("change-p50-ms", latenciesMillis.get(latenciesMillis.size() / 2));
      figures.put("change-p99-ms", latenciesMillis.get(latenciesMillis.size() * 99 / 100));
      figures.put("change-last-ms", slowestMillis);
      figures.put("change-bytes", perBalancer(sockets.readBytes() - bytesBefore) / CHANGE_COUNT);
      figures.put(
          "change-processor-us",
          perBalancer((loops.processorNanos() - processorBefore) / 1e3) / CHANGE_COUNT);
      figures.put(
          "machine-change-processor-us",
          (machines.processorMicros() - machineMicrosBefore) / CONTROL_MACHINES / CHANGE_COUNT);
    }

    private void finish() throws IOException {
      figures.put("machine-resident-peak-bytes", (double) machines.peakBytes());
      subscribers.forEach(HollowSubscriber::close);
    }

    private ConfigurationVersion publish(String text)
        throws RefusedException, InterruptedException {
      ControlCluster.Publication publication = cluster.publish(EPOCH, false, text);
      if (!publication.isAcknowledged()) {
        throw new RefusedException(
            "version not acknowledged by a majority of the control machines: "
                + publication.refusal() + " " + publication.answers());
      }
      return publication.version();
    }

    /** Waits until a version is in force at all subscribers; returns their latencies since {@code since} in milliseconds, ascending. */
    private List<Double> awaitInForce(ConfigurationVersion version, long since)
        throws TimeoutException, InterruptedException {
      deadline.await(
          "version " + version + " is in force at all subscribers",
          () -> subscribers.stream()
              .allMatch(subscriber -> subscriber.versionInForce().equals(version)));
      return subscribers.stream()
          .map(subscriber -> (subscriber.inForceSince() - since) / 1e6)
          .sorted()
          .toList();
    }

    private double perBalancer(double total) {
      return total / subscribers.size();
    }
  }
}
