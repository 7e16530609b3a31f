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
 * JSON-RPC from end to end: many connections of clients, singly and in batches, some of which leave in the middle; servers
 * that misbehave now and then; one that is killed, one that drains, a cold one that joins. The logs of both ends are then
 * held against the four rules and against each other.
 */
public final class RpcDemo {

  private static final int SERVERS = 6;
  private static final long DELAY_MILLIS = 3;
  private static final long GRACE_MILLIS = 2_000;
  private static final Map<String, Integer> CELLS =
      Map.of("s0", 0, "s1", 0, "s2", 1, "s3", 1, "s4", 2, "s5", 2, "cold", 3);

  private final int seconds;
  private final int connections;
  private final int faults;
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

  /** So many of a hundred thousand calls meet a fault of their server's. */
  public RpcDemo(int seconds, int connections, int faults, long seed, PrintStream out) {
    this.seconds = seconds;
    this.connections = connections;
    this.faults = faults;
    this.seed = seed;
    this.out = out;
  }

  /** Plays it; true where all rules held. */
  public boolean run() throws Exception {
    Node node = null;
    try {
      discovery = new StandInDiscovery(standIns);
      for (int i = 0; i < SERVERS; i++) {
        add("s" + i);
      }
      OperatorReader.Result file = OperatorReader.read(FILE);
      if (file.operator() == null) {
        throw new IllegalStateException(file.faults().toString());
      }
      node =
          new Node(configuration(), file.operator(), () -> out.println("the balancer broke down"));
      node.start();
      node.awaitReady();
      return play(node, node.addressOf("partner"));
    } finally {
      if (node != null) {
        node.close();
      }
      servers.values().forEach(StandInRpcServer::close);
      standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      clientLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private static final String FILE = """
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

  private void add(String name) throws InterruptedException {
    StandInRpcServer server = new StandInRpcServer(standIns, Framing.NEWLINE);
    server.script(new StandInRpcFaults(seed + servers.size(), DELAY_MILLIS, faults));
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

  private Load clients(
      InetSocketAddress at,
      String method,
      long deadline,
      int depth,
      int batch,
      int leaves,
      String prefix,
      int count) {
    return new Load(
            at,
            clientLoops,
            new RpcRequestTemplate(method, "demo", deadline),
            new LoadProfile(Math.max(1, count), Double.POSITIVE_INFINITY, depth, batch, leaves),
            prefix,
            seed,
            true)
        .start();
  }

  private boolean play(Node node, InetSocketAddress at) throws Exception {
    startedAt = System.nanoTime();
    Map<String, Load> all = new TreeMap<>();
    all.put("lookups, singly", clients(at, "rate.lookup", 1_500, 2, 1, 1, "r", connections / 2));
    all.put(
        "lookups, in batches", clients(at, "rate.lookup", 1_500, 4, 4, 1, "b", connections / 8));
    all.put("quotes, singly", clients(at, "quote.issue", 2_000, 1, 1, 1, "q", connections * 3 / 8));
    wait(all, 0.2);
    servers.get("s0").kill();
    say("killed s0, of which discovery says nothing yet");
    wait(all, 0.3);
    discovery.announce("s0", servers.get("s0").address(), CELLS.get("s0"), "terminated", 0);
    say("discovery says that s0 is gone");
    wait(all, 0.4);
    discovery.announce("s3", servers.get("s3").address(), CELLS.get("s3"), "terminating", 0);
    say("s3 drains");
    wait(all, 0.55);
    coldAt = System.nanoTime();
    add("cold");
    say("cold joins");
    wait(all, 1);
    for (Load c : all.values()) {
      c.stop();
    }
    node.drain();
    node.awaitDrained();
    return report(all);
  }

  /** Waits for a part of the time, with a line a second. */
  private void wait(Map<String, Load> all, double part) throws InterruptedException {
    long end = startedAt + (long) (part * seconds * 1e9);
    while (System.nanoTime() - end < 0) {
      TimeUnit.NANOSECONDS.sleep(Math.min(1_000_000_000L, Math.max(1, end - System.nanoTime())));
      StringBuilder line = new StringBuilder();
      all.forEach((name, c) -> line.append(String.format(
          "  %s %d asked %d served %d refused %d failed",
          name,
          c.sent(),
          c.count(Outcome.SERVED),
          c.count(Outcome.REFUSED),
          c.count(Outcome.FAILED))));
      say(line.toString().strip());
    }
  }

  private void say(String what) {
    out.printf("%5.1f s  %s%n", (System.nanoTime() - startedAt) / 1e9, what);
  }

  private boolean report(Map<String, Load> all) {
    out.println();
    out.println("calls                  asked  served refused  failed    left    p50 ms  p99 ms");
    all.forEach((name, c) -> out.printf(
        "%-20s %8d %7d %7d %7d %7d  %8.1f %7.1f%n",
        name,
        c.sent(),
        c.count(Outcome.SERVED),
        c.count(Outcome.REFUSED),
        c.count(Outcome.FAILED),
        c.results().abandoned(),
        c.results().latency().getValueAtPercentile(50) / 1e3,
        c.results().latency().getValueAtPercentile(99) / 1e3));
    Verdict verdict = Verdict.ofServers(servers, CELLS, call -> nameIn(call));
    all.forEach((name, c) -> verdict.checkAllAnswered(name, c.results()));
    all.values().forEach(c -> verdict.checkServedWasReceived(c.results(), Verdict.Execution::name));
    verdict.checkRefusedNeverRan(all.get("quotes, singly").results());
    verdict.checkNoDuplicateEffect();
    verdict.checkDrain(
        "s3", "quote.issue", discovery.announcedAt("s3", "terminating"), GRACE_MILLIS);
    verdict.checkDrain(
        "s3", "rate.lookup", discovery.announcedAt("s3", "terminating"), GRACE_MILLIS);
    verdict.checkColdBudget("cold", coldAt, 0.3, 8, 3, 3);
    out.println();
    verdict.lines().forEach(out::println);
    return verdict.passed();
  }

  /** The name that the stand-in's client gave a call: the first member of its params. */
  private static String nameIn(StandInRpcServer.Seen call) {
    int from = call.params().indexOf("\"n\":\"") + 5;
    return call.params().substring(from, call.params().indexOf('"', from));
  }
}
