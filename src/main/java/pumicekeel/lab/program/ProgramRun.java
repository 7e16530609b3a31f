package pumicekeel.lab.program;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Limits;
import pumicekeel.Balancer.Prices;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.WeightKind;
import pumicekeel.config.Configuration;
import pumicekeel.discovery.HostList;
import pumicekeel.node.Node;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;

/**
 * Runs the whole serving program in virtual time: fronts, core, module, upstream connections, discovery and shutdown are the production
 * code, on an event loop and a network that are simulated from the seed. Simulated clients, upstreams and discovery report what they
 * observe to a {@link RunVerifier}. The same script gives the same run, byte for byte.
 */
public final class ProgramRun {

  /**
   * The result of a run.
   *
   * @param requests requests that clients sent
   * @param served requests that were answered with 200
   * @param refused requests that were answered with 429 or 503
   * @param violation the first violated rule, or null if all held
   * @param checksum a checksum of all events and their times
   * @param events tasks and timers that the event loop executed
   * @param maxSockets most sockets that the program held at one time
   * @param maxBufferBytes most bytes of buffers that the program held at one time
   */
  public record Report(
      long seed,
      String violation,
      int requests,
      int served,
      int refused,
      long checksum,
      long events,
      int maxSockets,
      long maxBufferBytes) {}

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final long UNIX_MILLIS = 1_700_000_000_000L;
  private static final long GRACE = 2 * SECOND;
  private static final long DEDUP = 2 * SECOND;
  private static final long WARM = 8 * SECOND;
  private static final long IDLE = 3 * SECOND;
  /** Least time from SIGTERM to SIGKILL: the longest deadline plus 0.7 s. */
  private static final long STOP_WITHIN = 2 * SECOND + 700 * MS;
  /** Time from the announced departure of an upstream to its end. */
  private static final long LEAVES_WITHIN = 4 * SECOND;
  /** Upper bound of the time that a connection stays idle; the limits on clients are shorter. */
  private static final long SETTLES = 12 * SECOND;
  /** Buffer bytes that one connection may hold: one read, the kept part of a body in each direction, and what waits to be written. */
  private static final long BYTES_EACH = 400 << 10;
  /** An upstream's capacity relative to its usual load; the budget of a cold upstream depends on its capacity. */
  private static final double CAPACITY = 2;

  private static final int PARTNER_PORT = 1_999;
  /** One in this many requests is a JSON-RPC call, if the run has a listener for calls. */
  private static final int CALLS_IN = 4;

  private final Script script;
  private final VirtualLoop loop = new VirtualLoop();
  private final VirtualNetwork network;
  private final Clock clock = new Clock(loop::now, UNIX_MILLIS);
  private final Settings settings;
  private final RunVerifier verifier;
  private final Map<Integer, RawServer> servers = new HashMap<>();
  private RawDiscovery discovery;
  private RawClients clients;
  private RawCalls calls;
  private InetSocketAddress operatorListener;
  private int generation;
  private Node node;
  private long start;
  private boolean stopped;

  /** Creates the run of a seed. */
  public ProgramRun(long seed) {
    this(Script.of(seed), null);
  }

  /**
   * Creates the run of a seed with a subset of its steps.
   *
   * @param steps numbers of the steps to play, or null for all
   * @param trace receives one line per event, or null
   */
  public ProgramRun(long seed, List<Integer> steps, Consumer<String> trace) {
    this(steps == null ? Script.of(seed) : Script.of(seed).only(steps), trace);
  }

  /** Creates the run of a script; {@code trace} receives one line per event and may be null. */
  ProgramRun(Script script, Consumer<String> trace) {
    this.script = script;
    network = new VirtualNetwork(loop, script.randomFor("network"), this::broken);
    settings = settings(400 * MS);
    verifier = new RunVerifier(loop, settings.contract(), DEDUP + 2 * MS, trace);
  }

  private static Settings settings(long aim) {
    return new Settings(
        0,
        1,
        "a",
        List.of(
            type("look", Effect.SAFE, DedupScope.ALL, aim),
            type("quote", Effect.KEYED, DedupScope.CELL, aim),
            type("order", Effect.UNSAFE, DedupScope.ALL, aim)),
        List.of(),
        new Limits(true, false, false, true, true, SECOND, 4, 10_000, 1, 250 * MS, IDLE),
        new Contract(8 * MS, 10 * SECOND, GRACE, 0.3, WARM, 3, 3 * SECOND),
        new Prices(0, 0, 0),
        true,
        WeightKind.NONE,
        0.2,
        true,
        MS);
  }

  private void broken(String what) {
    verifier.broken(what);
  }

  private static RequestClass type(String name, Effect effect, DedupScope scope, long aim) {
    return new RequestClass(name, effect, scope, DEDUP, aim, 0, 2 * SECOND, 1, 0, false);
  }

  /** Plays the run to its end and returns its result. */
  public Report play() {
    Log.redirect(this::logged);
    loop.onFailure(e -> verifier.broken("uncaught exception: " + e
        + (e.getStackTrace().length == 0 ? "" : " at " + e.getStackTrace()[0])));
    try {
      begin();
      for (Step s : script.steps()) {
        loop.runUntil(start + s.at());
        happen(s);
      }
      long last = script.steps().stream().mapToLong(Step::at).max().orElse(0);
      loop.runUntil(start + last + STOP_WITHIN + SECOND);
      if (stopped && !node.hasDrained()) {
        verifier.broken("the balancer did not stop within its time limit");
      }
      clients.close();
      if (calls != null) {
        calls.close();
      }
      loop.runUntil(loop.now() + SETTLES);
      end();
    } catch (IOException | InterruptedException | RuntimeException e) {
      verifier.broken("the run was aborted by " + e + " at " + e.getStackTrace()[0]);
    } finally {
      Log.redirect(null);
    }
    return new Report(
        script.seed(),
        verifier.breach(),
        verifier.asked(),
        verifier.served(),
        verifier.refused(),
        verifier.sum(),
        loop.done(),
        network.mostOpen(),
        network.mostBytes());
  }

  private void begin() throws IOException, InterruptedException {
    discovery = new RawDiscovery(network, verifier);
    for (int i = 0; i < script.servers(); i++) {
      servers.put(i, new RawServer(i, 0, script, network, verifier));
      discovery.tell(servers.get(i), "in_service", 0);
    }
    Configuration configuration = new Configuration(
        "n0",
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        discovery.address(),
        script.seed(),
        script.sockets(),
        new HostList(0, true, List.of()),
        settings);
    operatorListener = script.pools()
        ? new InetSocketAddress(InetAddress.getLoopbackAddress(), PARTNER_PORT)
        : null;
    node = new Node(
        new Reactor(loop, clock, network),
        configuration,
        script.pools() ? OperatorFiles.generation(0, operatorListener) : null,
        () -> verifier.broken("the program requested its own termination"),
        false);
    clients = new RawClients(script, network, verifier, node.start());
    calls = script.pools() ? new RawCalls(script, network, verifier, operatorListener) : null;
    loop.runUntil(loop.now() + 200 * MS);
    start = loop.now();
  }

  private void logged(String line) {
    verifier.note("log: " + line, 0);
    if (line.contains("Exception") && !line.contains("IOException")
        || line.contains("Error")
        || line.startsWith("defect")) {
      verifier.broken("unexpected log line: " + line);
    }
  }

  private void ask(int number) {
    if (calls != null && number % CALLS_IN == 0) {
      calls.ask(number);
    } else {
      clients.ask(number);
    }
  }

  /** Reloads the program with the next generation of the operator file or with other settings, unless it is stopping. */
  private void reload() {
    generation++;
    try {
      if (script.pools() && !stopped) {
        node.reload(OperatorFiles.generation(generation, operatorListener));
      } else if (!stopped) {
        node.reload(new Configuration(
            "n0",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            discovery.address(),
            script.seed(),
            script.sockets(),
            new HostList(0, true, List.of()),
            settings(400 * MS + generation % 2 * 200 * MS)));
      }
    } catch (IOException | InterruptedException e) {
      verifier.broken("reload failed: " + e.getMessage());
    }
  }

  private void happen(Step step) {
    if (step.kind() != Step.Kind.ASK) {
      verifier.note(step.kind().toString(), step.which());
    }
    RawServer server = servers.get(step.which());
    switch (step.kind()) {
      case ASK -> ask(step.which());
      case BURST -> clients.burst(step.which());
      case CROWD -> clients.crowd(script.sockets() / 4 + step.which() * 2, step.nanos());
      case DRAIN -> drain(server);
      case FRESH -> fresh();
      case HANG -> server.hang(step.nanos());
      case CRASH -> server.crash(step.nanos());
      case CUT_OFF -> server.cutOff(step.nanos());
      case FULL -> server.full(step.nanos());
      case SLOW -> server.slow(step.nanos());
      case IMPATIENT -> server.impatient();
      case WATCH_BREAKS -> discovery.breakWatches();
      case WATCH_SILENT -> discovery.silent(step.nanos());
      case RELOAD -> reload();
      case STOP -> {
        stopped = true;
        clients.stopped();
        if (calls != null) {
          calls.stopped();
        }
        node.drain();
      }
    }
  }

  private void drain(RawServer server) {
    discovery.tell(server, "terminating", 0);
    loop.at(loop.now() + LEAVES_WITHIN, () -> {
      discovery.tell(server, "terminated", 0);
      server.leave();
    });
  }

  private void fresh() {
    try {
      RawServer server = new RawServer(servers.size(), loop.now(), script, network, verifier);
      servers.put(server.number, server);
      discovery.tell(server, "in_service", clock.millis());
    } catch (IOException e) {
      verifier.broken("the simulated network failed: " + e.getMessage());
    }
  }

  private void end() {
    servers.values().stream()
        .filter(s -> s.startedAt > 0)
        .forEach(s -> verifier.judgeCold(
            s.number, s.startedAt, CAPACITY * script.perSecond() / script.servers()));
    if (network.mostOpen() > script.sockets()) {
      verifier.broken("held " + network.mostOpen() + " sockets, limit " + script.sockets());
    }
    if (network.mostBytes() > script.sockets() * BYTES_EACH) {
      verifier.broken("held " + network.mostBytes() + " bytes of buffers with a limit of "
          + script.sockets() + " sockets");
    }
    String left = network.open().stream()
        .filter(s -> !discovery.address().equals(s.remoteAddress()))
        .map(s -> s.localAddress() + " to " + s.remoteAddress())
        .collect(Collectors.joining(", "));
    if (!left.isEmpty()) {
      verifier.broken("connections left open at the end of the run: " + left);
    }
    List.copyOf(network.open()).forEach(VirtualSocket::close);
    loop.runUntil(loop.now() + SECOND);
    if (network.bytes() > 0) {
      verifier.broken("buffers not released at the end of the run: " + network.bytes() + " bytes");
    }
  }
}
