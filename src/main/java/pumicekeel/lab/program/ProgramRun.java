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

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MS;
  private static final long START_UNIX_MS = 1_700_000_000_000L;
  private static final long DRAIN_GRACE_NANOS = 2 * NANOS_PER_SECOND;
  private static final long DEDUP_WINDOW_NANOS = 2 * NANOS_PER_SECOND;
  private static final long WARM_UP_NANOS = 8 * NANOS_PER_SECOND;
  private static final long IDLE_TIMEOUT_NANOS = 3 * NANOS_PER_SECOND;
  private static final long LONGEST_DEADLINE_NANOS = 2 * NANOS_PER_SECOND;
  /** Least time from SIGTERM to SIGKILL: the longest deadline plus 0.7 s. */
  private static final long STOP_LIMIT_NANOS = LONGEST_DEADLINE_NANOS + 700 * NANOS_PER_MS;
  /** Time from the announced departure of an upstream to its end. */
  private static final long DEPARTURE_NANOS = 4 * NANOS_PER_SECOND;
  /** Upper bound of the time that a connection stays idle; the limits on clients are shorter. */
  private static final long SETTLING_NANOS = 12 * NANOS_PER_SECOND;
  /** Buffer bytes that one connection may hold: one read, the kept part of a body in each direction, and what waits to be written. */
  private static final long MAX_BUFFER_BYTES_PER_SOCKET = 400 << 10;
  /** An upstream's capacity relative to its usual load; the budget of a cold upstream depends on its capacity. */
  private static final double CAPACITY_FACTOR = 2;

  private static final int JSON_RPC_PORT = 1_999;
  /** One in this many requests is a JSON-RPC call, if the run has a listener for calls. */
  private static final int REQUESTS_PER_CALL = 4;

  private final Script script;
  private final VirtualLoop loop = new VirtualLoop();
  private final VirtualNetwork network;
  private final Clock clock = new Clock(loop::now, START_UNIX_MS);
  private final Settings settings;
  private final RunVerifier verifier;
  private final Map<Integer, RawServer> servers = new HashMap<>();
  private RawDiscovery discovery;
  private RawClients clients;
  private RawJsonRpcClients jsonRpcClients;
  private InetSocketAddress jsonRpcAddress;
  private int generation;
  private Node node;
  private long startNanos;
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
    this(steps == null ? Script.of(seed) : Script.of(seed).withSteps(steps), trace);
  }

  /** Creates the run of a script; {@code trace} receives one line per event and may be null. */
  ProgramRun(Script script, Consumer<String> trace) {
    this.script = script;
    network = new VirtualNetwork(loop, script.randomFor("network"), this::reportViolation);
    settings = settings(400 * NANOS_PER_MS);
    verifier =
        new RunVerifier(loop, settings.contract(), DEDUP_WINDOW_NANOS + 2 * NANOS_PER_MS, trace);
  }

  private static Settings settings(long aimNanos) {
    return new Settings(
        0,
        1,
        "a",
        List.of(
            requestClass("look", Effect.SAFE, DedupScope.ALL, aimNanos),
            requestClass("quote", Effect.KEYED, DedupScope.CELL, aimNanos),
            requestClass("order", Effect.UNSAFE, DedupScope.ALL, aimNanos)),
        List.of(),
        new Limits(
            true,
            false,
            false,
            true,
            true,
            NANOS_PER_SECOND,
            4,
            10_000,
            1,
            250 * NANOS_PER_MS,
            IDLE_TIMEOUT_NANOS),
        new Contract(
            8 * NANOS_PER_MS,
            10 * NANOS_PER_SECOND,
            DRAIN_GRACE_NANOS,
            0.3,
            WARM_UP_NANOS,
            3,
            3 * NANOS_PER_SECOND),
        new Prices(0, 0, 0),
        true,
        WeightKind.NONE,
        0.2,
        true,
        NANOS_PER_MS);
  }

  private void reportViolation(String description) {
    verifier.reportViolation(description);
  }

  private static RequestClass requestClass(
      String name, Effect effect, DedupScope scope, long aimNanos) {
    return new RequestClass(
        name, effect, scope, DEDUP_WINDOW_NANOS, aimNanos, 0, 2 * NANOS_PER_SECOND, 1, 0, false);
  }

  /** Plays the run to its end and returns its result. */
  public Report play() {
    Log.redirect(this::checkLogLine);
    loop.onFailure(e -> verifier.reportViolation("uncaught exception: " + e
        + (e.getStackTrace().length == 0 ? "" : " at " + e.getStackTrace()[0])));
    try {
      startRun();
      for (Step step : script.steps()) {
        loop.runUntil(startNanos + step.atNanos());
        playStep(step);
      }
      long lastStepNanos =
          script.steps().stream().mapToLong(Step::atNanos).max().orElse(0);
      loop.runUntil(startNanos + lastStepNanos + STOP_LIMIT_NANOS + NANOS_PER_SECOND);
      if (stopped && !node.hasDrained()) {
        verifier.reportViolation("the balancer did not stop within its time limit");
      }
      clients.close();
      if (jsonRpcClients != null) {
        jsonRpcClients.close();
      }
      loop.runUntil(loop.now() + SETTLING_NANOS);
      checkEnd();
    } catch (IOException | InterruptedException | RuntimeException e) {
      verifier.reportViolation("the run was aborted by " + e + " at " + e.getStackTrace()[0]);
    } finally {
      Log.redirect(null);
    }
    return new Report(
        script.seed(),
        verifier.violation(),
        verifier.requests(),
        verifier.served(),
        verifier.refused(),
        verifier.checksum(),
        loop.executed(),
        network.maxOpenSockets(),
        network.maxBufferBytes());
  }

  private void startRun() throws IOException, InterruptedException {
    discovery = new RawDiscovery(network, verifier);
    for (int i = 0; i < script.servers(); i++) {
      servers.put(i, new RawServer(i, 0, script, network, verifier));
      discovery.update(servers.get(i), "in_service", 0);
    }
    Configuration configuration = new Configuration(
        "n0",
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        discovery.address(),
        script.seed(),
        script.sockets(),
        new HostList(0, true, List.of()),
        settings);
    jsonRpcAddress = script.hasOperatorFile()
        ? new InetSocketAddress(InetAddress.getLoopbackAddress(), JSON_RPC_PORT)
        : null;
    node = new Node(
        new Reactor(loop, clock, network),
        configuration,
        script.hasOperatorFile() ? OperatorFiles.generation(0, jsonRpcAddress) : null,
        () -> verifier.reportViolation("the program requested its own termination"),
        false);
    clients = new RawClients(script, network, verifier, node.start());
    jsonRpcClients = script.hasOperatorFile()
        ? new RawJsonRpcClients(script, network, verifier, jsonRpcAddress)
        : null;
    loop.runUntil(loop.now() + 200 * NANOS_PER_MS);
    startNanos = loop.now();
  }

  private void checkLogLine(String line) {
    verifier.note("log: " + line, 0);
    if (line.contains("Exception") && !line.contains("IOException")
        || line.contains("Error")
        || line.startsWith("defect")) {
      verifier.reportViolation("unexpected log line: " + line);
    }
  }

  private void request(int number) {
    if (jsonRpcClients != null && number % REQUESTS_PER_CALL == 0) {
      jsonRpcClients.request(number);
    } else {
      clients.request(number);
    }
  }

  /** Reloads the program with the next generation of the operator file or with other settings, unless it is stopping. */
  private void reload() {
    generation++;
    try {
      if (script.hasOperatorFile() && !stopped) {
        node.reload(OperatorFiles.generation(generation, jsonRpcAddress));
      } else if (!stopped) {
        node.reload(new Configuration(
            "n0",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            discovery.address(),
            script.seed(),
            script.sockets(),
            new HostList(0, true, List.of()),
            settings(400 * NANOS_PER_MS + generation % 2 * 200 * NANOS_PER_MS)));
      }
    } catch (IOException | InterruptedException e) {
      verifier.reportViolation("reload failed: " + e.getMessage());
    }
  }

  private void playStep(Step step) {
    if (step.kind() != Step.Kind.REQUEST) {
      verifier.note(step.kind().toString(), step.target());
    }
    RawServer server = servers.get(step.target());
    switch (step.kind()) {
      case REQUEST -> request(step.target());
      case BURST -> clients.burst(step.target());
      case IDLE_CLIENTS ->
        clients.connectIdle(script.sockets() / 4 + step.target() * 2, step.durationNanos());
      case DRAIN -> drain(server);
      case START_UPSTREAM -> startUpstream();
      case HANG -> server.hang(step.durationNanos());
      case CRASH -> server.crash(step.durationNanos());
      case ISOLATE -> server.isolate(step.durationNanos());
      case REJECT -> server.rejectRequests(step.durationNanos());
      case SLOW_DOWN -> server.slowDown(step.durationNanos());
      case CLOSE_IDLE -> server.closeIdleConnections();
      case RESET_WATCHES -> discovery.resetWatches();
      case SILENCE_WATCHES -> discovery.silence(step.durationNanos());
      case RELOAD -> reload();
      case STOP -> {
        stopped = true;
        clients.balancerStopped();
        if (jsonRpcClients != null) {
          jsonRpcClients.balancerStopped();
        }
        verifier.stopping(LONGEST_DEADLINE_NANOS);
        node.drain();
      }
    }
  }

  private void drain(RawServer server) {
    discovery.update(server, "terminating", 0);
    loop.runAt(loop.now() + DEPARTURE_NANOS, () -> {
      discovery.update(server, "terminated", 0);
      server.terminate();
    });
  }

  private void startUpstream() {
    try {
      RawServer server = new RawServer(servers.size(), loop.now(), script, network, verifier);
      servers.put(server.number, server);
      discovery.update(server, "in_service", clock.millis());
    } catch (IOException e) {
      verifier.reportViolation("the simulated network failed: " + e.getMessage());
    }
  }

  private void checkEnd() {
    servers.values().stream()
        .filter(s -> s.startedAtNanos > 0)
        .forEach(s -> verifier.checkColdBudget(
            s.number,
            s.startedAtNanos,
            CAPACITY_FACTOR * script.requestsPerSecond() / script.servers()));
    if (network.maxOpenSockets() > script.sockets()) {
      verifier.reportViolation(
          "held " + network.maxOpenSockets() + " sockets, limit " + script.sockets());
    }
    if (network.maxBufferBytes() > script.sockets() * MAX_BUFFER_BYTES_PER_SOCKET) {
      verifier.reportViolation("held " + network.maxBufferBytes()
          + " bytes of buffers with a limit of " + script.sockets() + " sockets");
    }
    String openConnections = network.openSockets().stream()
        .filter(s -> !discovery.address().equals(s.remoteAddress()))
        .map(s -> s.localAddress() + " to " + s.remoteAddress())
        .collect(Collectors.joining(", "));
    if (!openConnections.isEmpty()) {
      verifier.reportViolation("connections left open at the end of the run: " + openConnections);
    }
    List.copyOf(network.openSockets()).forEach(VirtualSocket::close);
    loop.runUntil(loop.now() + NANOS_PER_SECOND);
    if (network.bufferBytes() > 0) {
      verifier.reportViolation(
          "buffers not released at the end of the run: " + network.bufferBytes() + " bytes");
    }
  }
}
