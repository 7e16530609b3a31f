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
 * A small world on real sockets: the same upstreams, traffic and settings as {@link pumicekeel.lab.fleet.FleetRun} has under the seed,
 * with the real program between them, all of it in this process. Without faults but bursts, and without clients' second tries.
 */
public final class RealRun {

  /** What came of it, beside what the world itself was late by. */
  public record Figures(
      long asked,
      double servedPart,
      double refusedPart,
      long otherOrNone,
      long wrong,
      double worth,
      double p50Millis,
      double p99Millis,
      double lateMillis) {}

  private static final int SOCKETS = 8_192;
  private static final long ASK_WITHIN = 10_000_000_000L;
  private static final long TAIL_SECONDS = 7;

  private final WorldSpec spec;
  private final long seed;
  private final EventScheduler scheduler = new EventScheduler();
  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final Pump pump = new Pump(scheduler, loop);
  private final Map<String, Arrival> asks = new HashMap<>();
  private final AtomicBoolean crashed = new AtomicBoolean();

  public RealRun(WorldSpec spec, long seed) {
    this.spec = spec;
    this.seed = seed;
  }

  /** Plays it in real time. */
  public Figures play() throws IOException, InterruptedException {
    Deployment deployment = new Deployment(spec, scheduler, seed);
    List<ServerSocketSide> sides = new ArrayList<>();
    List<Node> nodes = new ArrayList<>();
    MultiThreadIoEventLoopGroup other =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      RandomStream random = new RandomStream(seed, "sockets");
      for (Server s : deployment.servers().values()) {
        sides.add(new ServerSocketSide(s, loop, pump, random, asks::get));
      }
      StandInDiscovery discovery = new StandInDiscovery(other);
      tell(deployment, sides, discovery);
      List<Asker> askers = new ArrayList<>();
      for (int i = 0; i < spec.balancers(); i++) {
        Node node = new Node(
            new Configuration(
                "lab-" + i,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                discovery.address(),
                seed + i,
                SOCKETS,
                new HostList(0, true, List.of()),
                asked(deployment.settings(i, "a"))),
            null,
            () -> crashed.set(true));
        nodes.add(node);
        askers.add(new Asker(loop, node.start()));
        node.awaitReady();
      }
      drive(deployment, askers);
      discovery.close();
      return account(askers);
    } finally {
      nodes.forEach(Node::close);
      sides.forEach(ServerSocketSide::close);
      pump.stop();
      loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
      other.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  /** The same settings for a list that is asked for, as the platform's is. */
  private static Settings asked(Settings s) {
    Contract c = s.contract();
    return new Settings(
        s.me(),
        s.groupSize(),
        s.zone(),
        s.classes(),
        s.tenants(),
        s.limits(),
        new Contract(
            c.answerSlackNanos(),
            ASK_WITHIN,
            c.drainGraceNanos(),
            c.coldFrom(),
            c.warmWithinNanos(),
            c.fallMultiple(),
            c.fallWindowNanos()),
        s.prices(),
        true,
        s.weightKind(),
        s.overShareWorth(),
        s.warmKeys(),
        s.tickNanos());
  }

  private static void tell(
      Deployment deployment, List<ServerSocketSide> sides, StandInDiscovery discovery) {
    int i = 0;
    for (Server s : deployment.servers().values()) {
      discovery.announce("s" + s.id, sides.get(i++).address(), s.cellNumber, "in_service", 0);
    }
  }

  private void drive(Deployment deployment, List<Asker> askers) throws InterruptedException {
    CountDownLatch over = new CountDownLatch(1);
    RandomStream choice = new RandomStream(seed, "front");
    loop.execute(() -> {
      long from = pump.now();
      Traffic traffic = new Traffic(
          scheduler, spec, RequestKind.STANDARD_MIX, deployment.capacity(), seed, ask -> {
            asks.put("q" + ask.number(), ask);
            askers.get(choice.below(askers.size())).ask(ask);
          });
      traffic.start(from);
      pump.plan();
      loop.schedule(
          over::countDown,
          (long) (spec.seconds() * 1_000) + TAIL_SECONDS * 1_000,
          TimeUnit.MILLISECONDS);
    });
    over.await();
    if (crashed.get()) {
      throw new IllegalStateException("a balancer crashed");
    }
  }

  private Figures account(List<Asker> askers) throws InterruptedException {
    List<Asker.Account> all = new ArrayList<>();
    CountDownLatch read = new CountDownLatch(1);
    loop.execute(() -> {
      askers.forEach(a -> all.add(a.account()));
      read.countDown();
    });
    read.await();
    Histogram latency = new Histogram(3);
    all.forEach(a -> latency.add(a.latency()));
    double asked = all.stream().mapToLong(Asker.Account::asked).sum();
    return new Figures(
        (long) asked,
        all.stream().mapToLong(Asker.Account::served).sum() / asked,
        all.stream().mapToLong(Asker.Account::refused).sum() / asked,
        all.stream().mapToLong(a -> a.other() + a.unanswered()).sum(),
        all.stream().mapToLong(Asker.Account::wrong).sum(),
        all.stream().mapToDouble(Asker.Account::worthEarned).sum()
            / all.stream().mapToDouble(Asker.Account::worthAsked).sum(),
        latency.getValueAtPercentile(50) / 1e3,
        latency.getValueAtPercentile(99) / 1e3,
        pump.worstLateNanos() / 1e6);
  }
}
