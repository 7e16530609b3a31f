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
 * Real processes of the program with a fault on any way between them: each has an address of its own for every upstream, for
 * discovery and, where they are members of one fleet, for every other member. What the processes did is told by the logs of the
 * stand-ins alone.
 */
public final class Mesh implements Closeable {

  /** Started at once; more would wait for each other's processor time. */
  private static final int WAVE = 16;

  private static final long DELAY_MICROS = 3_000;
  private static final int CELL = 2;

  private final long seed;
  private final Path folder;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final EventLoopGroup links =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Member> members = new ArrayList<>();
  private final List<StandInDiscovery> lists = new ArrayList<>();
  private final List<TcpLink> toDiscovery = new ArrayList<>();
  private final List<Map<String, TcpLink>> toUpstream = new ArrayList<>();
  private final Map<String, StandInUpstream> upstreams = new TreeMap<>();
  private final Map<String, Integer> cells = new TreeMap<>();
  private final Map<String, Long> toldLast = new LinkedHashMap<>();
  private final DatagramMesh datagrams;
  private long next;

  /**
   * Starts so many processes and upstreams ({@code s0} and so on, two a cell) and waits until all serve.
   *
   * @param peers whether the processes are members of one fleet
   * @param flags for their JVMs
   */
  public Mesh(int processes, int upstreams, boolean peers, List<String> flags, long seed)
      throws IOException, InterruptedException {
    this.seed = seed;
    folder = Files.createTempDirectory("mesh");
    boolean up = false;
    try {
      datagrams = peers ? new DatagramMesh(links.next(), processes, seed) : null;
      List<String> command = new ArrayList<>(
          List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
      command.addAll(flags);
      command.addAll(
          List.of("-cp", System.getProperty("java.class.path"), "pumicekeel.cli.Main", "serve"));
      for (int i = 0; i < processes; i++) {
        members.add(new Member("n" + i, command, folder));
        lists.add(new StandInDiscovery(group));
        toDiscovery.add(new TcpLink(links.next(), lists.get(i).address(), seed + next++));
        toUpstream.add(new TreeMap<>());
      }
      for (int i = 0; i < upstreams; i++) {
        add("s" + i, 0);
      }
      for (int from = 0; from < processes; from += WAVE) {
        List<Member> wave = members.subList(from, Math.min(processes, from + WAVE));
        for (Member m : wave) {
          start(m);
        }
        for (Member m : wave) {
          m.awaitReady();
        }
      }
      up = true;
    } finally {
      if (!up) {
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
            + toDiscovery.get(i).address().getPort() + "\",\"seed\":\""
            + Long.toHexString(seed + next++)
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

  // The parties

  public List<Member> members() {
    return members;
  }

  public Map<String, StandInUpstream> upstreams() {
    return upstreams;
  }

  /** The way from a process to an upstream. */
  public TcpLink link(int member, String upstream) {
    return toUpstream.get(member).get(upstream);
  }

  /** The way from a process to discovery. */
  public TcpLink discoveryLink(int member) {
    return toDiscovery.get(member);
  }

  /** The ways between members of one fleet; null where they are none. */
  public DatagramMesh datagrams() {
    return datagrams;
  }

  /** A further upstream, told to all; {@code sinceMillis} is when it started by the wall clock, 0 for long ago. */
  public void add(String name, long sinceMillis) throws InterruptedException {
    StandInUpstream upstream = new StandInUpstream(name, group, DELAY_MICROS);
    cells.put(name, upstreams.size() / CELL);
    upstreams.put(name, upstream);
    for (Map<String, TcpLink> ways : toUpstream) {
      ways.put(name, new TcpLink(links.next(), upstream.address(), seed + next++));
    }
    announce(name, "in_service", sinceMillis);
  }

  /** Tells all of an upstream's state: in_service, terminating or terminated. */
  public void announce(String name, String status, long sinceMillis) {
    for (int i = 0; i < lists.size(); i++) {
      lists
          .get(i)
          .announce(
              name, toUpstream.get(i).get(name).address(), cells.get(name), status, sinceMillis);
    }
    toldLast.put(name + ' ' + status, System.nanoTime());
  }

  /** When the last process's discovery was told so, by System.nanoTime. */
  public long announcedAt(String name, String status) {
    return toldLast.get(name + ' ' + status);
  }

  /** Ends a process outright and starts it again under its name, with nothing kept. */
  public void killAndStart(int member) throws IOException, InterruptedException {
    members.get(member).signal("KILL");
    killedStartsAgain(member);
  }

  /** The next life of a process that was ended, under its name and with nothing kept; does not wait until it serves. */
  public void killedStartsAgain(int member) throws IOException, InterruptedException {
    members.get(member).awaitEnd();
    members.get(member).close();
    start(members.get(member));
  }

  /** All ways are whole again, and whoever was stopped goes on. */
  public void heal() throws IOException, InterruptedException {
    for (int a = 0; a < members.size(); a++) {
      toDiscovery.get(a).faults(Fault.NONE, Fault.NONE);
      toDiscovery.get(a).refuse(false);
      for (TcpLink link : toUpstream.get(a).values()) {
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

  /** The rules, to be held against what the upstreams saw of all processes together. */
  public Verdict verdict() {
    return Verdict.ofUpstreams(upstreams, cells);
  }

  @Override
  public void close() {
    members.forEach(Member::close);
    toDiscovery.forEach(TcpLink::close);
    toUpstream.forEach(ways -> ways.values().forEach(TcpLink::close));
    if (datagrams != null) {
      datagrams.close();
    }
    upstreams.values().forEach(StandInUpstream::close);
    lists.forEach(StandInDiscovery::close);
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    links.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    try (Stream<Path> files = Files.walk(folder)) {
      files
          .sorted(java.util.Comparator.reverseOrder())
          .forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      // A folder of the system's for what is temporary.
    }
  }
}
