package pumicekeel.rig;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import pumicekeel.demo.DemoSettings;
import pumicekeel.demo.Verdict;
import pumicekeel.fleet.Control;
import pumicekeel.fleet.Daemon;
import pumicekeel.fleet.Limits;
import pumicekeel.fleet.Settings;
import pumicekeel.load.HttpRequestTemplate;
import pumicekeel.load.Load;
import pumicekeel.load.LoadProfile;
import pumicekeel.load.LoadResults.Outcome;
import pumicekeel.standin.StandInDiscovery;
import pumicekeel.standin.StandInUpstream;

/**
 * Tests a fleet of balancer processes under a daemon, with stand-in upstreams, a stand-in discovery service and clients of every
 * instance: under load, one upstream drains, a cold one joins, and the instances go through a rolling restart. The logs of the stand-ins
 * are then checked against the rules for all instances together.
 */
public final class FleetRig {

  private static final int UPSTREAMS = 6;
  private static final long UPSTREAM_DELAY_MICROS = 3_000;
  private static final long DRAIN_GRACE_MILLIS = 2_000;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final int instances;
  private final int seconds;
  private final double perSecond;
  private final PrintStream out;
  private final List<String> flags;
  private final EventLoopGroup standIns =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final EventLoopGroup clientLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<String, StandInUpstream> upstreams = new TreeMap<>();
  private final Map<String, Integer> cells = new TreeMap<>();
  private StandInDiscovery discovery;
  private long startedAt;

  /**
   * Creates a test.
   *
   * @param seconds duration of the load before the rolling restart
   * @param perSecond requests per second of each of two classes, for the whole fleet
   * @param flags JVM flags of the instances
   * @param out receives the progress and the results of the checks
   */
  public FleetRig(
      int instances, int seconds, double perSecond, List<String> flags, PrintStream out) {
    this.instances = instances;
    this.seconds = seconds;
    this.perSecond = perSecond;
    this.flags = flags;
    this.out = out;
  }

  /** Runs the test; returns whether all rules held and the rolling restart completed. */
  public boolean run() throws Exception {
    // A short name, because the path length of the control socket is limited.
    Path folder = Files.createTempDirectory("rig");
    Daemon daemon = null;
    try {
      discovery = new StandInDiscovery(standIns);
      for (int i = 0; i < UPSTREAMS; i++) {
        addUpstream("s" + i, i / 2, 0);
      }
      int port = FreePorts.findBlock(instances);
      Path config = Files.writeString(
          folder.resolve("config.json"), configuration(discovery.address().getPort()));
      Path run = folder.resolve("run");
      daemon = new Daemon(
          new Settings(
              instances,
              run,
              new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
              null,
              config,
              "rig",
              ProgramCommand.withFlags(flags),
              Limits.of(1, 500 * NANOS_PER_MILLI)),
          line -> log(line));
      startedAt = System.nanoTime();
      daemon.start();
      return runScenario(run, port);
    } finally {
      if (daemon != null) {
        daemon.stop();
        daemon.close();
      }
      upstreams.values().forEach(StandInUpstream::close);
      discovery.close();
      standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      clientLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private void addUpstream(String name, int cell, long sinceMillis) throws InterruptedException {
    StandInUpstream upstream = new StandInUpstream(name, standIns, UPSTREAM_DELAY_MICROS);
    upstreams.put(name, upstream);
    cells.put(name, cell);
    discovery.announce(name, upstream.address(), cell, "in_service", sinceMillis);
  }

  /** Returns the platform configuration of an instance, for a discovery service at this port of the loopback address. */
  static String configuration(int discoveryPort) {
    return "{\"name\":\"rig\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discoveryPort
        + "\",\"seed\":\"1\",\"limits\":{\"sockets\":512},\"known\":{\"index\":0,\"snapshot\":true,\"endpoints\":[]},"
        + "\"settings\":" + DemoSettings.JSON + "}";
  }

  private boolean runScenario(Path run, int port) throws Exception {
    awaitStatus(run, instances, "\"state\":\"ready\"");
    log("all instances are ready");
    List<Load> lookups = new ArrayList<>();
    List<Load> quotes = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port + i);
      lookups.add(new Load(
              address,
              clientLoops,
              new HttpRequestTemplate("h", "rate-lookup", false, "demo", 1_500),
              LoadProfile.openLoop(4, perSecond / instances),
              "r" + i,
              i)
          .start());
      quotes.add(new Load(
              address,
              clientLoops,
              new HttpRequestTemplate("h", "quote-issue", true, "demo", 2_000),
              LoadProfile.openLoop(4, perSecond / instances),
              "q" + i,
              i)
          .start());
    }
    List<Load> all = new ArrayList<>(lookups);
    all.addAll(quotes);
    logProgressFor(all, seconds * 0.2);
    discovery.announce("s1", upstreams.get("s1").address(), 0, "terminating", 0);
    log("s1 drains");
    logProgressFor(all, seconds * 0.3);
    long coldAt = System.nanoTime();
    addUpstream("cold", 9, System.currentTimeMillis());
    log("upstream cold joins");
    logProgressFor(all, seconds * 0.5);
    log("rolling restart: " + Control.call(run, "restart"));
    String status = Control.call(run, "status");
    while (!status.contains("\"work\":\"none\"")) {
      logProgressFor(all, 1);
      status = Control.call(run, "status");
    }
    boolean restartCompleted = status.contains("\"halted\":null");
    log(restartCompleted ? "rolling restart done" : "rolling restart failed: " + status);
    for (Load load : all) {
      load.stop();
    }
    return report(lookups, quotes, coldAt) && restartCompleted;
  }

  /** Waits until the reply of the daemon's {@code status} call contains a text, a regular expression, at least {@code count} times. */
  static void awaitStatus(Path run, int count, String expected) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(120);
    while (Control.call(run, "status").split(expected, -1).length - 1 < count) {
      if (System.nanoTime() - end > 0) {
        throw new IOException("the fleet did not become ready: " + Control.call(run, "status"));
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  /** Logs the number of served, refused and failed requests every second for a duration in seconds. */
  private void logProgressFor(List<Load> all, double duration) throws InterruptedException {
    long end = System.nanoTime() + (long) (duration * 1e9);
    while (System.nanoTime() - end < 0) {
      TimeUnit.NANOSECONDS.sleep(Math.min(1_000_000_000L, Math.max(1, end - System.nanoTime())));
      log(count(all, Outcome.SERVED) + " served, " + count(all, Outcome.REFUSED) + " refused, "
          + count(all, Outcome.FAILED) + " failed");
    }
  }

  private static long count(List<Load> all, Outcome outcome) {
    return all.stream().mapToLong(load -> load.count(outcome)).sum();
  }

  private void log(String line) {
    out.printf("%5.1f s  %s%n", (System.nanoTime() - startedAt) / 1e9, line);
  }

  private boolean report(List<Load> lookups, List<Load> quotes, long coldAt) {
    Verdict verdict = Verdict.ofUpstreams(upstreams, cells);
    verdict.checkAllAnswered("lookups", lookups.stream().map(Load::results).toList());
    verdict.checkAllAnswered("quotes", quotes.stream().map(Load::results).toList());
    verdict.checkNoDuplicateEffect();
    verdict.checkDrain(
        "s1", "rate-lookup", discovery.announcedAt("s1", "terminating"), DRAIN_GRACE_MILLIS);
    verdict.checkDrain(
        "s1", "quote-issue", discovery.announcedAt("s1", "terminating"), DRAIN_GRACE_MILLIS);
    verdict.checkColdBudget("cold", coldAt, 0.3, 8, 3, 3);
    out.println();
    verdict.lines().forEach(out::println);
    return verdict.passed();
  }
}
