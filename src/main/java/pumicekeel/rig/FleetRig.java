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
 * A fleet of real processes under a real daemon, with stand-in upstreams, a discovery and clients at every instance: a rolling
 * restart under load, a drain, a cold upstream. The stand-ins' own logs are held against the rules for all instances together.
 */
public final class FleetRig {

  private static final int UPSTREAMS = 6;
  private static final long DELAY_MICROS = 3_000;
  private static final long GRACE_MILLIS = 2_000;
  private static final long MS = 1_000_000L;

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

  /** So many requests a second of each of two classes in all; {@code flags} for the instances' JVMs. */
  public FleetRig(
      int instances, int seconds, double perSecond, List<String> flags, PrintStream out) {
    this.instances = instances;
    this.seconds = seconds;
    this.perSecond = perSecond;
    this.flags = flags;
    this.out = out;
  }

  /** Plays it; true where all rules held and the rolling restart went through. */
  public boolean run() throws Exception {
    // Short: the control socket's path has to fit.
    Path folder = Files.createTempDirectory("rig");
    Daemon daemon = null;
    try {
      discovery = new StandInDiscovery(standIns);
      for (int i = 0; i < UPSTREAMS; i++) {
        add("s" + i, i / 2, 0);
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
              Limits.of(1, 500 * MS)),
          line -> say(line));
      startedAt = System.nanoTime();
      daemon.start();
      return play(run, port);
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

  private void add(String name, int cell, long sinceMillis) throws InterruptedException {
    StandInUpstream upstream = new StandInUpstream(name, standIns, DELAY_MICROS);
    upstreams.put(name, upstream);
    cells.put(name, cell);
    discovery.announce(name, upstream.address(), cell, "in_service", sinceMillis);
  }

  static String configuration(int discoveryPort) {
    return "{\"name\":\"rig\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discoveryPort
        + "\",\"seed\":\"1\",\"limits\":{\"sockets\":512},\"known\":{\"index\":0,\"snapshot\":true,\"endpoints\":[]},"
        + "\"settings\":" + DemoSettings.JSON + "}";
  }

  private boolean play(Path run, int port) throws Exception {
    awaitStatus(run, instances, "\"state\":\"ready\"");
    say("all ready");
    List<Load> lookups = new ArrayList<>();
    List<Load> quotes = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), port + i);
      lookups.add(new Load(
              at,
              clientLoops,
              new HttpRequestTemplate("h", "rate-lookup", false, "demo", 1_500),
              LoadProfile.openLoop(4, perSecond / instances),
              "r" + i,
              i)
          .start());
      quotes.add(new Load(
              at,
              clientLoops,
              new HttpRequestTemplate("h", "quote-issue", true, "demo", 2_000),
              LoadProfile.openLoop(4, perSecond / instances),
              "q" + i,
              i)
          .start());
    }
    List<Load> all = new ArrayList<>(lookups);
    all.addAll(quotes);
    watch(all, seconds * 0.2);
    discovery.announce("s1", upstreams.get("s1").address(), 0, "terminating", 0);
    say("s1 drains");
    watch(all, seconds * 0.3);
    long coldAt = System.nanoTime();
    add("cold", 9, System.currentTimeMillis());
    say("cold joins");
    watch(all, seconds * 0.5);
    say("rolling restart: " + Control.call(run, "restart"));
    String status = Control.call(run, "status");
    while (!status.contains("\"work\":\"none\"")) {
      watch(all, 1);
      status = Control.call(run, "status");
    }
    boolean through = status.contains("\"halted\":null");
    say(through ? "rolling restart done" : "rolling restart: " + status);
    for (Load c : all) {
      c.stop();
    }
    return report(lookups, quotes, coldAt) && through;
  }

  static void awaitStatus(Path run, int count, String what) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(120);
    while (Control.call(run, "status").split(what, -1).length - 1 < count) {
      if (System.nanoTime() - end > 0) {
        throw new IOException("the fleet did not become ready: " + Control.call(run, "status"));
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  private void watch(List<Load> all, double forSeconds) throws InterruptedException {
    long end = System.nanoTime() + (long) (forSeconds * 1e9);
    while (System.nanoTime() - end < 0) {
      TimeUnit.NANOSECONDS.sleep(Math.min(1_000_000_000L, Math.max(1, end - System.nanoTime())));
      say(sum(all, Outcome.SERVED) + " served, " + sum(all, Outcome.REFUSED) + " refused, "
          + sum(all, Outcome.FAILED) + " failed");
    }
  }

  private static long sum(List<Load> all, Outcome end) {
    return all.stream().mapToLong(c -> c.count(end)).sum();
  }

  private void say(String what) {
    out.printf("%5.1f s  %s%n", (System.nanoTime() - startedAt) / 1e9, what);
  }

  private boolean report(List<Load> lookups, List<Load> quotes, long coldAt) {
    Verdict verdict = Verdict.ofUpstreams(upstreams, cells);
    verdict.checkAllAnswered("lookups", lookups.stream().map(Load::results).toList());
    verdict.checkAllAnswered("quotes", quotes.stream().map(Load::results).toList());
    verdict.checkNoDuplicateEffect();
    verdict.checkDrain(
        "s1", "rate-lookup", discovery.announcedAt("s1", "terminating"), GRACE_MILLIS);
    verdict.checkDrain(
        "s1", "quote-issue", discovery.announcedAt("s1", "terminating"), GRACE_MILLIS);
    verdict.checkColdBudget("cold", coldAt, 0.3, 8, 3, 3);
    out.println();
    verdict.lines().forEach(out::println);
    return verdict.passed();
  }
}
