package pumicekeel.rig;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
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
 * Measures the requests per second of 1, 2, 4 and 8 instances under a daemon, each under a closed loop of its own clients. Load,
 * upstreams and instances share one machine, so the ratio is limited by the number of its cores. Ratios are formed within a round; their
 * median and range over the rounds are printed.
 */
public final class FleetThroughput {

  private static final int[] SIZES = {1, 2, 4, 8};
  private static final int UPSTREAMS = 8;
  private static final int CLIENTS_PER_INSTANCE = 16;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long WARM_UP_MILLIS = 3_000;

  private final int seconds;
  private final int rounds;
  private final List<String> flags;
  private final PrintStream out;
  private final EventLoopGroup standIns =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final EventLoopGroup clientLoops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

  /**
   * Creates a measurement.
   *
   * @param seconds duration of each run
   * @param rounds number of runs at each size
   * @param flags JVM flags of the instances
   * @param out receives the results
   */
  public FleetThroughput(int seconds, int rounds, List<String> flags, PrintStream out) {
    this.seconds = seconds;
    this.rounds = rounds;
    this.flags = flags;
    this.out = out;
  }

  /** Measures, and prints a line for each run and then one for each size. */
  public void run() throws Exception {
    double[][] perSecond = new double[SIZES.length][rounds];
    List<StandInUpstream> upstreams = new ArrayList<>();
    try (StandInDiscovery discovery = new StandInDiscovery(standIns)) {
      for (int i = 0; i < UPSTREAMS; i++) {
        StandInUpstream upstream = new StandInUpstream("s" + i, standIns, 0);
        upstreams.add(upstream);
        discovery.announce("s" + i, upstream.address(), i / 2, "in_service", 0);
      }
      for (int round = 0; round < rounds; round++) {
        for (int s = 0; s < SIZES.length; s++) {
          perSecond[s][round] =
              measure(SIZES[s], FleetRig.configuration(discovery.address().getPort()));
          out.printf(
              "round %d: %d instances, %.0f requests per second%n",
              round + 1, SIZES[s], perSecond[s][round]);
        }
      }
    } finally {
      upstreams.forEach(StandInUpstream::close);
      standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      clientLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
    double[] oneInstance = perSecond[0];
    for (int s = 0; s < SIZES.length; s++) {
      double[] ratios = new double[rounds];
      for (int r = 0; r < rounds; r++) {
        ratios[r] = perSecond[s][r] / oneInstance[r];
      }
      Arrays.sort(ratios);
      out.printf(
          "%d instances: median %.2f (%.2f to %.2f) times the throughput of one instance%n",
          SIZES[s], ratios[rounds / 2], ratios[0], ratios[rounds - 1]);
    }
  }

  private double measure(int instances, String configuration) throws Exception {
    Path folder = Files.createTempDirectory("rig");
    int port = FreePorts.findBlock(instances);
    Path config = Files.writeString(folder.resolve("config.json"), configuration);
    Path run = folder.resolve("run");
    Daemon daemon = new Daemon(
        new Settings(
            instances,
            run,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
            null,
            config,
            "rig",
            ProgramCommand.withFlags(flags),
            Limits.of(1, 500 * NANOS_PER_MILLI)),
        line -> {});
    try {
      daemon.start();
      FleetRig.awaitStatus(run, instances, "\"state\":\"ready\"");
      List<Load> all = new ArrayList<>();
      for (int i = 0; i < instances; i++) {
        all.add(new Load(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port + i),
                clientLoops,
                new HttpRequestTemplate("h", "rate-lookup", false, "demo", 1_500),
                LoadProfile.closedLoop(CLIENTS_PER_INSTANCE, 1),
                "t" + i,
                i)
            .start());
      }
      TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
      long before = served(all);
      long startNanos = System.nanoTime();
      TimeUnit.SECONDS.sleep(seconds);
      double perSecond = (served(all) - before) * 1e9 / (System.nanoTime() - startNanos);
      for (Load load : all) {
        load.stop();
      }
      return perSecond;
    } finally {
      daemon.stop();
      daemon.close();
    }
  }

  private static long served(List<Load> all) {
    return all.stream().mapToLong(load -> load.count(Outcome.SERVED)).sum();
  }
}
