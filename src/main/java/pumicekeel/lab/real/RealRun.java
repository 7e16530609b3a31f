package pumicekeel.lab.real;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.HdrHistogram.Histogram;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.Settings;
import pumicekeel.config.Configuration;
import pumicekeel.discovery.HostList;
import pumicekeel.lab.fleet.Deployment;
import pumicekeel.lab.world.EventScheduler;
import pumicekeel.lab.world.RandomStream;
import pumicekeel.lab.world.RequestKind;
import pumicekeel.lab.world.Server;
import pumicekeel.lab.world.Traffic;
import pumicekeel.lab.world.Traffic.Arrival;
import pumicekeel.lab.world.WorldSpec;
import pumicekeel.node.Node;
import pumicekeel.standin.StandInDiscovery;

/**
 * Plays a small world on real sockets, with the real program between clients and upstreams, all in this process. Upstreams, traffic and
 * settings are those of {@link pumicekeel.lab.fleet.FleetRun} with the same seed. Of the world's faults only bursts are played, and
 * clients do not retry.
 */
public final class RealRun {

  /**
   * The results of a run.
   *
   * @param failedOrTimedOut number of requests that failed or were not answered within the client's timeout
   * @param mismatched number of answers whose body belongs to another request
   * @param worth worth of the requests answered within their aim, relative to that of all requests
   * @param maxLatenessMillis maximum lateness of an event of the world itself
   */
  public record Figures(
      long requests,
      double servedShare,
      double refusedShare,
      long failedOrTimedOut,
      long mismatched,
      double worth,
      double p50Millis,
      double p99Millis,
      double maxLatenessMillis) {}

  private static final int MAX_SOCKETS = 8_192;
  private static final long ASK_WITHIN_NANOS = 10_000_000_000L;
  /** Time after the last arrival in which the remaining requests end. */
  private static final long TAIL_SECONDS = 7;

  private final WorldSpec spec;
  private final long seed;
  private final EventScheduler scheduler = new EventScheduler();
  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final RealTimeDriver driver = new RealTimeDriver(scheduler, loop);
  private final Map<String, Arrival> arrivalsById = new HashMap<>();
  private final AtomicBoolean crashed = new AtomicBoolean();

  /** Creates a run of a world with a seed. */
  public RealRun(WorldSpec spec, long seed) {
    this.spec = spec;
    this.seed = seed;
  }

  /** Plays the run in real time and returns its results. */
  public Figures play() throws IOException, InterruptedException {
    Deployment deployment = new Deployment(spec, scheduler, seed);
    List<SocketServer> socketServers = new ArrayList<>();
    List<Node> nodes = new ArrayList<>();
    MultiThreadIoEventLoopGroup discoveryLoops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      RandomStream random = new RandomStream(seed, "sockets");
      for (Server server : deployment.servers().values()) {
        socketServers.add(new SocketServer(server, loop, driver, random, arrivalsById::get));
      }
      StandInDiscovery discovery = new StandInDiscovery(discoveryLoops);
      announce(deployment, socketServers, discovery);
      List<SocketClients> clients = new ArrayList<>();
      for (int i = 0; i < spec.balancers(); i++) {
        Node node = new Node(
            new Configuration(
                "lab-" + i,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                discovery.address(),
                seed + i,
                MAX_SOCKETS,
                new HostList(0, true, List.of()),
                withListOnRequest(deployment.settings(i, "a"))),
            null,
            () -> crashed.set(true));
        nodes.add(node);
        clients.add(new SocketClients(loop, node.start()));
        node.awaitReady();
      }
      drive(deployment, clients);
      discovery.close();
      return collectFigures(clients);
    } finally {
      nodes.forEach(Node::close);
      socketServers.forEach(SocketServer::close);
      driver.stop();
      loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
      discoveryLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  /** Returns the settings with a list that is requested from discovery, as on the platform, instead of a pushed one. */
  private static Settings withListOnRequest(Settings settings) {
    Contract contract = settings.contract();
    return new Settings(
        settings.me(),
        settings.groupSize(),
        settings.zone(),
        settings.classes(),
        settings.tenants(),
        settings.limits(),
        new Contract(
            contract.answerSlackNanos(),
            ASK_WITHIN_NANOS,
            contract.drainGraceNanos(),
            contract.coldFrom(),
            contract.warmWithinNanos(),
            contract.fallMultiple(),
            contract.fallWindowNanos()),
        settings.prices(),
        true,
        settings.weightKind(),
        settings.overShareWorth(),
        settings.warmKeys(),
        settings.tickNanos());
  }

  private static void announce(
      Deployment deployment, List<SocketServer> socketServers, StandInDiscovery discovery) {
    int i = 0;
    for (Server server : deployment.servers().values()) {
      discovery.announce(
          "s" + server.id, socketServers.get(i++).address(), server.cellNumber, "in_service", 0);
    }
  }

  private void drive(Deployment deployment, List<SocketClients> clients)
      throws InterruptedException {
    CountDownLatch finished = new CountDownLatch(1);
    RandomStream choice = new RandomStream(seed, "front");
    loop.execute(() -> {
      long startNanos = driver.now();
      Traffic traffic = new Traffic(
          scheduler, spec, RequestKind.STANDARD_MIX, deployment.capacity(), seed, arrival -> {
            arrivalsById.put("q" + arrival.number(), arrival);
            clients.get(choice.below(clients.size())).submit(arrival);
          });
      traffic.start(startNanos);
      driver.scheduleNext();
      loop.schedule(
          finished::countDown,
          (long) (spec.seconds() * 1_000) + TAIL_SECONDS * 1_000,
          TimeUnit.MILLISECONDS);
    });
    finished.await();
    if (crashed.get()) {
      throw new IllegalStateException("a balancer crashed");
    }
  }

  private Figures collectFigures(List<SocketClients> clients) throws InterruptedException {
    List<SocketClients.Totals> totals = new ArrayList<>();
    CountDownLatch collected = new CountDownLatch(1);
    loop.execute(() -> {
      clients.forEach(client -> totals.add(client.totals()));
      collected.countDown();
    });
    collected.await();
    Histogram latency = new Histogram(3);
    totals.forEach(total -> latency.add(total.latency()));
    double requests = totals.stream().mapToLong(SocketClients.Totals::requests).sum();
    return new Figures(
        (long) requests,
        totals.stream().mapToLong(SocketClients.Totals::served).sum() / requests,
        totals.stream().mapToLong(SocketClients.Totals::refused).sum() / requests,
        totals.stream().mapToLong(total -> total.failed() + total.timedOut()).sum(),
        totals.stream().mapToLong(SocketClients.Totals::mismatched).sum(),
        totals.stream().mapToDouble(SocketClients.Totals::worthEarned).sum()
            / totals.stream().mapToDouble(SocketClients.Totals::worthOffered).sum(),
        latency.getValueAtPercentile(50) / 1e3,
        latency.getValueAtPercentile(99) / 1e3,
        driver.maxLatenessNanos() / 1e6);
  }
}
