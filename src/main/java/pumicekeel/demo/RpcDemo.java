package pumicekeel.demo;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import pumicekeel.config.Configuration;
import pumicekeel.config.OperatorReader;
import pumicekeel.discovery.HostList;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.load.Load;
import pumicekeel.load.LoadProfile;
import pumicekeel.load.LoadResults.Outcome;
import pumicekeel.load.RpcRequestTemplate;
import pumicekeel.node.Node;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInDiscovery;
import pumicekeel.standin.StandInRpcFaults;
import pumicekeel.standin.StandInRpcServer;

/**
 * JSON-RPC demonstration: many client connections send single calls and batches, and some close with calls pending. Servers inject
 * occasional faults; one is killed, one drains, and a cold one joins. The logs of clients and servers are then checked against the four
 * rules of {@link Verdict} and against each other.
 */
public final class RpcDemo {

  private static final int SERVERS = 6;
  private static final long SERVER_DELAY_MILLIS = 3;
  private static final long DRAIN_GRACE_MILLIS = 2_000;
  private static final Map<String, Integer> CELLS =
      Map.of("s0", 0, "s1", 0, "s2", 1, "s3", 1, "s4", 2, "s5", 2, "cold", 3);

  private final int seconds;
  private final int connections;
  private final int faultsPer100000;
  private final long seed;
  private final PrintStream out;
  private final EventLoopGroup standIns =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final EventLoopGroup clientLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<String, StandInRpcServer> servers = new TreeMap<>();
  private StandInDiscovery discovery;
  private long startedAt;
  private long coldAt;

  /** Creates a demonstration in which the servers inject a fault into the given number of each 100 000 calls. */
  public RpcDemo(int seconds, int connections, int faultsPer100000, long seed, PrintStream out) {
    this.seconds = seconds;
    this.connections = connections;
    this.faultsPer100000 = faultsPer100000;
    this.seed = seed;
    this.out = out;
  }

  /** Runs the demonstration; returns whether all rules held. */
  public boolean run() throws Exception {
    Node node = null;
    try {
      discovery = new StandInDiscovery(standIns);
      for (int i = 0; i < SERVERS; i++) {
        addServer("s" + i);
      }
      OperatorReader.Result result = OperatorReader.read(OPERATOR_FILE);
      if (result.operator() == null) {
        throw new IllegalStateException(result.faults().toString());
      }
      node = new Node(configuration(), result.operator(), () -> out.println("the balancer failed"));
      node.start();
      node.awaitReady();
      return runScenario(node, node.addressOf("partner"));
    } finally {
      if (node != null) {
        node.close();
      }
      servers.values().forEach(StandInRpcServer::close);
      standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      clientLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private static final String OPERATOR_FILE = """
      [listeners.partner]
      address = "127.0.0.1:0"
      protocol = "json-rpc"

      [[methods]]
      name = "rate.lookup"
      class = "rate-lookup"
      tenant = { pointer = "/account" }
      session-key = { pointer = "/session" }
      time-left-ms = { pointer = "/left" }

      [[methods]]
      name = "quote.issue"
      class = "quote-issue"
      tenant = { pointer = "/account" }
      idempotency-key = { pointer = "/n" }
      time-left-ms = { pointer = "/left" }

      [pools.rates]
      protocol = "json-rpc"

      [[routes]]
      pool = "rates"
      """;

  private void addServer(String name) throws InterruptedException {
    StandInRpcServer server = new StandInRpcServer(standIns, Framing.NEWLINE);
    server.script(
        new StandInRpcFaults(seed + servers.size(), SERVER_DELAY_MILLIS, faultsPer100000));
    servers.put(name, server);
    discovery.announce(
        name,
        server.address(),
        CELLS.get(name),
        "in_service",
        name.equals("cold") ? System.currentTimeMillis() : 0);
  }

  private Configuration configuration() throws Exception {
    return new Configuration(
        "demo",
        Addresses.parse("listen", "127.0.0.1:0"),
        discovery.address(),
        1,
        16_384,
        new HostList(0, true, List.of()),
        DemoSettings.settings());
  }

  private Load startLoad(
      InetSocketAddress address,
      String method,
      long deadlineMillis,
      int depth,
      int batch,
      int abandonsPerThousand,
      String prefix,
      int connectionCount) {
    return new Load(
            address,
            clientLoops,
            new RpcRequestTemplate(method, "demo", deadlineMillis),
            new LoadProfile(
                Math.max(1, connectionCount),
                Double.POSITIVE_INFINITY,
                depth,
                batch,
                abandonsPerThousand),
            prefix,
            seed,
            true)
        .start();
  }

  private boolean runScenario(Node node, InetSocketAddress address) throws Exception {
    startedAt = System.nanoTime();
    Map<String, Load> loads = new TreeMap<>();
    loads.put(
        "lookups, singly", startLoad(address, "rate.lookup", 1_500, 2, 1, 1, "r", connections / 2));
    loads.put(
        "lookups, in batches",
        startLoad(address, "rate.lookup", 1_500, 4, 4, 1, "b", connections / 8));
    loads.put(
        "quotes, singly",
        startLoad(address, "quote.issue", 2_000, 1, 1, 1, "q", connections * 3 / 8));
    waitUntil(loads, 0.2);
    servers.get("s0").kill();
    log("killed s0; discovery does not report it yet");
    waitUntil(loads, 0.3);
    discovery.announce("s0", servers.get("s0").address(), CELLS.get("s0"), "terminated", 0);
    log("discovery reports s0 as terminated");
    waitUntil(loads, 0.4);
    discovery.announce("s3", servers.get("s3").address(), CELLS.get("s3"), "terminating", 0);
    log("s3 drains");
    waitUntil(loads, 0.55);
    coldAt = System.nanoTime();
    addServer("cold");
    log("cold joins");
    waitUntil(loads, 1);
    for (Load load : loads.values()) {
      load.stop();
    }
    node.drain();
    node.awaitDrained();
    return report(loads);
  }

  /** Waits until a fraction of the duration has passed, printing one line per second. */
  private void waitUntil(Map<String, Load> loads, double fraction) throws InterruptedException {
    long end = startedAt + (long) (fraction * seconds * 1e9);
    while (System.nanoTime() - end < 0) {
      TimeUnit.NANOSECONDS.sleep(Math.min(1_000_000_000L, Math.max(1, end - System.nanoTime())));
      StringBuilder line = new StringBuilder();
      loads.forEach((name, load) -> line.append(String.format(
          "  %s %d sent %d served %d refused %d failed",
          name,
          load.sent(),
          load.count(Outcome.SERVED),
          load.count(Outcome.REFUSED),
          load.count(Outcome.FAILED))));
      log(line.toString().strip());
    }
  }

  private void log(String message) {
    out.printf("%5.1f s  %s%n", (System.nanoTime() - startedAt) / 1e9, message);
  }

  private boolean report(Map<String, Load> loads) {
    out.println();
    out.println("calls                   sent  served refused  failed abandoned  p50 ms  p99 ms");
    loads.forEach((name, load) -> out.printf(
        "%-20s %8d %7d %7d %7d %7d  %8.1f %7.1f%n",
        name,
        load.sent(),
        load.count(Outcome.SERVED),
        load.count(Outcome.REFUSED),
        load.count(Outcome.FAILED),
        load.results().abandoned(),
        load.results().latency().getValueAtPercentile(50) / 1e3,
        load.results().latency().getValueAtPercentile(99) / 1e3));
    Verdict verdict = Verdict.ofServers(servers, CELLS, call -> nameIn(call));
    loads.forEach((name, load) -> verdict.checkAllAnswered(name, load.results()));
    loads
        .values()
        .forEach(load -> verdict.checkServedWasReceived(load.results(), Verdict.Execution::name));
    verdict.checkRefusedNeverRan(loads.get("quotes, singly").results());
    verdict.checkNoDuplicateEffect();
    verdict.checkDrain(
        "s3", "quote.issue", discovery.announcedAt("s3", "terminating"), DRAIN_GRACE_MILLIS);
    verdict.checkDrain(
        "s3", "rate.lookup", discovery.announcedAt("s3", "terminating"), DRAIN_GRACE_MILLIS);
    // The values of the contract in DemoSettings.
    verdict.checkColdBudget("cold", coldAt, 0.3, 8, 3, 3);
    out.println();
    verdict.lines().forEach(out::println);
    return verdict.passed();
  }

  /** Returns the name that the load gave a call, which is the first member of its params. */
  private static String nameIn(StandInRpcServer.ReceivedCall call) {
    int from = call.params().indexOf("\"n\":\"") + 5;
    return call.params().substring(from, call.params().indexOf('"', from));
  }
}
