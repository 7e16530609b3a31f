package pumicekeel.node;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;
import pumicekeel.config.Configuration;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.config.OperatorReader;
import pumicekeel.discovery.HostList;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.load.HttpRequestTemplate;
import pumicekeel.load.Load;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInDiscovery;
import pumicekeel.standin.StandInRpcClient;
import pumicekeel.standin.StandInRpcServer;
import pumicekeel.standin.StandInUpstream;

/** A node with an operator file, its stand-in upstreams and its clients, all in this process. */
final class TestServices implements Closeable {

  /** Two classes, one safe and one keyed within a cell, with deadlines that only a hang reaches. */
  static final String SETTINGS = """
      {"categories":[
        {"name":"rate-lookup","effect":"idempotent","aim-ns":1000000000,"deadline-ns":6000000000},
        {"name":"quote-issue","effect":"deduplicated","dedup-scope":"cell","window-ns":5000000000,
         "aim-ns":1000000000,"deadline-ns":6000000000}],
       "projects":[{"name":"acme","portion":1.0,"quota-per-s":100000.0}],"registry-mode":"on_request",
       "limits":{"cancel":true,"retry-after":true,"max-retry-after-ns":1000000000,"max-attempts":4,
        "connect-timeout-ns":1000000000,"conn-idle-ns":60000000000},
       "contract":{"drain-grace-ns":2000000000,"answer-slack-ns":8000000,"cold-from":0.3,
        "warm-within-ns":8000000000,"overload-for-ns":3000000000,"fall-multiple":3.0}}
      """;

  final EventLoopGroup standIns = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final EventLoopGroup loopOfB =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  final EventLoopGroup clientLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  final Map<String, StandInUpstream> upstreams = new LinkedHashMap<>();
  final Map<String, StandInRpcServer> servers = new LinkedHashMap<>();
  private final List<StandInRpcClient> rpcClients = new ArrayList<>();
  final Map<String, StandInDiscovery> discoveries = new LinkedHashMap<>();
  private final List<Load> clients = new ArrayList<>();
  final List<String> defects = new ArrayList<>();
  Node node;
  InetSocketAddress address;
  private int sockets = 1024;

  TestServices sockets(int limit) {
    sockets = limit;
    return this;
  }

  /** Starts an upstream. Those of pool b run on their own loop, so that load on pool a's upstreams cannot delay their log. */
  StandInUpstream upstream(String name, long delayMicros) throws Exception {
    StandInUpstream upstream =
        new StandInUpstream(name, name.startsWith("b") ? loopOfB : standIns, delayMicros);
    upstreams.put(name, upstream);
    return upstream;
  }

  /** Starts a JSON-RPC server, which a list names like any upstream. */
  StandInRpcServer server(String name) throws Exception {
    return server(name, Framing.NEWLINE);
  }

  StandInRpcServer server(String name, Framing framing) throws Exception {
    StandInRpcServer server = new StandInRpcServer(standIns, framing);
    servers.put(name, server);
    return server;
  }

  /** Connects a client to a JSON-RPC listener of the file. */
  StandInRpcClient rpcClient(String listener, Framing framing) throws Exception {
    InetSocketAddress at = onLoop(() -> node.listeners().address(listener));
    StandInRpcClient client = new StandInRpcClient(at, clientLoops, framing);
    rpcClients.add(client);
    return client;
  }

  private InetSocketAddress addressOf(String name) {
    return upstreams.containsKey(name)
        ? upstreams.get(name).address()
        : servers.get(name).address();
  }

  StandInDiscovery discovery(String name) throws Exception {
    StandInDiscovery discovery = new StandInDiscovery(standIns);
    discoveries.put(name, discovery);
    return discovery;
  }

  /** Returns a static list of these upstreams for an operator file; the digits in a name are the cell. */
  String list(String... names) {
    StringBuilder out = new StringBuilder("[");
    for (String name : names) {
      String[] parts = name.split("!");
      String cell = parts[0].replaceAll("\\D", "");
      out.append(out.length() == 1 ? "" : ", ")
          .append("{ name = \"")
          .append(parts[0])
          .append("\", address = \"")
          .append(text(addressOf(parts[0])))
          .append("\", group = ")
          .append(cell.isEmpty() ? "0" : cell)
          .append(parts.length > 1 ? ", status = \"" + parts[1] + "\"" : "")
          .append(" }");
    }
    return out.append("]").toString();
  }

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  static OperatorConfiguration operator(String file) {
    OperatorReader.Result result = OperatorReader.read(file);
    if (result.operator() == null) {
      throw new AssertionError(result.faults());
    }
    return result.operator();
  }

  TestServices start(String file) throws Exception {
    InetSocketAddress platform = discoveries.containsKey("platform")
        ? discoveries.get("platform").address()
        : TestNode.unusedAddress();
    Configuration configuration = new Configuration(
        "n0",
        Addresses.parse("listen", "127.0.0.1:0"),
        platform,
        1,
        sockets,
        new HostList(0, true, List.of()),
        Decoder.settings(Fields.parse("settings", SETTINGS)));
    node = new Node(configuration, operator(file), () -> defects.add("crash"));
    address = node.start();
    node.awaitReady();
    return this;
  }

  void reload(String file) throws Exception {
    node.reload(operator(file));
  }

  /** Runs a query on the node's event loop and returns its result. */
  <T> T onLoop(java.util.concurrent.Callable<T> query) throws Exception {
    return node.loop().submit(query).get(30, TimeUnit.SECONDS);
  }

  Load clients(HttpRequestTemplate request, String prefix, int count, double perSecond) {
    Load load = new Load(
            address,
            clientLoops,
            request,
            pumicekeel.load.LoadProfile.openLoop(count, perSecond),
            prefix,
            7)
        .start();
    clients.add(load);
    return load;
  }

  @Override
  public void close() {
    if (node != null) {
      node.close();
    }
    rpcClients.forEach(StandInRpcClient::close);
    upstreams.values().forEach(StandInUpstream::close);
    servers.values().forEach(StandInRpcServer::close);
    discoveries.values().forEach(StandInDiscovery::close);
    standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    loopOfB.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    clientLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }
}
