package pumicekeel.measure;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;
import pumicekeel.config.Configuration;
import pumicekeel.config.OperatorReader;
import pumicekeel.discovery.HostList;
import pumicekeel.load.HttpRequestTemplate;
import pumicekeel.load.Load;
import pumicekeel.load.LoadProfile;
import pumicekeel.load.LoadResults;
import pumicekeel.load.LoadResults.Outcome;
import pumicekeel.load.RequestTemplate;
import pumicekeel.node.Node;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInUpstream;
import pumicekeel.standin.StandInUpstream.Mode;

/** Measures the balancer in comparison with itself and with a plain relay, on loopback. Reports ratios within one run. */
public final class Measure {

  private static final int CONNECTIONS = 32;
  private static final int UPSTREAMS = 4;
  private static final double CLOSED_LOOP = Double.POSITIVE_INFINITY;

  private final PrintWriter out;
  private final int seconds;
  private final int rounds;
  private final EventLoopGroup standIns =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final EventLoopGroup clients =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /** Creates measurements of {@code rounds} runs of {@code seconds} each, which print to {@code out}. */
  public Measure(PrintWriter out, int seconds, int rounds) {
    this.out = out;
    this.seconds = seconds;
    this.rounds = rounds;
  }

  /** Stops the event loops of the stand-ins and the clients. */
  public void close() {
    standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    clients.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private record Rate(double perSecond, double p99Millis, long notServed) {}

  private Rate load(
      InetSocketAddress address, String host, double perSecond, int connections, String prefix)
      throws InterruptedException {
    return load(
        address,
        new HttpRequestTemplate(host, "rate-lookup", false, "t", 3_000),
        perSecond == CLOSED_LOOP
            ? LoadProfile.closedLoop(connections, 1)
            : LoadProfile.openLoop(connections, perSecond),
        prefix,
        TimeUnit.SECONDS.toMillis(seconds));
  }

  private Rate load(
      InetSocketAddress address,
      RequestTemplate template,
      LoadProfile profile,
      String prefix,
      long millis)
      throws InterruptedException {
    Load load = new Load(address, clients, template, profile, prefix, 1).start();
    long start = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep(millis);
    double elapsedSeconds = (System.nanoTime() - start) / 1e9;
    long served = load.count(Outcome.SERVED);
    LoadResults results = load.stop();
    return new Rate(
        served / elapsedSeconds,
        results.latency().getValueAtPercentile(99) / 1e3,
        results.sent() - results.abandoned() - results.count(Outcome.SERVED));
  }

  static String median(List<Double> values) {
    List<Double> sorted = new ArrayList<>(values);
    sorted.sort(null);
    return String.format(
        "%.3f (%.3f to %.3f)",
        sorted.get(sorted.size() / 2), sorted.get(0), sorted.get(sorted.size() - 1));
  }

  private static String json(InetSocketAddress discovery, List<StandInUpstream> upstreams) {
    StringBuilder known = new StringBuilder();
    for (StandInUpstream u : upstreams) {
      known
          .append(known.length() == 0 ? "" : ",")
          .append("{\"name\":\"")
          .append(u.name())
          .append("\",\"address\":\"")
          .append(text(u.address()))
          .append("\",\"zone\":\"a\",\"type\":\"t\",\"group\":1,\"status\":\"in_service\","
              + "\"weight\":1.0,\"since_ms\":0}");
    }
    return """
        {"name":"m","listen":"127.0.0.1:0","discovery":"%s","seed":"1","limits":{"sockets":4096},
         "known":{"index":1,"snapshot":true,"endpoints":[%s]},
         "settings":{"categories":[{"name":"rate-lookup","effect":"idempotent","aim-ns":400000000,
          "deadline-ns":3000000000}],"projects":[{"name":"t","portion":1.0,"quota-per-s":1000000.0}],
          "registry-mode":"on_request","limits":{"cancel":true,"retry-after":true,"max-retry-after-ns":100000000,
          "max-attempts":3,"connect-timeout-ns":1000000000,"conn-idle-ns":60000000000},
          "contract":{"drain-grace-ns":2000000000,"answer-slack-ns":8000000}}}
        """.formatted(text(discovery), known);
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static Configuration configuration(String json) throws IOException {
    Fields f = Fields.parse("configuration", json);
    return new Configuration(
        "m",
        Addresses.parse("listen", f.text("listen")),
        Addresses.parse("discovery", f.text("discovery")),
        1,
        (int) f.nested("limits").integer("sockets"),
        HostList.of(f.nested("known")),
        Decoder.settings(f.nested("settings")));
  }

  private List<StandInUpstream> upstreams(String prefix, int count, long delayMicros)
      throws InterruptedException {
    List<StandInUpstream> out = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      out.add(new StandInUpstream(prefix + i, standIns, delayMicros));
    }
    return out;
  }

  /** An address of discovery where nothing listens; all upstreams are known from the start. */
  private static final InetSocketAddress UNREACHABLE = new InetSocketAddress("127.0.0.1", 1);

  private static String staticSource(List<StandInUpstream> upstreams) {
    return "["
        + String.join(
            ", ",
            upstreams.stream()
                .map(
                    u -> "{ name = \"" + u.name() + "\", address = \"" + text(u.address()) + "\" }")
                .toList())
        + "]";
  }

  private static Node node(List<StandInUpstream> known, String operator) throws Exception {
    Node node = new Node(
        configuration(json(UNREACHABLE, known)),
        operator == null ? null : OperatorReader.read(operator).operator(),
        () -> {});
    return node;
  }

  // The measurements

  /** Measures requests per second through the balancer, without and with an operator file, against a plain relay, in turns. */
  public void relay() throws Exception {
    List<StandInUpstream> upstreams = upstreams("u", UPSTREAMS, 0);
    EventLoopGroup relayLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Relay relay = new Relay(
        relayLoop,
        upstreams.stream().map(StandInUpstream::address).toArray(InetSocketAddress[]::new));
    Node withoutFile = node(upstreams, null);
    Node withFile = node(
        upstreams,
        "[sources.s]\nstatic = " + staticSource(upstreams)
            + "\n[pools.p]\nsource = \"s\"\n[[routes]]\nhost = \"h\"\npool = \"p\"\n");
    InetSocketAddress withoutFileAt = withoutFile.start();
    InetSocketAddress withFileAt = withFile.start();
    withoutFile.awaitReady();
    withFile.awaitReady();
    List<Double> withoutFileRatio = new ArrayList<>();
    List<Double> withFileRatio = new ArrayList<>();
    List<Double> p99 = new ArrayList<>();
    for (int i = 0; i <= rounds; i++) {
      Rate relayRate = load(relay.address(), "h", CLOSED_LOOP, CONNECTIONS, "r" + i);
      Rate without = load(withoutFileAt, "h", CLOSED_LOOP, CONNECTIONS, "f" + i);
      Rate with = load(withFileAt, "h", CLOSED_LOOP, CONNECTIONS, "n" + i);
      out.printf(
          "%s relay %.0f/s p99 %.2f ms, without operator file %.0f/s p99 %.2f ms, with one %.0f/s p99 %.2f ms, not served %d and %d%n",
          i == 0 ? "warm-up:" : "round " + i + ":",
          relayRate.perSecond(),
          relayRate.p99Millis(),
          without.perSecond(),
          without.p99Millis(),
          with.perSecond(),
          with.p99Millis(),
          without.notServed(),
          with.notServed());
      out.flush();
      if (i > 0) {
        withoutFileRatio.add(without.perSecond() / relayRate.perSecond());
        withFileRatio.add(with.perSecond() / without.perSecond());
        p99.add(with.p99Millis() / without.p99Millis());
      }
    }
    out.println("requests per second: without operator file relative to the relay "
        + median(withoutFileRatio) + "; with one relative to without " + median(withFileRatio)
        + ", p99 " + median(p99));
    relay.close();
    withoutFile.close();
    withFile.close();
    upstreams.forEach(StandInUpstream::close);
    relayLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** Starts load on pool a or faults of its upstreams; closing the result ends it. */
  private interface Disturbance {
    AutoCloseable begin(InetSocketAddress balancer, List<StandInUpstream> upstreamsOfA)
        throws Exception;
  }

  /** Measures the p99 latency of pool b while pool a is idle and under each fault, in pairs. */
  public void isolation() throws Exception {
    compareUnder("pool a at its usual load", (at, u) -> loadPoolA(at, 300));
    for (Mode mode : List.of(Mode.HANG, Mode.RESET, Mode.SPOILT, Mode.ERROR)) {
      compareUnder("upstreams of a: " + mode, (at, u) -> {
        AutoCloseable load = loadPoolA(at, 300);
        u.forEach(x -> x.mode(mode));
        return load;
      });
    }
    compareUnder("upstreams of a refuse connections", (at, u) -> {
      u.forEach(StandInUpstream::kill);
      return loadPoolA(at, 300);
    });
    compareUnder("pool a at ten times its load", (at, u) -> loadPoolA(at, 3_000));
    compareUnder("clients of a send byte by byte", (at, u) -> new SlowSenders(at, clients, 200));
  }

  private AutoCloseable loadPoolA(InetSocketAddress at, double perSecond) {
    Load load = new Load(
            at,
            clients,
            new HttpRequestTemplate("a", "rate-lookup", false, "t", 3_000),
            LoadProfile.openLoop(60, perSecond),
            "a" + System.nanoTime(),
            3)
        .start();
    return load::stop;
  }

  private void compareUnder(String name, Disturbance disturbance) throws Exception {
    List<Double> ratios = new ArrayList<>();
    double idleP99 = 0;
    double disturbedP99 = 0;
    long notServed = 0;
    for (int i = 0; i < rounds; i++) {
      List<StandInUpstream> a = upstreams("a", 2, 2_000);
      List<StandInUpstream> b = upstreams("b", 2, 2_000);
      Node node = node(
          a,
          "[sources.a]\nstatic = " + staticSource(a) + "\n[sources.b]\nstatic = " + staticSource(b)
              + "\n[pools.a]\nsource = \"a\"\n[pools.b]\nsource = \"b\"\n[[routes]]\nhost = \"a\"\npool = \"a\"\n"
              + "[[routes]]\nhost = \"b\"\npool = \"b\"\n");
      InetSocketAddress at = node.start();
      node.awaitReady();
      load(at, "b", 400, 8, "w" + i);
      Rate idle = load(at, "b", 400, 8, "r" + i);
      AutoCloseable running = disturbance.begin(at, a);
      Rate disturbed = load(at, "b", 400, 8, "u" + i);
      running.close();
      node.close();
      a.forEach(StandInUpstream::close);
      b.forEach(StandInUpstream::close);
      idleP99 = idle.p99Millis();
      disturbedP99 = disturbed.p99Millis();
      notServed += disturbed.notServed();
      ratios.add(disturbedP99 / idleP99);
    }
    out.printf(
        "%-36s p99 of pool b %.2f ms, with a idle %.2f ms; ratio %s; not served in b: %d%n",
        name, disturbedP99, idleP99, median(ratios), notServed);
    out.flush();
  }

  /** Measures the time to readiness and the memory of a process by its number of pools, and without an operator file. */
  public void pools(Path jar, List<String> flags) throws Exception {
    List<StandInUpstream> upstreams = upstreams("u", UPSTREAMS, 0);
    Path folder = Files.createTempDirectory("measure");
    Path config = Files.writeString(folder.resolve("config.json"), json(UNREACHABLE, upstreams));
    for (int pools : new int[] {0, 1, 32}) {
      List<Double> millis = new ArrayList<>();
      List<Double> megabytes = new ArrayList<>();
      StringBuilder text =
          new StringBuilder("[sources.s]\nstatic = " + staticSource(upstreams) + "\n");
      for (int i = 0; i < pools; i++) {
        text.append("[pools.p")
            .append(i)
            .append("]\nsource = \"s\"\n[[routes]]\nhost = \"h")
            .append(i)
            .append("\"\npool = \"p")
            .append(i)
            .append("\"\n");
      }
      Path operator = Files.writeString(folder.resolve("operator.toml"), text);
      for (int i = 0; i < rounds; i++) {
        long start = System.nanoTime();
        Process process = serve(jar, flags, config, pools == 0 ? null : operator);
        InetSocketAddress at = address(process);
        millis.add((System.nanoTime() - start) / 1e6);
        for (int p = 0; p < Math.max(1, pools); p++) {
          load(
              at,
              new HttpRequestTemplate("h" + p, "rate-lookup", false, "t", 3_000),
              LoadProfile.openLoop(2, 200),
              "p" + i + "-" + p,
              100);
        }
        megabytes.add(residentMegabytes(process));
        process.destroy();
        process.waitFor();
      }
      out.println((pools == 0 ? "no operator file" : pools + " pools") + ": time to readiness, ms: "
          + median(millis) + "; resident memory under light load, MB: " + median(megabytes));
      out.flush();
    }
    upstreams.forEach(StandInUpstream::close);
  }

  /** Measures throughput and p99 latency of this build without an operator file against those of another build, in turns. */
  public void versus(Path jar, Path other, List<String> flags) throws Exception {
    List<StandInUpstream> upstreams = upstreams("u", UPSTREAMS, 0);
    Path folder = Files.createTempDirectory("measure");
    Path config = Files.writeString(folder.resolve("config.json"), json(UNREACHABLE, upstreams));
    Process thisBuild = serve(jar, flags, config, null);
    Process otherBuild = serve(other, flags, config, null);
    InetSocketAddress thisBuildAt = address(thisBuild);
    InetSocketAddress otherBuildAt = address(otherBuild);
    List<Double> rate = new ArrayList<>();
    List<Double> p99 = new ArrayList<>();
    for (int i = 0; i <= rounds; i++) {
      boolean thisBuildFirst = i % 2 == 0;
      Rate first =
          load(thisBuildFirst ? thisBuildAt : otherBuildAt, "h", CLOSED_LOOP, CONNECTIONS, "x" + i);
      Rate second =
          load(thisBuildFirst ? otherBuildAt : thisBuildAt, "h", CLOSED_LOOP, CONNECTIONS, "y" + i);
      Rate thisRate = thisBuildFirst ? first : second;
      Rate otherRate = thisBuildFirst ? second : first;
      out.printf(
          "%s this %.0f/s p99 %.2f ms, other %.0f/s p99 %.2f ms%n",
          i == 0 ? "warm-up:" : "round " + i + ":",
          thisRate.perSecond(),
          thisRate.p99Millis(),
          otherRate.perSecond(),
          otherRate.p99Millis());
      out.flush();
      if (i > 0) {
        rate.add(thisRate.perSecond() / otherRate.perSecond());
        p99.add(thisRate.p99Millis() / otherRate.p99Millis());
      }
    }
    out.println("this build relative to the other: requests per second " + median(rate) + ", p99 "
        + median(p99));
    thisBuild.destroy();
    otherBuild.destroy();
    upstreams.forEach(StandInUpstream::close);
  }

  /** Measures keyed requests without a journal, and with journals that survive a crash of the process and a crash of the host. */
  public void journal() throws Exception {
    List<StandInUpstream> upstreams = upstreams("u", UPSTREAMS, 0);
    Path folder = Files.createTempDirectory("measure");
    List<Node> nodes = new ArrayList<>();
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (String durability : List.of("off", "process", "host")) {
      String journalSection = durability.equals("off")
          ? ""
          : "[journal]\ndirectory = \"" + folder.resolve(durability) + "\"\ndurability = \""
              + durability + "\"\n";
      Node node = node(
          upstreams,
          journalSection + "[sources.s]\nstatic = " + staticSource(upstreams)
              + "\n[pools.p]\nsource = \"s\"\nclasses = [{ name = \"quote-issue\", effect = \"keyed\", dedup-scope = \"all\", "
              + "dedup-window-ms = 2000, aim-ms = 400, deadline-ms = 3000 }]\n[[routes]]\npool = \"p\"\n");
      nodes.add(node);
      addresses.add(node.start());
      node.awaitReady();
    }
    List<List<Double>> ratios = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    List<List<Double>> p99 = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    for (int i = 0; i <= rounds; i++) {
      Rate[] rates = new Rate[3];
      for (int k = 0; k < 3; k++) {
        int n = (i + k) % 3;
        rates[n] = keyedLoad(addresses.get(n), "j" + i + "-" + n);
      }
      out.printf(
          "%s off %.0f/s p99 %.2f ms, process %.0f/s p99 %.2f ms, host %.0f/s p99 %.2f ms, not served %d %d %d%n",
          i == 0 ? "warm-up:" : "round " + i + ":",
          rates[0].perSecond(),
          rates[0].p99Millis(),
          rates[1].perSecond(),
          rates[1].p99Millis(),
          rates[2].perSecond(),
          rates[2].p99Millis(),
          rates[0].notServed(),
          rates[1].notServed(),
          rates[2].notServed());
      out.flush();
      for (int n = 1; n < 3 && i > 0; n++) {
        ratios.get(n).add(rates[n].perSecond() / rates[0].perSecond());
        p99.get(n).add(rates[n].p99Millis() / rates[0].p99Millis());
      }
    }
    out.println("durability process relative to no journal: requests per second "
        + median(ratios.get(1)) + ", p99 " + median(p99.get(1)));
    out.println("durability host relative to no journal: requests per second "
        + median(ratios.get(2)) + ", p99 " + median(p99.get(2)) + "; syncs of 4 KiB"
        + " per second on this disk: " + Math.round(syncsPerSecond(folder)));
    nodes.forEach(Node::close);
    upstreams.forEach(StandInUpstream::close);
  }

  private Rate keyedLoad(InetSocketAddress address, String prefix) throws InterruptedException {
    return load(
        address,
        new HttpRequestTemplate("h", "quote-issue", true, "t", 3_000),
        LoadProfile.closedLoop(CONNECTIONS, 1),
        prefix,
        TimeUnit.SECONDS.toMillis(seconds));
  }

  private double syncsPerSecond(Path folder) throws IOException {
    try (var channel = java.nio.channels.FileChannel.open(
        folder.resolve("sync"),
        java.nio.file.StandardOpenOption.CREATE,
        java.nio.file.StandardOpenOption.WRITE)) {
      long start = System.nanoTime();
      int count = 0;
      while (System.nanoTime() - start < TimeUnit.SECONDS.toNanos(1)) {
        channel.write(java.nio.ByteBuffer.allocate(4_096));
        channel.force(false);
        count++;
      }
      return count * 1e9 / (System.nanoTime() - start);
    }
  }

  /** Measures calls through the JSON-RPC front, against a relay that only frames messages and against the HTTP front. */
  public void jsonRpc() throws Exception {
    new RpcMeasure(out, seconds, rounds, standIns, clients).run();
  }

  /** Measures the journal writer alone against a plain sequential write, then a query and the recovery at a start. */
  public void journalAlone(int mebibytes) throws Exception {
    Path folder = Files.createTempDirectory("measure");
    out.print(pumicekeel.journal.JournalCost.measure(folder, mebibytes));
    out.flush();
  }

  private static Process serve(Path jar, List<String> flags, Path config, Path operator)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.addAll(List.of("-jar", jar.toString(), "serve"));
    if (operator != null) {
      command.addAll(List.of("--operator", operator.toString()));
    }
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
    builder.environment().put("PROXY_CONFIG", config.toString());
    return builder.start();
  }

  private static InetSocketAddress address(Process process) throws IOException {
    BufferedReader log =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(" serves at /")) {
        Thread drain = new Thread(() -> discard(log), "log");
        drain.setDaemon(true);
        drain.start();
        return Addresses.parse("log", line.substring(line.indexOf('/') + 1));
      }
    }
    throw new IOException("the balancer did not start");
  }

  /** Discards the rest of the log; the process would block on a full pipe otherwise. */
  private static void discard(BufferedReader log) {
    try {
      String line = log.readLine();
      while (line != null) {
        line = log.readLine();
      }
    } catch (IOException e) {
      // The process has ended.
    }
  }

  /** Returns the resident memory of a process as the kernel reports it; 0 on systems other than Linux. */
  private static double residentMegabytes(Process process) throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    return !Files.exists(status)
        ? 0
        : Files.readAllLines(status).stream()
            .filter(l -> l.startsWith("VmRSS:"))
            .mapToDouble(l -> Double.parseDouble(l.replaceAll("\\D", "")) / 1024)
            .findFirst()
            .orElse(0);
  }
}
