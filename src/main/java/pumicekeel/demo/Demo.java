package pumicekeel.demo;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import pumicekeel.config.Configuration;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.config.OperatorReader;
import pumicekeel.discovery.HostList;
import pumicekeel.load.HttpRequestTemplate;
import pumicekeel.load.Load;
import pumicekeel.load.LoadProfile;
import pumicekeel.load.LoadResults.Outcome;
import pumicekeel.node.Node;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInDiscovery;
import pumicekeel.standin.StandInUpstream;

/**
 * HTTP demonstration: one balancer with two pools that share an upstream, under load on both. During the run one upstream is killed, the
 * shared one drains from one pool only, and a cold one joins both. The logs of the stand-ins are then checked against the four rules of
 * {@link Verdict}.
 */
public final class Demo {

  private static final int UPSTREAMS = 4;
  private static final int CLIENTS = 24;
  private static final double REQUESTS_PER_SECOND = 400;
  private static final long UPSTREAM_DELAY_MICROS = 3_000;
  private static final long DRAIN_GRACE_MILLIS = 2_000;

  private final int seconds;
  private final PrintStream out;
  private final EventLoopGroup standIns =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final Map<String, StandInUpstream> upstreams = new TreeMap<>();
  private final Map<String, Integer> cells = new TreeMap<>();
  private final List<String> events = new ArrayList<>();
  private StandInDiscovery quoteDiscovery;
  private StandInDiscovery rateDiscovery;
  private long coldAt;
  private long startedAt;

  public Demo(int seconds, PrintStream out) {
    this.seconds = seconds;
    this.out = out;
  }

  /** Runs the demonstration; returns whether all rules held. */
  public boolean run() throws Exception {
    Node node = null;
    try {
      quoteDiscovery = new StandInDiscovery(standIns);
      rateDiscovery = new StandInDiscovery(standIns);
      for (int i = 0; i < UPSTREAMS; i++) {
        addUpstream("quote-" + i, i / 2, quoteDiscovery);
        addUpstream("rate-" + i, i / 2, rateDiscovery);
      }
      addUpstream("shared", 9, quoteDiscovery, rateDiscovery);
      node = new Node(configuration(), operator(), () -> out.println("the balancer failed"));
      InetSocketAddress address = node.start();
      node.awaitReady();
      return runScenario(node, address);
    } finally {
      if (node != null) {
        node.close();
      }
      upstreams.values().forEach(StandInUpstream::close);
      standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private void addUpstream(String name, int cell, StandInDiscovery... discoveries)
      throws InterruptedException {
    StandInUpstream upstream = new StandInUpstream(name, standIns, UPSTREAM_DELAY_MICROS);
    upstreams.put(name, upstream);
    cells.put(name, cell);
    for (StandInDiscovery discovery : discoveries) {
      discovery.announce(
          name,
          upstream.address(),
          cell,
          "in_service",
          name.equals("cold") ? System.currentTimeMillis() : 0);
    }
  }

  private Configuration configuration() throws Exception {
    return new Configuration(
        "demo",
        Addresses.parse("listen", "127.0.0.1:0"),
        quoteDiscovery.address(),
        1,
        1024,
        new HostList(0, true, List.of()),
        DemoSettings.settings());
  }

  private OperatorConfiguration operator() {
    OperatorReader.Result result =
        OperatorReader.read("""
        [sources.rates]
        discovery = "%s"

        [pools.quotes]
        source = "platform"

        [pools.rates]
        source = "rates"

        [[routes]]
        name = "quotes"
        host = "quote.example.org"
        path-prefix = "/quote-issue"
        pool = "quotes"

        [[routes]]
        name = "rates"
        host = ["rates.example.org", "*.rates.example.org"]
        pool = "rates"
        """.formatted(addressText(rateDiscovery.address())));
    if (result.operator() == null) {
      throw new IllegalStateException(result.faults().toString());
    }
    return result.operator();
  }

  private static String addressText(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private boolean runScenario(Node node, InetSocketAddress address) throws Exception {
    EventLoopGroup clientLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      Load quoteLoad = new Load(
              address,
              clientLoops,
              new HttpRequestTemplate("quote.example.org", "quote-issue", true, "demo", 2_000),
              LoadProfile.openLoop(CLIENTS, REQUESTS_PER_SECOND),
              "q",
              1)
          .start();
      Load rateLoad = new Load(
              address,
              clientLoops,
              new HttpRequestTemplate("rates.example.org", "rate-lookup", false, "demo", 1_500),
              LoadProfile.openLoop(CLIENTS, REQUESTS_PER_SECOND),
              "r",
              2)
          .start();
      startedAt = System.nanoTime();
      runStepAt(
          0.2,
          () -> {
            upstreams.get("quote-0").kill();
            log("killed quote-0; discovery does not report it yet");
          },
          quoteLoad,
          rateLoad);
      runStepAt(
          0.3,
          () -> {
            quoteDiscovery.announce(
                "quote-0", upstreams.get("quote-0").address(), 0, "terminated", 0);
            log("discovery reports quote-0 as terminated");
          },
          quoteLoad,
          rateLoad);
      runStepAt(
          0.4,
          () -> {
            quoteDiscovery.announce(
                "shared", upstreams.get("shared").address(), 9, "terminating", 0);
            log("shared drains from pool quotes and stays in pool rates");
          },
          quoteLoad,
          rateLoad);
      runStepAt(
          0.55,
          () -> {
            coldAt = System.nanoTime();
            addUpstream("cold", 1, quoteDiscovery, rateDiscovery);
            log("cold joins both pools");
          },
          quoteLoad,
          rateLoad);
      runStepAt(1, () -> {}, quoteLoad, rateLoad);
      quoteLoad.stop();
      rateLoad.stop();
      node.drain();
      node.awaitDrained();
      return report(Map.of("quotes quote-issue", quoteLoad, "rates rate-lookup", rateLoad));
    } finally {
      clientLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private interface Step {
    void run() throws Exception;
  }

  /** Waits until a fraction of the duration has passed, printing one line per second, then runs the step. */
  private void runStepAt(double fraction, Step step, Load quoteLoad, Load rateLoad)
      throws Exception {
    long end = startedAt + (long) (fraction * seconds * 1e9);
    while (System.nanoTime() - end < 0) {
      TimeUnit.NANOSECONDS.sleep(Math.min(1_000_000_000L, Math.max(1, end - System.nanoTime())));
      out.printf(
          "%5.1f s  quotes %6d sent %6d served %4d refused %3d failed   rates %6d sent %6d served %4d refused"
              + " %3d failed%n",
          (System.nanoTime() - startedAt) / 1e9,
          quoteLoad.sent(),
          quoteLoad.count(Outcome.SERVED),
          quoteLoad.count(Outcome.REFUSED),
          quoteLoad.count(Outcome.FAILED),
          rateLoad.sent(),
          rateLoad.count(Outcome.SERVED),
          rateLoad.count(Outcome.REFUSED),
          rateLoad.count(Outcome.FAILED));
    }
    step.run();
  }

  private void log(String message) {
    events.add(message);
    out.printf("%5.1f s  %s%n", (System.nanoTime() - startedAt) / 1e9, message);
  }

  private boolean report(Map<String, Load> byPool) {
    out.println();
    out.println(
        "pool class               sent  served refused  failed    p50 ms  p99 ms   received by upstreams");
    Map<String, Load> rows = new TreeMap<>(byPool);
    rows.forEach((name, load) -> out.printf(
        "%-20s %8d %7d %7d %7d  %8.1f %7.1f  %8d%n",
        name,
        load.sent(),
        load.count(Outcome.SERVED),
        load.count(Outcome.REFUSED),
        load.count(Outcome.FAILED),
        load.results().latency().getValueAtPercentile(50) / 1e3,
        load.results().latency().getValueAtPercentile(99) / 1e3,
        received(name.split(" ")[1])));
    Verdict verdict = Verdict.ofUpstreams(upstreams, cells);
    rows.forEach((name, load) -> verdict.checkAllAnswered(name, load.results()));
    verdict.checkNoDuplicateEffect();
    verdict.checkDrain(
        "shared",
        "quote-issue",
        quoteDiscovery.announcedAt("shared", "terminating"),
        DRAIN_GRACE_MILLIS);
    verdict.checkStillServing(
        "shared", "rate-lookup", quoteDiscovery.announcedAt("shared", "terminating"));
    // The values of the contract in DemoSettings.
    verdict.checkColdBudget("cold", coldAt, 0.3, 8, 3, 3);
    out.println();
    verdict.lines().forEach(out::println);
    return verdict.passed();
  }

  private long received(String className) {
    return upstreams.values().stream()
        .flatMap(u -> u.received().stream())
        .filter(s -> s.className().equals(className))
        .count();
  }
}
