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
import pumicekeel.config.Operator;
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
 * A day in little: two pools in one balancer, an upstream that both share, load on both, and on the way an upstream that
 * is killed, the shared one drained from one pool only, and a cold one that joins both. What the stand-ins logged is then
 * held against the four rules.
 */
public final class Demo {

  private static final int UPSTREAMS = 4;
  private static final int CLIENTS = 24;
  private static final double PER_SECOND = 400;
  private static final long DELAY_MICROS = 3_000;
  private static final long GRACE_MILLIS = 2_000;

  private final int seconds;
  private final PrintStream out;
  private final EventLoopGroup standIns =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final Map<String, StandInUpstream> upstreams = new TreeMap<>();
  private final Map<String, Integer> groups = new TreeMap<>();
  private final List<String> events = new ArrayList<>();
  private StandInDiscovery quotes;
  private StandInDiscovery rates;
  private long coldAt;
  private long startedAt;

  public Demo(int seconds, PrintStream out) {
    this.seconds = seconds;
    this.out = out;
  }

  /** Plays it; true where all rules held. */
  public boolean run() throws Exception {
    Node node = null;
    try {
      quotes = new StandInDiscovery(standIns);
      rates = new StandInDiscovery(standIns);
      for (int i = 0; i < UPSTREAMS; i++) {
        add("quote-" + i, i / 2, quotes);
        add("rate-" + i, i / 2, rates);
      }
      add("shared", 9, quotes, rates);
      node = new Node(configuration(), operator(), () -> out.println("the balancer broke down"));
      InetSocketAddress address = node.start();
      node.awaitReady();
      return play(node, address);
    } finally {
      if (node != null) {
        node.close();
      }
      upstreams.values().forEach(StandInUpstream::close);
      standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private void add(String name, int cell, StandInDiscovery... lists) throws InterruptedException {
    StandInUpstream upstream = new StandInUpstream(name, standIns, DELAY_MICROS);
    upstreams.put(name, upstream);
    groups.put(name, cell);
    for (StandInDiscovery list : lists) {
      list.announce(
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
        quotes.address(),
        1,
        1024,
        new HostList(0, true, List.of()),
        DemoSettings.settings());
  }

  private Operator operator() {
    OperatorReader.Result result = OperatorReader.read("""
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
        """.formatted(text(rates.address())));
    if (result.operator() == null) {
      throw new IllegalStateException(result.faults().toString());
    }
    return result.operator();
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private boolean play(Node node, InetSocketAddress address) throws Exception {
    EventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      Load quoting = new Load(
              address,
              clients,
              new HttpRequestTemplate("quote.example.org", "quote-issue", true, "demo", 2_000),
              LoadProfile.openLoop(CLIENTS, PER_SECOND),
              "q",
              1)
          .start();
      Load rating = new Load(
              address,
              clients,
              new HttpRequestTemplate("rates.example.org", "rate-lookup", false, "demo", 1_500),
              LoadProfile.openLoop(CLIENTS, PER_SECOND),
              "r",
              2)
          .start();
      startedAt = System.nanoTime();
      at(
          0.2,
          () -> {
            upstreams.get("quote-0").kill();
            say("killed quote-0, of which discovery says nothing yet");
          },
          quoting,
          rating);
      at(
          0.3,
          () -> {
            quotes.announce("quote-0", upstreams.get("quote-0").address(), 0, "terminated", 0);
            say("discovery says that quote-0 is gone");
          },
          quoting,
          rating);
      at(
          0.4,
          () -> {
            quotes.announce("shared", upstreams.get("shared").address(), 9, "terminating", 0);
            say("shared drains from pool quotes, and stays in pool rates");
          },
          quoting,
          rating);
      at(
          0.55,
          () -> {
            coldAt = System.nanoTime();
            add("cold", 1, quotes, rates);
            say("cold joins both pools");
          },
          quoting,
          rating);
      at(1, () -> {}, quoting, rating);
      quoting.stop();
      rating.stop();
      node.drain();
      node.awaitDrained();
      return report(Map.of("quotes quote-issue", quoting, "rates rate-lookup", rating));
    } finally {
      clients.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private interface Step {
    void run() throws Exception;
  }

  /** Waits for a part of the time, with a line a second, then does something. */
  private void at(double part, Step step, Load quoting, Load rating) throws Exception {
    long end = startedAt + (long) (part * seconds * 1e9);
    while (System.nanoTime() - end < 0) {
      TimeUnit.NANOSECONDS.sleep(Math.min(1_000_000_000L, Math.max(1, end - System.nanoTime())));
      out.printf(
          "%5.1f s  quotes %6d asked %6d served %4d refused %3d failed   rates %6d asked %6d served %4d refused"
              + " %3d failed%n",
          (System.nanoTime() - startedAt) / 1e9,
          quoting.sent(),
          quoting.count(Outcome.SERVED),
          quoting.count(Outcome.REFUSED),
          quoting.count(Outcome.FAILED),
          rating.sent(),
          rating.count(Outcome.SERVED),
          rating.count(Outcome.REFUSED),
          rating.count(Outcome.FAILED));
    }
    step.run();
  }

  private void say(String what) {
    events.add(what);
    out.printf("%5.1f s  %s%n", (System.nanoTime() - startedAt) / 1e9, what);
  }

  // The verdict

  private boolean report(Map<String, Load> byPool) {
    out.println();
    out.println(
        "pool class              asked  served refused  failed    p50 ms  p99 ms   seen by upstreams");
    Map<String, Load> rows = new TreeMap<>(byPool);
    rows.forEach((name, c) -> out.printf(
        "%-20s %8d %7d %7d %7d  %8.1f %7.1f  %8d%n",
        name,
        c.sent(),
        c.count(Outcome.SERVED),
        c.count(Outcome.REFUSED),
        c.count(Outcome.FAILED),
        c.results().latency().getValueAtPercentile(50) / 1e3,
        c.results().latency().getValueAtPercentile(99) / 1e3,
        seen(name.split(" ")[1])));
    Verdict verdict = Verdict.ofUpstreams(upstreams, groups);
    rows.forEach((name, c) -> verdict.checkAllAnswered(name, c.results()));
    verdict.checkNoDuplicateEffect();
    verdict.checkDrain(
        "shared", "quote-issue", quotes.announcedAt("shared", "terminating"), GRACE_MILLIS);
    verdict.checkStillServing("shared", "rate-lookup", quotes.announcedAt("shared", "terminating"));
    verdict.checkColdBudget("cold", coldAt, 0.3, 8, 3, 3);
    out.println();
    verdict.lines().forEach(out::println);
    return verdict.passed();
  }

  private long seen(String className) {
    return upstreams.values().stream()
        .flatMap(u -> u.seen().stream())
        .filter(s -> s.className().equals(className))
        .count();
  }
}
