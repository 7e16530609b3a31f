package pumicekeel.measure;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;
import pumicekeel.config.Configuration;
import pumicekeel.config.OperatorReader;
import pumicekeel.discovery.HostList;
import pumicekeel.jsonrpc.Frame;
import pumicekeel.jsonrpc.FrameDecoder;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Limits;
import pumicekeel.jsonrpc.MessageWriter;
import pumicekeel.load.HttpRequestTemplate;
import pumicekeel.load.Load;
import pumicekeel.load.LoadProfile;
import pumicekeel.load.LoadResults;
import pumicekeel.load.LoadResults.Outcome;
import pumicekeel.load.RequestTemplate;
import pumicekeel.load.RpcRequestTemplate;
import pumicekeel.node.Node;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInRpcServer;
import pumicekeel.standin.StandInUpstream;

/** Measures calls per second through the JSON-RPC front, against a relay that only frames messages and the HTTP front, in turns. */
final class RpcMeasure {

  private static final int CONNECTIONS = 32;
  private static final int SERVERS = 4;
  private static final Limits LIMITS = new Limits(1 << 20, 32, 100);

  private final PrintWriter out;
  private final int seconds;
  private final int rounds;
  private final EventLoopGroup standIns;
  private final EventLoopGroup clients;
  private final EventLoopGroup relayLoop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  RpcMeasure(
      PrintWriter out, int seconds, int rounds, EventLoopGroup standIns, EventLoopGroup clients) {
    this.out = out;
    this.seconds = seconds;
    this.rounds = rounds;
    this.standIns = standIns;
    this.clients = clients;
  }

  private record Rate(double perSecond, double p99Millis, long notServed, double bytesPerCall) {}

  private static final String SETTINGS = """
      {"categories":[{"name":"rate-lookup","effect":"idempotent","aim-ns":400000000,"deadline-ns":3000000000}],
       "projects":[{"name":"t","portion":1.0,"quota-per-s":1000000.0}],"registry-mode":"on_request",
       "limits":{"cancel":true,"retry-after":true,"max-retry-after-ns":100000000,"max-attempts":3,
        "connect-timeout-ns":1000000000,"conn-idle-ns":60000000000},
       "contract":{"drain-grace-ns":2000000000,"answer-slack-ns":8000000}}
      """;

  private Node node(String file) throws Exception {
    OperatorReader.Result read = OperatorReader.read(file);
    if (read.operator() == null) {
      throw new IllegalStateException(read.faults().toString());
    }
    Configuration configuration = new Configuration(
        "m",
        Addresses.parse("listen", "127.0.0.1:0"),
        new InetSocketAddress("127.0.0.1", 1),
        1,
        4_096,
        new HostList(0, true, List.of()),
        Decoder.settings(Fields.parse("settings", SETTINGS)));
    return new Node(configuration, read.operator(), () -> {});
  }

  private static String list(List<InetSocketAddress> addresses) {
    List<String> entries = new ArrayList<>();
    for (InetSocketAddress a : addresses) {
      entries.add("{ name = \"u" + entries.size() + "\", address = \""
          + a.getAddress().getHostAddress() + ":" + a.getPort() + "\" }");
    }
    return "[" + String.join(", ", entries) + "]";
  }

  void run() throws Exception {
    List<StandInRpcServer> servers = new ArrayList<>();
    List<StandInUpstream> upstreams = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(new StandInRpcServer(standIns, Framing.NEWLINE));
      upstreams.add(new StandInUpstream("u" + i, standIns, 0));
    }
    // Relays messages with framing only.
    Relay relay = new Relay(
        relayLoop,
        () -> new FrameDecoder(Framing.VALUES, LIMITS, () -> true),
        () -> new FrameDecoder(Framing.NEWLINE, LIMITS, () -> true),
        message -> message instanceof Frame.Complete frame
            ? MessageWriter.frame(Framing.NEWLINE, frame.bytes())
            : null,
        servers.stream().map(StandInRpcServer::address).toArray(InetSocketAddress[]::new));
    List<Long> before = eventLoopThreads();
    Node node = node(
        "[listeners.rpc]\naddress = \"127.0.0.1:0\"\nprotocol = \"json-rpc\"\n[[methods]]\nname = "
            + "\"rate.lookup\"\nclass = \"rate-lookup\"\ntenant = { pointer = \"/account\" }\nsession-key = { pointer = "
            + "\"/session\" }\ntime-left-ms = { pointer = \"/left\" }\n[sources.r]\nstatic = "
            + list(servers.stream().map(StandInRpcServer::address).toList())
            + "\n[sources.h]\nstatic = "
            + list(upstreams.stream().map(StandInUpstream::address).toList())
            + "\n[pools.rpc]\nsource = \"r\"\nprotocol = "
            + "\"json-rpc\"\n[pools.http]\nsource = \"h\"\n[[routes]]\nlistener = \"rpc\"\npool = \"rpc\"\n[[routes]]\npool = "
            + "\"http\"\n");
    InetSocketAddress http = node.start();
    node.awaitReady();
    List<Long> balancerThreads = eventLoopThreads();
    balancerThreads.removeAll(before);
    InetSocketAddress rpc = node.addressOf("rpc");
    List<List<Double>> ratios = List.of(
        new ArrayList<>(),
        new ArrayList<>(),
        new ArrayList<>(),
        new ArrayList<>(),
        new ArrayList<>(),
        new ArrayList<>());
    for (int i = 0; i <= rounds; i++) {
      Rate relayedOneOpen = calls(relay.address(), 1, balancerThreads, "a" + i);
      Rate oneOpen = calls(rpc, 1, balancerThreads, "b" + i);
      Rate requests = requests(http, balancerThreads, "c" + i);
      Rate relayedEightOpen = calls(relay.address(), 8, balancerThreads, "d" + i);
      Rate eightOpen = calls(rpc, 8, balancerThreads, "e" + i);
      out.printf(
          "%s relay %.0f/s p99 %.2f ms, calls %.0f/s p99 %.2f ms %.0f B, HTTP %.0f/s p99 %.2f ms %.0f B; 8 open: "
              + "relay %.0f/s p99 %.2f ms, calls %.0f/s p99 %.2f ms; not served %d %d %d%n",
          i == 0 ? "warm-up:" : "round " + i + ":",
          relayedOneOpen.perSecond(),
          relayedOneOpen.p99Millis(),
          oneOpen.perSecond(),
          oneOpen.p99Millis(),
          oneOpen.bytesPerCall(),
          requests.perSecond(),
          requests.p99Millis(),
          requests.bytesPerCall(),
          relayedEightOpen.perSecond(),
          relayedEightOpen.p99Millis(),
          eightOpen.perSecond(),
          eightOpen.p99Millis(),
          oneOpen.notServed(),
          requests.notServed(),
          eightOpen.notServed());
      out.flush();
      if (i > 0) {
        ratios.get(0).add(oneOpen.perSecond() / relayedOneOpen.perSecond());
        ratios.get(1).add(oneOpen.perSecond() / requests.perSecond());
        ratios.get(2).add(oneOpen.p99Millis() / requests.p99Millis());
        ratios.get(3).add(eightOpen.perSecond() / relayedEightOpen.perSecond());
        ratios.get(4).add(oneOpen.bytesPerCall());
        ratios.get(5).add(requests.bytesPerCall());
      }
    }
    out.println("one open call per connection: relative to the framing relay "
        + Measure.median(ratios.get(0))
        + "; relative to HTTP " + Measure.median(ratios.get(1)) + ", p99 "
        + Measure.median(ratios.get(2)));
    out.println("8 open calls per connection: relative to the framing relay "
        + Measure.median(ratios.get(3)));
    out.println("allocated on the event loop, bytes per call " + Measure.median(ratios.get(4))
        + "; per HTTP request " + Measure.median(ratios.get(5)));
    node.close();
    relay.close();
    servers.forEach(StandInRpcServer::close);
    upstreams.forEach(StandInUpstream::close);
    relayLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** Returns the ids of all event loop threads; those of the balancer are the ones that are new after its start. */
  private static List<Long> eventLoopThreads() {
    List<Long> ids = new ArrayList<>();
    for (Thread t : Thread.getAllStackTraces().keySet()) {
      if (t.getName().contains("EventLoop")) {
        ids.add(t.getId());
      }
    }
    return ids;
  }

  private static long allocatedBytes(List<Long> threads) {
    var bean = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
    return threads.stream().mapToLong(bean::getThreadAllocatedBytes).sum();
  }

  private Rate calls(InetSocketAddress at, int depth, List<Long> balancerThreads, String prefix)
      throws InterruptedException {
    return load(
        at, new RpcRequestTemplate("rate.lookup", "t", 3_000), depth, balancerThreads, prefix);
  }

  private Rate requests(InetSocketAddress at, List<Long> balancerThreads, String prefix)
      throws InterruptedException {
    return load(
        at,
        new HttpRequestTemplate("h", "rate-lookup", false, "t", 3_000),
        1,
        balancerThreads,
        prefix);
  }

  private Rate load(
      InetSocketAddress at,
      RequestTemplate template,
      int depth,
      List<Long> balancerThreads,
      String prefix)
      throws InterruptedException {
    long bytes = allocatedBytes(balancerThreads);
    Load load = new Load(
            at, clients, template, LoadProfile.closedLoop(CONNECTIONS, depth), prefix, 1)
        .start();
    long start = System.nanoTime();
    TimeUnit.SECONDS.sleep(seconds);
    double elapsedSeconds = (System.nanoTime() - start) / 1e9;
    long served = load.count(Outcome.SERVED);
    double bytesPerCall = (allocatedBytes(balancerThreads) - bytes) / (double) Math.max(1, served);
    LoadResults results = load.stop();
    return new Rate(
        served / elapsedSeconds,
        results.latency().getValueAtPercentile(99) / 1e3,
        results.sent() - results.abandoned() - results.count(Outcome.SERVED),
        bytesPerCall);
  }
}
