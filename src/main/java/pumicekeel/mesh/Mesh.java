package pumicekeel.mesh;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import pumicekeel.demo.DemoSettings;
import pumicekeel.demo.Verdict;
import pumicekeel.standin.StandInDiscovery;
import pumicekeel.standin.StandInUpstream;

/**
 * Child processes of the program with fault injection on each link: each process has its own address for every upstream, for discovery and,
 * if they are members of one fleet, for every other member. Tests check only the logs of the stand-ins, not those of the processes.
 */
public final class Mesh implements Closeable {

  /** Maximum number of processes that start at the same time; more would compete for processor time. */
  private static final int MAX_CONCURRENT_STARTS = 16;

  private static final long UPSTREAM_DELAY_MICROS = 3_000;
  private static final int UPSTREAMS_PER_CELL = 2;

  private final long seed;
  private final Path folder;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final EventLoopGroup linkLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Member> members = new ArrayList<>();
  private final List<StandInDiscovery> discoveries = new ArrayList<>();
  private final List<TcpLink> discoveryLinks = new ArrayList<>();
  private final List<Map<String, TcpLink>> upstreamLinks = new ArrayList<>();
  private final Map<String, StandInUpstream> upstreams = new TreeMap<>();
  private final Map<String, Integer> cells = new TreeMap<>();
  private final Map<String, Long> lastAnnouncedAt = new LinkedHashMap<>();
  private final DatagramMesh datagrams;
  private long nextSeed;

  /**
   * Starts the processes and upstreams ({@code s0} and so on, two in each cell) and waits until all serve.
   *
   * @param peers whether the processes are members of one fleet
   * @param flags JVM flags of the processes
   */
  public Mesh(int processes, int upstreams, boolean peers, List<String> flags, long seed)
      throws IOException, InterruptedException {
    this.seed = seed;
    folder = Files.createTempDirectory("mesh");
    boolean started = false;
    try {
      datagrams = peers ? new DatagramMesh(linkLoops.next(), processes, seed) : null;
      List<String> command = new ArrayList<>(
          List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
      command.addAll(flags);
      command.addAll(
          List.of("-cp", System.getProperty("java.class.path"), "pumicekeel.cli.Main", "serve"));
      for (int i = 0; i < processes; i++) {
        members.add(new Member("n" + i, command, folder));
        discoveries.add(new StandInDiscovery(group));
        discoveryLinks.add(
            new TcpLink(linkLoops.next(), discoveries.get(i).address(), seed + nextSeed++));
        upstreamLinks.add(new TreeMap<>());
      }
      for (int i = 0; i < upstreams; i++) {
        add("s" + i, 0);
      }
      for (int from = 0; from < processes; from += MAX_CONCURRENT_STARTS) {
        List<Member> batch =
            members.subList(from, Math.min(processes, from + MAX_CONCURRENT_STARTS));
        for (Member m : batch) {
          start(m);
        }
        for (Member m : batch) {
          m.awaitReady();
        }
      }
      started = true;
    } finally {
      if (!started) {
        close();
      }
    }
  }

  private void start(Member m) throws IOException {
    int i = members.indexOf(m);
    String settings = DemoSettings.JSON
        .strip()
        .replaceFirst("\\{", "{\"me\":" + i + ",\"group-size\":" + members.size() + ",");
    m.start(
        "{\"name\":\"" + m.name() + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
            + discoveryLinks.get(i).address().getPort() + "\",\"seed\":\""
            + Long.toHexString(seed + nextSeed++)
            + "\",\"limits\":{\"sockets\":512},\"known\":{\"index\":0,\"snapshot\":true,\"endpoints\":[]},\"settings\":"
            + settings + "}",
        datagrams == null
            ? null
            : "[peers]\naddresses = ["
                + String.join(
                    ", ",
                    datagrams.addressesFor(i).stream()
                        .map(a -> "\"127.0.0.1:" + a.getPort() + "\"")
                        .toList())
                + "]\n[pools.p]\n[[routes]]\npool = \"p\"\n");
  }

  // Processes, upstreams and links

  public List<Member> members() {
    return members;
  }

  public Map<String, StandInUpstream> upstreams() {
    return upstreams;
  }

  /** Returns the link from a process to an upstream. */
  public TcpLink link(int member, String upstream) {
    return upstreamLinks.get(member).get(upstream);
  }

  /** Returns the link from a process to discovery. */
  public TcpLink discoveryLink(int member) {
    return discoveryLinks.get(member);
  }

  /** Returns the links between the members; null if the processes are not members of one fleet. */
  public DatagramMesh datagrams() {
    return datagrams;
  }

  /** Adds an upstream and announces it to all; {@code sinceMillis} is its wall-clock start time, 0 for long ago. */
  public void add(String name, long sinceMillis) throws InterruptedException {
    StandInUpstream upstream = new StandInUpstream(name, group, UPSTREAM_DELAY_MICROS);
    cells.put(name, upstreams.size() / UPSTREAMS_PER_CELL);
    upstreams.put(name, upstream);
    for (Map<String, TcpLink> links : upstreamLinks) {
      links.put(name, new TcpLink(linkLoops.next(), upstream.address(), seed + nextSeed++));
    }
    announce(name, "in_service", sinceMillis);
  }

  /** Announces the status of an upstream to all: in_service, terminating or terminated. */
  public void announce(String name, String status, long sinceMillis) {
    for (int i = 0; i < discoveries.size(); i++) {
      discoveries
          .get(i)
          .announce(
              name, upstreamLinks.get(i).get(name).address(), cells.get(name), status, sinceMillis);
    }
    lastAnnouncedAt.put(name + ' ' + status, System.nanoTime());
  }

  /** Returns when the last of the discovery services announced a status, by System.nanoTime. */
  public long announcedAt(String name, String status) {
    return lastAnnouncedAt.get(name + ' ' + status);
  }

  /** Kills a process and restarts it under its name, with no state kept. */
  public void killAndRestart(int member) throws IOException, InterruptedException {
    members.get(member).signal("KILL");
    restartKilled(member);
  }

  /** Restarts a process that was killed, under its name and with no state kept; does not wait until it serves. */
  public void restartKilled(int member) throws IOException, InterruptedException {
    members.get(member).awaitEnd();
    members.get(member).close();
    start(members.get(member));
  }

  /** Clears all faults and continues processes that were stopped. */
  public void clearFaults() throws IOException, InterruptedException {
    for (int a = 0; a < members.size(); a++) {
      discoveryLinks.get(a).faults(Fault.NONE, Fault.NONE);
      discoveryLinks.get(a).refuse(false);
      for (TcpLink link : upstreamLinks.get(a).values()) {
        link.faults(Fault.NONE, Fault.NONE);
        link.refuse(false);
      }
      for (int b = 0; datagrams != null && b < members.size(); b++) {
        datagrams.fault(a, b, Fault.NONE);
      }
      if (members.get(a).runs()) {
        members.get(a).signal("CONT");
      }
    }
  }

  /** Returns the rules to check against the requests that the upstreams received from all processes. */
  public Verdict verdict() {
    return Verdict.ofUpstreams(upstreams, cells);
  }

  @Override
  public void close() {
    members.forEach(Member::close);
    discoveryLinks.forEach(TcpLink::close);
    upstreamLinks.forEach(byName -> byName.values().forEach(TcpLink::close));
    if (datagrams != null) {
      datagrams.close();
    }
    upstreams.values().forEach(StandInUpstream::close);
    discoveries.forEach(StandInDiscovery::close);
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    linkLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    try (Stream<Path> files = Files.walk(folder)) {
      files
          .sorted(java.util.Comparator.reverseOrder())
          .forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      // The folder is in the system's temporary directory.
    }
  }
}
