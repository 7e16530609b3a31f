package pumicekeel.rig.scale;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;
import pumicekeel.demo.DemoSettings;
import pumicekeel.discovery.WatchTerms;
import pumicekeel.standin.StandInDiscovery;

/** Measures hollow balancers that all start to watch one list at once, stay idle, and then receive changes one at a time. */
final class ListWatchScenario implements Scenario {

  private static final int CHANGE_COUNT = 20;
  private static final Duration IDLE_TIME = Duration.ofSeconds(5);
  private static final int WARM_UP_MEASUREMENTS = 10;
  /** Port of the first entry of the stand-in list; no connection is ever made to any entry. */
  private static final int FIRST_PORT = 10_000;

  /** Numbers of balancers and of upstreams in one measurement. */
  private record Counts(int balancers, int upstreams) {}

  private static final Counts WARM_UP_COUNTS = new Counts(8, 1_000);

  private final Axis axis;
  private final int fixedCount;

  private ListWatchScenario(Axis axis, int fixedCount) {
    this.axis = axis;
    this.fixedCount = fixedCount;
  }

  /** Creates a scenario with a fixed number of balancers and a growing list, which measures the control side of one balancer. */
  static ListWatchScenario byUpstreams(int balancers) {
    return new ListWatchScenario(Axis.UPSTREAMS, balancers);
  }

  /** Creates a scenario with a list of fixed length and a growing number of balancers, which measures the load on the list source. */
  static ListWatchScenario byBalancers(int upstreams) {
    return new ListWatchScenario(Axis.BALANCERS, upstreams);
  }

  @Override
  public String name() {
    return axis == Axis.UPSTREAMS ? "list-by-upstreams" : "list-by-balancers";
  }

  @Override
  public Role role() {
    return axis == Axis.UPSTREAMS ? Role.CONTROL_SIDE : Role.LIST_SOURCE;
  }

  @Override
  public Axis axis() {
    return axis;
  }

  private Counts counts(int size) {
    return axis == Axis.UPSTREAMS ? new Counts(fixedCount, size) : new Counts(size, fixedCount);
  }

  @Override
  public long estimatedBytes(int size) {
    Counts counts = counts(size);
    return HollowEstimate.bytes(counts.balancers(), 0, counts.upstreams());
  }

  @Override
  public long estimatedDescriptors(int size) {
    return HollowEstimate.descriptors(counts(size).balancers());
  }

  @Override
  public void warmUp(long seed, Deadline deadline)
      throws TimeoutException, InterruptedException, IOException {
    for (int i = 0; i < WARM_UP_MEASUREMENTS; i++) {
      measure(WARM_UP_COUNTS, Duration.ZERO, deadline);
    }
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws TimeoutException, InterruptedException, IOException {
    return measure(counts(size), IDLE_TIME, deadline);
  }

  private Map<String, Double> measure(Counts counts, Duration idleTime, Deadline deadline)
      throws TimeoutException, InterruptedException, IOException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (EventLoops loops = new EventLoops(counts.balancers());
        StandInDiscovery discovery = new StandInDiscovery(group)) {
      for (int i = 0; i < counts.upstreams(); i++) {
        announce(discovery, i, "in_service");
      }
      return measure(counts, idleTime, loops, discovery, deadline);
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  private static Map<String, Double> measure(
      Counts counts,
      Duration idleTime,
      EventLoops loops,
      StandInDiscovery discovery,
      Deadline deadline)
      throws TimeoutException, InterruptedException, IOException {
    WatchTerms terms = WatchTerms.of(Decoder.settings(Fields.parse("settings", DemoSettings.JSON)));
    CountingSockets sockets = new CountingSockets();
    Map<String, Double> figures = new TreeMap<>();
    double balancerCount = counts.balancers();
    long processorBefore = loops.processorNanos();
    long startedAt = System.nanoTime();
    List<ListWatcher> watchers = new ArrayList<>(
        loops.callAll(i -> new ListWatcher(loops.get(i), sockets, discovery.address(), terms)));
    figures.put(
        "snapshot-ms", awaitVersion(loops, watchers, counts.upstreams() + 1, startedAt, deadline));
    figures.put(
        "snapshot-processor-us", (loops.processorNanos() - processorBefore) / 1e3 / balancerCount);
    figures.put("snapshot-bytes", sockets.readBytes() / balancerCount);
    figures.put("connections", sockets.connections() / balancerCount);

    long idleProcessorBefore = loops.processorNanos();
    long idleBytesBefore = sockets.readBytes();
    long idleSince = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep(idleTime.toMillis());
    double balancerSeconds = balancerCount * (System.nanoTime() - idleSince) / 1e9;
    figures.put(
        "processor-us-per-s",
        (loops.processorNanos() - idleProcessorBefore) / 1e3 / balancerSeconds);
    figures.put("bytes-per-s", (sockets.readBytes() - idleBytesBefore) / balancerSeconds);
    measureChanges(counts, loops, discovery, watchers, sockets, figures, deadline);
    figures.put("failed-watches", (double) loops.callAll(i -> watchers.get(i).failures()).stream()
        .mapToLong(n -> n)
        .sum());
    figures.put("state-bytes", stateBytes(loops, watchers) / balancerCount);
    return figures;
  }

  /** Returns the heap size with all watchers minus that without them. */
  private static double stateBytes(EventLoops loops, List<ListWatcher> watchers) {
    long heapWithWatchers = ProcessMeter.heapAfterCollection();
    loops.callAll(i -> {
      watchers.get(i).close();
      return null;
    });
    watchers.clear();
    return heapWithWatchers - ProcessMeter.heapAfterCollection();
  }

  private static void measureChanges(
      Counts counts,
      EventLoops loops,
      StandInDiscovery discovery,
      List<ListWatcher> watchers,
      CountingSockets sockets,
      Map<String, Double> figures,
      Deadline deadline)
      throws TimeoutException, InterruptedException {
    long bytesBefore = sockets.readBytes();
    double slowestMillis = 0;
    for (int i = 0; i < CHANGE_COUNT; i++) {
      long since = System.nanoTime();
      announce(discovery, i % counts.upstreams(), "terminating");
      int version = counts.upstreams() + 2 + i;
      slowestMillis =
          Math.max(slowestMillis, awaitVersion(loops, watchers, version, since, deadline));
    }
    figures.put("change-ms", slowestMillis);
    figures.put(
        "change-bytes",
        (sockets.readBytes() - bytesBefore) / (double) counts.balancers() / CHANGE_COUNT);
  }

  /** Waits until all watchers have a version; returns the latency of the last one since {@code since}, in milliseconds. */
  private static double awaitVersion(
      EventLoops loops, List<ListWatcher> watchers, long version, long since, Deadline deadline)
      throws TimeoutException, InterruptedException {
    deadline.await(
        "version " + version + " of the list received by all watchers",
        () -> loops.callAll(i -> watchers.get(i).index() >= version).stream()
            .allMatch(received -> received));
    return loops.callAll(i -> watchers.get(i).receivedAt() - since).stream()
            .mapToLong(nanos -> nanos)
            .max()
            .orElseThrow()
        / 1e6;
  }

  private static void announce(StandInDiscovery discovery, int number, String status) {
    InetSocketAddress unusedAddress =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + number);
    discovery.announce("upstream-" + number, unusedAddress, number / 25, status, 0);
  }
}
