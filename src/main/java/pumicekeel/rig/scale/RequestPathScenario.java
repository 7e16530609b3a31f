package pumicekeel.rig.scale;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.HdrHistogram.Histogram;
import pumicekeel.load.HttpRequestTemplate;
import pumicekeel.load.Load;
import pumicekeel.load.LoadProfile;
import pumicekeel.load.LoadResults;
import pumicekeel.load.LoadResults.Outcome;
import pumicekeel.rig.scale.ConfigurationGenerator.Size;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInUpstream;

/**
 * Measures requests through a real balancer with a large configuration, alternating with requests through one with a single service:
 * latency as clients see it, including loopback and stand-ins, and the connections that the balancer opens.
 */
final class RequestPathScenario implements Scenario {

  /** One service of the target configuration: 25 upstreams, and its share of the tenants and routes. */
  private static final Size SINGLE_SERVICE = new Size(1, 45, 160, 25);

  private static final double NORMAL_REQUESTS_PER_SECOND = 203;
  /** A balancer's share while one zone of five has failed. */
  private static final double BURST_REQUESTS_PER_SECOND = 254;

  private static final Duration INTERVAL = Duration.ofSeconds(8);
  private static final Duration WARM_UP = Duration.ofSeconds(5);
  /** Number of clients if there are fewer services than this; each client has its own connection and tenant. */
  private static final int MIN_CLIENTS = 64;

  private static final long DEADLINE_MILLIS = 2_000;
  private static final String CLASS_NAME = "lookup";
  private static final long BASE_DESCRIPTORS = 4_000;
  /** An upstream's listener and request log. */
  private static final long UPSTREAM_BYTES = 20_000;

  /** A balancer with its upstreams and its configuration. */
  private record Deployment(
      ConfigurationGenerator configuration,
      List<StandInUpstream> upstreams,
      BalancerProcess balancer) {

    long openedConnections() {
      return upstreams.stream().mapToLong(StandInUpstream::opened).sum();
    }
  }

  private final Duration warmUp;
  private final Duration interval;

  RequestPathScenario() {
    this(WARM_UP, INTERVAL);
  }

  /** Creates a scenario that sends requests to each balancer for {@code warmUp} unmeasured, then for {@code interval} per measurement. */
  RequestPathScenario(Duration warmUp, Duration interval) {
    this.warmUp = warmUp;
    this.interval = interval;
  }

  @Override
  public String name() {
    return "request-path";
  }

  @Override
  public Role role() {
    return Role.DATA_PATH;
  }

  @Override
  public Axis axis() {
    return Axis.PERCENT;
  }

  @Override
  public long estimatedBytes(int size) {
    return 4 * BalancerProcess.HEAP_BYTES + estimatedHeapBytes(size);
  }

  @Override
  public long estimatedHeapBytes(int size) {
    return UPSTREAM_BYTES * ConfigurationSizes.of(Axis.PERCENT, size).upstreams();
  }

  @Override
  public long estimatedDescriptors(int size) {
    return BASE_DESCRIPTORS + ConfigurationSizes.of(Axis.PERCENT, size).upstreams();
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    EventLoopGroup standIns = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    List<Deployment> deployments = new ArrayList<>();
    try {
      deployments.add(start(SINGLE_SERVICE, seed, standIns, deadline));
      deployments.add(start(ConfigurationSizes.of(Axis.PERCENT, size), seed, standIns, deadline));
      return measureAlternately(deployments.get(0), deployments.get(1), clients);
    } finally {
      for (Deployment deployment : deployments) {
        deployment.balancer().close();
        deployment.upstreams().forEach(StandInUpstream::close);
      }
      standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
      clients.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  private static Deployment start(Size size, long seed, EventLoopGroup standIns, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    List<StandInUpstream> upstreams = new ArrayList<>();
    for (int i = 0; i < size.upstreams(); i++) {
      upstreams.add(new StandInUpstream(ConfigurationGenerator.upstreamName(i), standIns, 0));
    }
    ConfigurationGenerator configuration = new ConfigurationGenerator(size, seed)
        .withUpstreams(i -> Addresses.text(upstreams.get(i).address()));
    try {
      return new Deployment(
          configuration,
          upstreams,
          BalancerProcess.start(operatorFile(configuration), standIns, deadline));
    } catch (RefusedException | TimeoutException | IOException e) {
      upstreams.forEach(StandInUpstream::close);
      throw e;
    }
  }

  /** Returns the operator file, with one last route per service that matches the paths that the load generator uses. */
  private static String operatorFile(ConfigurationGenerator configuration) {
    StringBuilder file = new StringBuilder(configuration.text());
    for (int pool = 0; pool < configuration.size().pools(); pool++) {
      file.append("[[routes]]\nname = \"load-").append(pool).append("\"\nhost = \"");
      file.append(configuration.host(pool)).append("\"\npath-prefix = \"/").append(CLASS_NAME);
      file.append("\"\npool = \"").append(ConfigurationGenerator.poolName(pool)).append("\"\n\n");
    }
    return file.toString();
  }

  private Map<String, Double> measureAlternately(
      Deployment single, Deployment full, EventLoopGroup clients) throws InterruptedException {
    measureInterval(single, NORMAL_REQUESTS_PER_SECOND, warmUp, clients);
    measureInterval(full, NORMAL_REQUESTS_PER_SECOND, warmUp, clients);
    Map<String, Double> figures = new TreeMap<>();
    measureInterval(single, NORMAL_REQUESTS_PER_SECOND, interval, clients).addTo(figures, "one-");
    measureInterval(full, NORMAL_REQUESTS_PER_SECOND, interval, clients).addTo(figures, "");
    measureInterval(single, BURST_REQUESTS_PER_SECOND, interval, clients)
        .addTo(figures, "one-burst-");
    measureInterval(full, BURST_REQUESTS_PER_SECOND, interval, clients).addTo(figures, "burst-");
    return figures;
  }

  /** Results of one measurement interval. */
  private record IntervalResult(
      Histogram latencyMicros, long sent, long served, long opened, double processorMicros) {

    void addTo(Map<String, Double> figures, String prefix) {
      figures.put(prefix + "p50-us", (double) latencyMicros.getValueAtPercentile(50));
      figures.put(prefix + "p99-us", (double) latencyMicros.getValueAtPercentile(99));
      figures.put(prefix + "connections-per-request", opened / (double) Math.max(1, sent));
      figures.put(prefix + "not-served", (double) (sent - served));
      figures.put(prefix + "asked", (double) sent);
      figures.put(prefix + "processor-per-request-us", processorMicros / Math.max(1, sent));
    }
  }

  private static IntervalResult measureInterval(
      Deployment deployment, double requestsPerSecond, Duration time, EventLoopGroup clients)
      throws InterruptedException {
    long openedBefore = deployment.openedConnections();
    long processorNanosBefore = deployment.balancer().processorTime().toNanos();
    int services = deployment.configuration().size().pools();
    int clientCount = Math.max(MIN_CLIENTS, services);
    List<Load> loads = new ArrayList<>();
    for (int client = 0; client < clientCount; client++) {
      loads.add(newClient(deployment, client, requestsPerSecond / clientCount, clients)
          .start());
    }
    TimeUnit.MILLISECONDS.sleep(time.toMillis());
    Histogram latencyMicros = new Histogram(3);
    long sent = 0;
    long served = 0;
    for (Load load : loads) {
      LoadResults results = load.stop();
      latencyMicros.add(results.latency());
      sent += results.sent();
      served += results.count(Outcome.SERVED);
    }
    double processorMicros =
        (deployment.balancer().processorTime().toNanos() - processorNanosBefore) / 1e3;
    return new IntervalResult(
        latencyMicros,
        sent,
        served,
        deployment.openedConnections() - openedBefore,
        processorMicros);
  }

  /** Creates a client with one connection that sends requests to one service as one tenant. */
  private static Load newClient(
      Deployment deployment, int client, double requestsPerSecond, EventLoopGroup clients) {
    int service = client % deployment.configuration().size().pools();
    return new Load(
        deployment.balancer().address(),
        clients,
        new HttpRequestTemplate(
            deployment.configuration().host(service),
            CLASS_NAME,
            false,
            ConfigurationGenerator.tenantName(client),
            DEADLINE_MILLIS),
        LoadProfile.openLoop(1, requestsPerSecond),
        "client" + client + "-" + System.nanoTime(),
        client);
  }
}
