package pumicekeel.measure;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
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
import pumicekeel.jsonrpc.Writer;
import pumicekeel.node.Node;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInClients;
import pumicekeel.standin.StandInRpcClients;
import pumicekeel.standin.StandInRpcServer;
import pumicekeel.standin.StandInUpstream;

/** Calls a second through the JSON-RPC front, against a relay that only frames and against the HTTP front, in turns. */
final class RpcMeasure {

  private static final int CONNECTIONS = 32;
  private static final int SERVERS = 4;
  private static final Limits LIMITS = new Limits(1 << 20, 32, 100);

  private final PrintWriter out;
  private final int seconds;
  private final int rounds;
  private final EventLoopGroup standIns;
  private final EventLoopGroup clients;
  private final EventLoopGroup relayLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  RpcMeasure(PrintWriter out, int seconds, int rounds, EventLoopGroup standIns, EventLoopGroup clients) {
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
    Configuration configuration = new Configuration("m", Addresses.parse("listen", "127.0.0.1:0"),
        new InetSocketAddress("127.0.0.1", 1), 1, 4_096, new HostList(0, true, List.of()),
        Decoder.settings(Fields.parse("settings", SETTINGS)));
    return new Node(configuration, read.operator(), () -> { });
  }

  private static String list(List<InetSocketAddress> addresses) {
    List<String> entries = new ArrayList<>();
    for (InetSocketAddress a : addresses) {
      entries.add("{ name = \"u" + entries.size() + "\", address = \"" + a.getAddress().getHostAddress() + ":"
          + a.getPort() + "\" }");
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
    FrameRelay relay = new FrameRelay(relayLoop, servers.stream().map(StandInRpcServer::address).toList());
    List<Long> before = threads();
    Node node = node("[listeners.rpc]\naddress = \"127.0.0.1:0\"\nprotocol = \"json-rpc\"\n[[methods]]\nname = "
        + "\"rate.lookup\"\nclass = \"rate-lookup\"\ntenant = { pointer = \"/account\" }\nsession-key = { pointer = "
        + "\"/session\" }\ntime-left-ms = { pointer = \"/left\" }\n[sources.r]\nstatic = "
        + list(servers.stream().map(StandInRpcServer::address).toList()) + "\n[sources.h]\nstatic = "
        + list(upstreams.stream().map(StandInUpstream::address).toList()) + "\n[pools.rpc]\nsource = \"r\"\nprotocol = "
        + "\"json-rpc\"\n[pools.http]\nsource = \"h\"\n[[routes]]\nlistener = \"rpc\"\npool = \"rpc\"\n[[routes]]\npool = "
        + "\"http\"\n");
    InetSocketAddress http = node.start();
    node.awaitReady();
    List<Long> loop = threads();
    loop.removeAll(before);
    InetSocketAddress rpc = node.addressOf("rpc");
    List<List<Double>> ratios = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>(),
        new ArrayList<>(), new ArrayList<>());
    for (int i = 0; i <= rounds; i++) {
      Rate bare = calls(relay.address(), 1, loop, "a" + i);
      Rate one = calls(rpc, 1, loop, "b" + i);
      Rate requests = requests(http, loop, "c" + i);
      Rate bareDeep = calls(relay.address(), 8, loop, "d" + i);
      Rate deep = calls(rpc, 8, loop, "e" + i);
      out.printf("%s relay %.0f/s p99 %.2f ms, calls %.0f/s p99 %.2f ms %.0f B, HTTP %.0f/s p99 %.2f ms %.0f B; 8 open: "
          + "relay %.0f/s p99 %.2f ms, calls %.0f/s p99 %.2f ms; not served %d %d %d%n",
          i == 0 ? "warm-up:" : "round " + i + ":", bare.perSecond(), bare.p99Millis(), one.perSecond(), one.p99Millis(),
          one.bytesPerCall(), requests.perSecond(), requests.p99Millis(), requests.bytesPerCall(), bareDeep.perSecond(),
          bareDeep.p99Millis(), deep.perSecond(), deep.p99Millis(), one.notServed(), requests.notServed(),
          deep.notServed());
      out.flush();
      if (i > 0) {
        ratios.get(0).add(one.perSecond() / bare.perSecond());
        ratios.get(1).add(one.perSecond() / requests.perSecond());
        ratios.get(2).add(one.p99Millis() / requests.p99Millis());
        ratios.get(3).add(deep.perSecond() / bareDeep.perSecond());
        ratios.get(4).add(one.bytesPerCall());
        ratios.get(5).add(requests.bytesPerCall());
      }
    }
    out.println("one call open: against the framing relay " + Measure.median(ratios.get(0)) + "; against HTTP "
        + Measure.median(ratios.get(1)) + ", p99 " + Measure.median(ratios.get(2)));
    out.println("8 open: against the framing relay " + Measure.median(ratios.get(3)));
    out.println("garbage on the loop, bytes a call " + Measure.median(ratios.get(4)) + "; a request of HTTP "
        + Measure.median(ratios.get(5)));
    node.close();
    relay.close();
    servers.forEach(StandInRpcServer::close);
    upstreams.forEach(StandInUpstream::close);
    relayLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** Event loops by now: the balancer's own is the one that comes with it. */
  private static List<Long> threads() {
    List<Long> out = new ArrayList<>();
    for (Thread t : Thread.getAllStackTraces().keySet()) {
      if (t.getName().contains("EventLoop")) {
        out.add(t.getId());
      }
    }
    return out;
  }

  private static long allocated(List<Long> threads) {
    var bean = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
    return threads.stream().mapToLong(bean::getThreadAllocatedBytes).sum();
  }

  private Rate calls(InetSocketAddress at, int depth, List<Long> loop, String prefix) throws InterruptedException {
    long bytes = allocated(loop);
    StandInRpcClients load = new StandInRpcClients(at, clients, new StandInRpcClients.Ask("rate.lookup", "t", 3_000, depth,
        1, 0), prefix, CONNECTIONS, 1, false).start();
    long start = System.nanoTime();
    TimeUnit.SECONDS.sleep(seconds);
    double taken = (System.nanoTime() - start) / 1e9;
    long served = load.count(StandInRpcClients.End.SERVED);
    double garbage = (allocated(loop) - bytes) / (double) Math.max(1, served);
    load.stop();
    return new Rate(served / taken, load.latency().getValueAtPercentile(99) / 1e3,
        load.asked() - load.left() - load.count(StandInRpcClients.End.SERVED), garbage);
  }

  private Rate requests(InetSocketAddress at, List<Long> loop, String prefix) throws InterruptedException {
    long bytes = allocated(loop);
    StandInClients load = new StandInClients(at, clients, new StandInClients.Ask("h", "rate-lookup", false, "t", 3_000),
        prefix, CONNECTIONS, Double.POSITIVE_INFINITY, 1).start();
    long start = System.nanoTime();
    TimeUnit.SECONDS.sleep(seconds);
    double taken = (System.nanoTime() - start) / 1e9;
    long served = load.count(StandInClients.End.SERVED);
    double garbage = (allocated(loop) - bytes) / (double) Math.max(1, served);
    load.stop();
    return new Rate(served / taken, load.latency().getValueAtPercentile(99) / 1e3,
        load.asked() - load.count(StandInClients.End.SERVED), garbage);
  }

  /** A relay that cuts messages apart and passes them on, a server's connection for each client's. */
  private static final class FrameRelay {
    private final Channel listener;
    private final List<InetSocketAddress> servers;
    private int next;

    FrameRelay(EventLoopGroup loop, List<InetSocketAddress> servers) throws InterruptedException {
      this.servers = servers;
      listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
          .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.AUTO_READ, false)
          .childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel client) {
              connect(client);
            }
          }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync().channel();
    }

    InetSocketAddress address() {
      return (InetSocketAddress) listener.localAddress();
    }

    private void connect(Channel client) {
      new Bootstrap().group(client.eventLoop()).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
          .handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel server) {
              server.pipeline().addLast(new FrameDecoder(Framing.NEWLINE, LIMITS, () -> true), new Pass(client));
              client.pipeline().addLast(new FrameDecoder(Framing.VALUES, LIMITS, () -> true), new Pass(server));
            }
          }).connect(servers.get(next++ % servers.size())).addListener(done -> client.config().setAutoRead(true));
    }

    void close() {
      listener.close().syncUninterruptibly();
    }
  }

  private static final class Pass extends SimpleChannelInboundHandler<Frame> {
    private final Channel other;

    private Pass(Channel other) {
      this.other = other;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
      if (frame instanceof Frame.Whole whole) {
        other.writeAndFlush(Writer.frame(Framing.NEWLINE, whole.bytes()));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      other.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
