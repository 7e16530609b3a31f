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

/** Hollow balancers that all begin to watch one list, rest, and are told of changes one after the other. */
final class ListWatchScenario implements Scenario {

  private static final int CHANGES = 20;
  private static final Duration REST = Duration.ofSeconds(5);
  private static final int WARM_UPS = 10;
  /** Entries of a stand-in list point here; nothing ever connects. */
  private static final int FIRST_PORT = 10_000;

  /** How many of what grows, and of what stays. */
  private record Counts(int balancers, int upstreams) {}

  private static final Counts WARM_UP = new Counts(8, 1_000);

  private final Axis axis;
  private final int other;

  private ListWatchScenario(Axis axis, int other) {
    this.axis = axis;
    this.other = other;
  }

  /** So many balancers and ever more upstreams: what the control side of one holds. */
  static ListWatchScenario byUpstreams(int balancers) {
    return new ListWatchScenario(Axis.UPSTREAMS, balancers);
  }

  /** So many upstreams and ever more balancers: what the list source bears. */
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
    return axis == Axis.UPSTREAMS ? new Counts(other, size) : new Counts(size, other);
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
    for (int i = 0; i < WARM_UPS; i++) {
      measure(WARM_UP, Duration.ZERO, deadline);
    }
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws TimeoutException, InterruptedException, IOException {
    return measure(counts(size), REST, deadline);
  }

  private Map<String, Double> measure(Counts counts, Duration rest, Deadline deadline)
      throws TimeoutException, InterruptedException, IOException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (EventLoops loops = new EventLoops(counts.balancers());
        StandInDiscovery discovery = new StandInDiscovery(group)) {
      for (int i = 0; i < counts.upstreams(); i++) {
        tell(discovery, i, "in_service");
      }
      return measure(counts, rest, loops, discovery, deadline);
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  private static Map<String, Double> measure(
      Counts counts, Duration rest, EventLoops loops, StandInDiscovery discovery, Deadline deadline)
      throws TimeoutException, InterruptedException, IOException {
    WatchTerms terms = WatchTerms.of(Decoder.settings(Fields.parse("settings", DemoSettings.JSON)));
    CountingSockets sockets = new CountingSockets();
    Map<String, Double> figures = new TreeMap<>();
    double balancers = counts.balancers();
    long processor = loops.processorNanos();
    long startedAt = System.nanoTime();
    List<ListWatcher> watchers = new ArrayList<>(
        loops.callAll(i -> new ListWatcher(loops.get(i), sockets, discovery.address(), terms)));
    figures.put(
        "snapshot-ms", awaitVersion(loops, watchers, counts.upstreams() + 1, startedAt, deadline));
    figures.put("snapshot-processor-us", (loops.processorNanos() - processor) / 1e3 / balancers);
    figures.put("snapshot-bytes", sockets.readBytes() / balancers);
    figures.put("connections", sockets.connections() / balancers);

    long processorAtRest = loops.processorNanos();
    long bytesAtRest = sockets.readBytes();
    long from = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep(rest.toMillis());
    double balancerSeconds = balancers * (System.nanoTime() - from) / 1e9;
    figures.put(
        "processor-us-per-s", (loops.processorNanos() - processorAtRest) / 1e3 / balancerSeconds);
    figures.put("bytes-per-s", (sockets.readBytes() - bytesAtRest) / balancerSeconds);
    changes(counts, loops, discovery, watchers, sockets, figures, deadline);
    figures.put("failed-watches", (double) loops.callAll(i -> watchers.get(i).failures()).stream()
        .mapToLong(n -> n)
        .sum());
    figures.put("state-bytes", stateBytes(loops, watchers) / balancers);
    return figures;
  }

  /** The heap with all watchers less the heap once they are dropped. */
  private static double stateBytes(EventLoops loops, List<ListWatcher> watchers) {
    long with = ProcessMeter.heapAfterCollection();
    loops.callAll(i -> {
      watchers.get(i).close();
      return null;
    });
    watchers.clear();
    return with - ProcessMeter.heapAfterCollection();
  }

  private static void changes(
      Counts counts,
      EventLoops loops,
      StandInDiscovery discovery,
      List<ListWatcher> watchers,
      CountingSockets sockets,
      Map<String, Double> figures,
      Deadline deadline)
      throws TimeoutException, InterruptedException {
    long bytes = sockets.readBytes();
    double slowest = 0;
    for (int i = 0; i < CHANGES; i++) {
      long since = System.nanoTime();
      tell(discovery, i % counts.upstreams(), "terminating");
      int version = counts.upstreams() + 2 + i;
      slowest = Math.max(slowest, awaitVersion(loops, watchers, version, since, deadline));
    }
    figures.put("change-ms", slowest);
    figures.put(
        "change-bytes", (sockets.readBytes() - bytes) / (double) counts.balancers() / CHANGES);
  }

  /** Waits until all have a version, and says how long after a moment the last one had it, in milliseconds. */
  private static double awaitVersion(
      EventLoops loops, List<ListWatcher> watchers, long version, long since, Deadline deadline)
      throws TimeoutException, InterruptedException {
    deadline.await(
        "version " + version + " of the list at all",
        () -> loops.callAll(i -> watchers.get(i).index() >= version).stream().allMatch(b -> b));
    return loops.callAll(i -> watchers.get(i).toldAt() - since).stream()
            .mapToLong(nanos -> nanos)
            .max()
            .orElseThrow()
        / 1e6;
  }

  private static void tell(StandInDiscovery discovery, int number, String status) {
    InetSocketAddress nowhere =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + number);
    discovery.announce("upstream-" + number, nowhere, number / 25, status, 0);
  }
}
