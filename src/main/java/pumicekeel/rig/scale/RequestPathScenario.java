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
 * Requests through a real balancer with a large configuration, and by turns through one with a single service: latency as clients
 * see it, loopback and stand-ins included, and connections that the balancer opens.
 */
final class RequestPathScenario implements Scenario {

  /** One service as it is at the target: 25 upstreams, its part of the tenants and routes. */
  private static final Size ONE_SERVICE = new Size(1, 45, 160, 25);

  private static final double USUAL_PER_SECOND = 203;
  /** A balancer's part while one zone of five is lost. */
  private static final double BURST_PER_SECOND = 254;

  private static final Duration TURN = Duration.ofSeconds(8);
  private static final Duration WARM_UP = Duration.ofSeconds(5);
  /** Clients where there are fewer services; each has a connection and a tenant of its own. */
  private static final int LEAST_CLIENTS = 64;

  private static final long PATIENCE_MILLIS = 2_000;
  private static final String CLASS = "lookup";
  private static final long DESCRIPTORS = 4_000;
  /** An upstream's listener and its log. */
  private static final long UPSTREAM_BYTES = 20_000;

  /** A balancer, its upstreams and what is asked of it. */
  private record Side(
      ConfigurationGenerator configuration,
      List<StandInUpstream> upstreams,
      BalancerProcess balancer) {

    long opened() {
      return upstreams.stream().mapToLong(StandInUpstream::opened).sum();
    }
  }

  private final Duration warmUp;
  private final Duration turn;

  RequestPathScenario() {
    this(WARM_UP, TURN);
  }

  /** So long is each side asked before it counts, and in each turn. */
  RequestPathScenario(Duration warmUp, Duration turn) {
    this.warmUp = warmUp;
    this.turn = turn;
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
    return DESCRIPTORS + ConfigurationSizes.of(Axis.PERCENT, size).upstreams();
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    EventLoopGroup standIns = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    List<Side> sides = new ArrayList<>();
    try {
      sides.add(start(ONE_SERVICE, seed, standIns, deadline));
      sides.add(start(ConfigurationSizes.of(Axis.PERCENT, size), seed, standIns, deadline));
      return byTurns(sides.get(0), sides.get(1), clients);
    } finally {
      for (Side side : sides) {
        side.balancer().close();
        side.upstreams().forEach(StandInUpstream::close);
      }
      standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
      clients.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  private static Side start(Size size, long seed, EventLoopGroup standIns, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    List<StandInUpstream> upstreams = new ArrayList<>();
    for (int i = 0; i < size.upstreams(); i++) {
      upstreams.add(new StandInUpstream(ConfigurationGenerator.upstreamName(i), standIns, 0));
    }
    ConfigurationGenerator configuration = new ConfigurationGenerator(size, seed)
        .withUpstreams(i -> Addresses.text(upstreams.get(i).address()));
    try {
      return new Side(
          configuration, upstreams, BalancerProcess.start(file(configuration), standIns, deadline));
    } catch (RefusedException | TimeoutException | IOException e) {
      upstreams.forEach(StandInUpstream::close);
      throw e;
    }
  }

  /** Behind all other routes one for each service takes the paths that the load makes up. */
  private static String file(ConfigurationGenerator configuration) {
    StringBuilder file = new StringBuilder(configuration.text());
    for (int pool = 0; pool < configuration.size().pools(); pool++) {
      file.append("[[routes]]\nname = \"load-").append(pool).append("\"\nhost = \"");
      file.append(configuration.host(pool)).append("\"\npath-prefix = \"/").append(CLASS);
      file.append("\"\npool = \"").append(ConfigurationGenerator.poolName(pool)).append("\"\n\n");
    }
    return file.toString();
  }

  private Map<String, Double> byTurns(Side one, Side all, EventLoopGroup clients)
      throws InterruptedException {
    turn(one, USUAL_PER_SECOND, warmUp, clients);
    turn(all, USUAL_PER_SECOND, warmUp, clients);
    Map<String, Double> figures = new TreeMap<>();
    turn(one, USUAL_PER_SECOND, turn, clients).into(figures, "one-");
    turn(all, USUAL_PER_SECOND, turn, clients).into(figures, "");
    turn(one, BURST_PER_SECOND, turn, clients).into(figures, "one-burst-");
    turn(all, BURST_PER_SECOND, turn, clients).into(figures, "burst-");
    return figures;
  }

  /** What one turn came to. */
  private record Turn(Histogram micros, long asked, long served, long opened, double processor) {

    void into(Map<String, Double> figures, String prefix) {
      figures.put(prefix + "p50-us", (double) micros.getValueAtPercentile(50));
      figures.put(prefix + "p99-us", (double) micros.getValueAtPercentile(99));
      figures.put(prefix + "connections-per-request", opened / (double) Math.max(1, asked));
      figures.put(prefix + "not-served", (double) (asked - served));
      figures.put(prefix + "asked", (double) asked);
      figures.put(prefix + "processor-per-request-us", processor / Math.max(1, asked));
    }
  }

  private static Turn turn(Side side, double perSecond, Duration time, EventLoopGroup clients)
      throws InterruptedException {
    long openedBefore = side.opened();
    long processorBefore = side.balancer().processorTime().toNanos();
    int services = side.configuration().size().pools();
    int clientCount = Math.max(LEAST_CLIENTS, services);
    List<Load> loads = new ArrayList<>();
    for (int client = 0; client < clientCount; client++) {
      loads.add(client(side, client, perSecond / clientCount, clients).start());
    }
    TimeUnit.MILLISECONDS.sleep(time.toMillis());
    Histogram micros = new Histogram(3);
    long asked = 0;
    long served = 0;
    for (Load load : loads) {
      LoadResults results = load.stop();
      micros.add(results.latency());
      asked += results.sent();
      served += results.count(Outcome.SERVED);
    }
    double processor = (side.balancer().processorTime().toNanos() - processorBefore) / 1e3;
    return new Turn(micros, asked, served, side.opened() - openedBefore, processor);
  }

  /** A client with one connection that asks one service as one tenant. */
  private static Load client(Side side, int client, double perSecond, EventLoopGroup clients) {
    int service = client % side.configuration().size().pools();
    return new Load(
        side.balancer().address(),
        clients,
        new HttpRequestTemplate(
            side.configuration().host(service),
            CLASS,
            false,
            ConfigurationGenerator.tenantName(client),
            PATIENCE_MILLIS),
        LoadProfile.openLoop(1, perSecond),
        "client" + client + "-" + System.nanoTime(),
        client);
  }
}
