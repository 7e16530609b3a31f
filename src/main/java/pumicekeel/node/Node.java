package pumicekeel.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import pumicekeel.config.Configuration;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.config.OperatorLoader;
import pumicekeel.discovery.UpstreamSource;
import pumicekeel.front.Front;
import pumicekeel.front.admin.AdminEndpoint;
import pumicekeel.front.http.HttpFront;
import pumicekeel.front.jsonrpc.RequestIds;
import pumicekeel.journal.Journal;
import pumicekeel.journal.JournalWriter;
import pumicekeel.journal.KeyMemory;
import pumicekeel.operation.OperatorCalls;
import pumicekeel.operation.Rotation;
import pumicekeel.peers.PeerLink;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.PayloadMemory;
import pumicekeel.runtime.Reactor;
import pumicekeel.runtime.Retry;
import sun.misc.Signal;

/** A balancer that serves on sockets, with a single event-loop thread. */
public final class Node {

  /**
   * New clients still arrive for 0.4 s after SIGTERM, and SIGKILL follows after the longest deadline (at most 3 s) plus 0.7 s. Requests
   * accepted before SIGTERM expire by that deadline, so all are answered by then; the 0.7 s cover a process that is stalled at the worst
   * moment. Clients reuse their connections while these are open, and another balancer may be down: until one second before the longest
   * deadline they are served as usual.
   */
  private static final long ACCEPT_MILLIS = 500;

  private static final long MAX_DEADLINE_MILLIS = 3_000;
  private static final long FINAL_CLOSE_MILLIS = 1_000;
  private static final long POLL_MILLIS = 10;
  /** How long temporary failures are retried at the start; a platform waits 30 s for a process. */
  private static final long START_RETRY_MILLIS = 15_000;
  /** How long the process waits for the last log lines to be written. */
  private static final long LOG_FLUSH_MILLIS = 100;
  /** Limit on the warm-up's connections to the balancer itself, if these can't use the clients' socket. */
  private static final int WARM_UP_SOCKETS = 64;
  /** Interval at which the step of an evacuation is checked. */
  private static final long EVACUATION_POLL_MILLIS = 20;

  private final Reactor reactor;
  private final EventLoop loop;
  private final LoopLag lag;
  /** Whether a warm-up runs before the node reports ready. */
  private final boolean warmsUp;
  /** Replaced on the event loop; also read by the reload thread. */
  private volatile Configuration configuration;

  private final Runnable crash;
  private final NodePools pools;
  private final ServicePools servicePools;
  private final Listeners listeners;
  private final String warmUpPath = WarmUp.newPath();
  private final OperatorConfiguration firstGeneration;
  private Journal journal;
  private PeerLink peers;
  private DepartureSharing departures;
  /** Event loop only. */
  private boolean acceptsRequests;

  private boolean draining;
  private final Rotation rotation = new Rotation();
  private final AdminEndpoint admin;
  private SocketAddress adminAddress;
  private boolean evacuating;
  private final CountDownLatch ready = new CountDownLatch(1);
  private final CountDownLatch drained = new CountDownLatch(1);

  /** Creates a balancer; {@code crash} ends the process after a defect of the module. */
  Node(Configuration configuration, Runnable crash) {
    this(configuration, null, crash);
  }

  /** Creates a balancer with the pools of an operator file, or with a single pool if {@code operator} is null. */
  public Node(Configuration configuration, OperatorConfiguration operator, Runnable crash) {
    this(Reactor.start(), configuration, operator, crash, true);
  }

  /** Creates a balancer on a given event loop, clock and channels. */
  public Node(
      Reactor reactor,
      Configuration configuration,
      OperatorConfiguration operator,
      Runnable crash,
      boolean warmsUp) {
    this.reactor = reactor;
    loop = reactor.loop();
    lag = new LoopLag(reactor);
    this.warmsUp = warmsUp;
    this.configuration = configuration;
    this.crash = crash;
    servicePools = operator == null
        ? null
        : new ServicePools(configuration, operator, reactor, lag, this::defect);
    pools = servicePools == null
        ? new SinglePool(configuration, reactor, lag, this::defect)
        : servicePools;
    firstGeneration = operator;
    OperatorCalls calls = new OperatorCalls(
        rotation,
        this::onRotationChange,
        () -> peers == null ? null : peers.view(),
        reactor.guard()::summary,
        this::listLine);
    admin =
        new AdminEndpoint(reactor, line -> calls.answer(line, reactor.clock().now()));
    reactor.errors().onError(this::fatalError);
    listeners = new Listeners(
        reactor,
        lag,
        pools.router(),
        servicePools == null
            ? ProcessCapacity.clientSockets(configuration)
            : servicePools.capacity().clientSockets(),
        warmUpPath,
        new RequestIds(configuration.name(), reactor.clock().millis()));
  }

  /**
   * Runs a balancer until SIGTERM and returns the exit status: 2 for an invalid configuration, operator file or address.
   * The operator file may be null. Temporary failures during the start are retried for a while.
   */
  public static int serve(Map<String, String> environment, Path operatorFile, PrintStream err)
      throws InterruptedException {
    Reload.recordEarlyHangup();
    Node node;
    try {
      Configuration configuration =
          Retry.call("configuration", START_RETRY_MILLIS, () -> Configuration.read(environment));
      OperatorConfiguration operator = operatorFile == null
          ? null
          : Retry.call(
              "operator file", START_RETRY_MILLIS, () -> OperatorLoader.load(operatorFile));
      DeliveredConfiguration delivered = operator == null || operator.control() == null
          ? null
          : Retry.call(
              "delivered configuration",
              START_RETRY_MILLIS,
              () -> DeliveredConfiguration.open(configuration, operator));
      OperatorConfiguration first = delivered == null ? operator : delivered.first();
      node = Retry.call(
          "event loop", START_RETRY_MILLIS, () -> new Node(configuration, first, () -> halt(1)));
      ExecutorService worker = Retry.call("reload thread", START_RETRY_MILLIS, Reload::newWorker);
      Runnable operatorReading =
          operatorFile == null ? null : Reload.operatorReading(operatorFile, node, delivered);
      node.start();
      Reload.onHangup(environment, operatorReading, node, worker);
      if (delivered != null) {
        delivered.follow(node, worker);
      }
    } catch (OperatorLoader.InvalidFileException e) {
      e.lines().forEach(err::println);
      return 2;
    } catch (IOException | RuntimeException e) {
      err.println("configuration: " + String.valueOf(e.getMessage()).replace('\n', ' ') + ": "
          + e.getClass().getSimpleName());
      return 2;
    }
    node.endAtSignals();
    node.awaitDrained();
    node.closeJournal();
    halt(0);
    return 0;
  }

  /**
   * Drains at SIGTERM and SIGINT. Uses its own signal handlers: Java's shutdown hooks need a new thread, and if the system is out of
   * threads the process would end at once with all its open requests.
   */
  private void endAtSignals() {
    for (String name : List.of("TERM", "INT")) {
      Signal.handle(new Signal(name), signal -> drain());
    }
    // Without its event loop the process cannot serve any request; the platform starts another one.
    reactor.errors().onLoopEnd(() -> {
      try {
        Log.line("the event loop has ended");
      } finally {
        halt(1);
      }
    });
  }

  /** Ends the process, also when nothing else is possible any more. */
  private static void halt(int status) {
    try {
      Log.flush(LOG_FLUSH_MILLIS);
    } finally {
      Runtime.getRuntime().halt(status);
    }
  }

  /** Starts as {@code serve} does and ends once ready: the training run for the class-data archive. */
  public static int rehearse(Map<String, String> environment)
      throws IOException, InterruptedException {
    Node node =
        new Node(Configuration.read(environment), () -> Runtime.getRuntime().halt(1));
    node.start();
    node.ready.await();
    return 0;
  }

  /** Listens and follows the upstream list; returns the address that clients connect to. */
  public InetSocketAddress start() throws IOException, InterruptedException {
    if (configuration.admin() != null) {
      adminAddress = Retry.call(
          "admin listener", START_RETRY_MILLIS, () -> admin.listen(configuration.admin()));
    }
    Retry.call("journal", START_RETRY_MILLIS, this::openJournal);
    Retry.call("peers", START_RETRY_MILLIS, this::openPeers);
    departures = DepartureSharing.of(reactor, configuration);
    Map<String, Front> bound = firstGeneration == null
        ? Map.of()
        : Retry.call("listeners", START_RETRY_MILLIS, () -> listeners.bind(firstGeneration));
    HttpFront warmUpFront = configuration.inherited()
        ? new HttpFront(reactor, lag, "warm-up", pools.router(), WARM_UP_SOCKETS, warmUpPath)
        : null;
    InetSocketAddress address = warmUpFront == null
        ? Retry.call(
            "listener",
            START_RETRY_MILLIS,
            () -> listeners.platform().listen(configuration.listen()))
        : Retry.call(
            "listener", START_RETRY_MILLIS, () -> listeners.platform().adopt(inheritedSocket()));
    // Other processes that share an inherited socket may accept the connections of the warm-up.
    InetSocketAddress self = warmUpFront == null
        ? address
        : Retry.call(
            "warm-up listener",
            START_RETRY_MILLIS,
            () -> warmUpFront.listen(new InetSocketAddress(address.getAddress(), 0)));
    loop.execute(() -> {
      pools.start();
      if (departures != null) {
        departures.share(pools.platformSource());
      }
      if (servicePools != null) {
        listeners.apply(firstGeneration, bound, false);
        Log.line("serves the pools " + servicePools.summary());
      }
      Runnable onWarm = () -> serve(warmUpFront, address);
      if (warmsUp) {
        WarmUp.run(reactor, lag, self, warmUpPath, configuration.settings(), onWarm);
      } else {
        onWarm.run();
      }
    });
    return address;
  }

  private void serve(HttpFront warmUpFront, InetSocketAddress address) {
    if (warmUpFront != null) {
      warmUpFront.stopListening();
      warmUpFront.closeIdle();
    }
    listeners.setReady();
    acceptsRequests = true;
    rotation.started();
    Log.line(configuration.name() + " serves at " + address);
    ready.countDown();
  }

  private static ServerSocketChannel inheritedSocket() throws IOException {
    if (System.inheritedChannel() instanceof ServerSocketChannel socket) {
      return socket;
    }
    throw new IOException("PROXY_SOCKET_FD: expected a listening socket as descriptor 0");
  }

  /** Recovers the journal before anything is served: what may have run under the previous process has to be known. */
  private Void openJournal() throws IOException, InterruptedException {
    OperatorConfiguration.Journal spec = firstGeneration == null ? null : firstGeneration.journal();
    if (spec == null) {
      return null;
    }
    journal = Journal.open(
        spec.directory(),
        configuration.name(),
        new JournalWriter.Settings(
            spec.durability(),
            spec.refusesInTrouble(),
            spec.segmentBytes(),
            spec.keepBytes(),
            spec.keepMillis()),
        loop,
        Log::line);
    Clock clock = servicePools.clock();
    KeyMemory memory = new KeyMemory(KeyMemory.MAX_ENTRIES);
    int keys = journal.recover(memory, clock.now());
    Log.line(
        "journal in " + spec.directory() + ": " + keys + " keys may have run before this start");
    journal.unreadable().forEach(what -> Log.line("journal: could not be read: " + what));
    AttemptJournal log =
        new AttemptJournal(loop, clock, journal.writer(), memory, spec.maxWaitNanos());
    loop.submit(() -> servicePools.journal(log)).syncUninterruptibly();
    return null;
  }

  private Void openPeers() throws InterruptedException {
    List<InetSocketAddress> all =
        firstGeneration == null ? List.of() : firstGeneration.peers().addresses();
    if (!all.isEmpty()) {
      int me = configuration.settings().me();
      long epoch = System.currentTimeMillis();
      peers = new PeerLink(loop, all, me, epoch, configuration.seed() + me, Log::line);
      peers.open(all.get(me));
      if (firstGeneration.peers().lendQuotas()) {
        LentQuotas quotas = new LentQuotas(me, all.size(), epoch, configuration.seed() - me);
        loop.submit(() -> {
              servicePools.setQuotas(quotas);
              peers.attach(quotas);
            })
            .syncUninterruptibly();
      }
    }
    return null;
  }

  /** Returns how current the platform's list is and what other balancers report of it; null if no list is followed. */
  private String listLine() {
    UpstreamSource source = pools.platformSource();
    return source == null || source.currency() == null
        ? null
        : source.currency().statusLine(reactor.clock().now()) + ", calls failed "
            + source.failureCount() + (departures == null ? "" : departures.line());
  }

  /** Writes the pending journal entries; the process may end afterwards. */
  private void closeJournal() {
    try {
      if (journal != null) {
        journal.close();
      }
    } catch (IOException e) {
      Log.line("journal: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Applies what a new configuration may change at run time: the address of discovery, and the settings. Throws
   * IllegalArgumentException with the reason if nothing was applied. Waits for the event loop, so must not run on it.
   */
  public void reload(Configuration next) {
    pools.check(next);
    loop.submit(() -> {
          Log.line(next.name() + " reloads: discovery at " + next.discovery() + ", "
              + next.settings().classes().size() + " classes");
          configuration = next;
          pools.reload(next);
        })
        .syncUninterruptibly();
  }

  /** Returns the configuration in force, for the thread that reads the next one. */
  Configuration configuration() {
    return configuration;
  }

  /**
   * Applies a generation of the operator file as a whole, or not at all: then it throws an exception with the reason.
   * Waits for the event loop, so must not run on it.
   */
  public void reload(OperatorConfiguration next) throws IOException, InterruptedException {
    servicePools.check(next);
    Map<String, Front> bound = listeners.bind(next);
    String objection;
    try {
      objection = loop.submit(() -> {
            String reason = draining ? "the balancer drains" : servicePools.objection(next);
            if (reason == null) {
              servicePools.apply(next);
              listeners.apply(next, bound, acceptsRequests);
              Log.line(configuration.name() + " reloads: the pools " + servicePools.summary());
              servicePools
                  .needRestart(next)
                  .forEach(key -> Log.line("reload: " + key + " needs a restart"));
            }
            return reason;
          })
          .get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
    if (objection != null) {
      bound.values().forEach(Front::stopListening);
      throw new IOException(objection);
    }
  }

  /** Waits until the balancer is ready. */
  public void awaitReady() throws InterruptedException {
    ready.await();
  }

  /** Returns the outcomes of the requests so far, on one line; only with an operator file. */
  public String counters() {
    return loop.submit(() -> servicePools.counters().logLine())
        .syncUninterruptibly()
        .getNow();
  }

  /** Checks whether a generation fits the platform's limits; throws IllegalArgumentException if not. */
  public static void check(Configuration configuration, OperatorConfiguration operator) {
    ServicePools.check(configuration, operator);
  }

  /** Returns the address of a listener of the operator file; null if there is none of that name. */
  public InetSocketAddress addressOf(String listener) {
    return loop.submit(() -> listeners.address(listener)).syncUninterruptibly().getNow();
  }

  /** Ends the event loop; for a node inside another program. */
  public void close() {
    closeJournal();
    if (peers != null) {
      loop.execute(peers::close);
    }
    if (departures != null) {
      loop.execute(departures::close);
    }
    loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** Returns the link to the members of the fleet; null without peers. Event loop only. */
  PeerLink peers() {
    return peers;
  }

  ServicePools servicePools() {
    return servicePools;
  }

  Listeners listeners() {
    return listeners;
  }

  EventLoop loop() {
    return loop;
  }

  PayloadMemory memory() {
    return reactor.memory();
  }

  /** Returns the address of the admin endpoint; null if there is none. */
  InetSocketAddress adminAddress() {
    return (InetSocketAddress) adminAddress;
  }

  /** Starts or cancels an evacuation after an operator's call. */
  private void onRotationChange() {
    if (draining) {
      return;
    }
    if (rotation.step(reactor.clock().now()) == Rotation.Step.IN_ROTATION) {
      listeners.resume();
      Log.line(configuration.name() + " takes clients");
      return;
    }
    Log.line(configuration.name() + " sends clients away");
    listeners.drain();
    if (!evacuating) {
      advanceEvacuation();
    }
  }

  private void advanceEvacuation() {
    Rotation.Step step = rotation.step(reactor.clock().now());
    evacuating = step != Rotation.Step.IN_ROTATION && !draining;
    if (!evacuating) {
      return;
    }
    switch (step) {
      case FINAL_RESPONSES -> listeners.closeAfterAnswers();
      case CLOSING_IDLE -> listeners.closeIdle();
      case CLOSING_ALL -> listeners.closeIncomplete();
      default -> {}
    }
    loop.schedule(this::advanceEvacuation, EVACUATION_POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Begins a planned stop: answers accepted requests, and after a while accepts no new ones. */
  public void drain() {
    // Counted from the earliest time at which the signal may have been sent: a stalled process
    // handles it late, but SIGKILL is not delayed.
    long signalledAt = lag.undeliveredSince();
    loop.execute(() -> {
      Log.line(configuration.name() + " drains");
      draining = true;
      rotation.stopping();
      listeners.drain();
      long end = Math.min(
          MAX_DEADLINE_MILLIS,
          configuration.settings().classes().stream()
              .mapToLong(c -> TimeUnit.NANOSECONDS.toMillis(c.deadlineNanos()))
              .max()
              .orElse(0));
      long delay = reactor.clock().now() - signalledAt;
      pools.limitDeadlines(Math.max(0, TimeUnit.MILLISECONDS.toNanos(end) - delay));
      // On a socket shared with other processes the next process accepts already, or the kernel
      // queues clients until it does.
      long accept = configuration.inherited() ? 0 : ACCEPT_MILLIS;
      loop.schedule(listeners::stopListening, accept, TimeUnit.MILLISECONDS);
      if (configuration.supervised() || configuration.inherited()) {
        // Other instances can serve the clients, so they are informed by a response: a bare close
        // may
        // cross a request in transit.
        loop.schedule(listeners::closeAfterAnswers, accept, TimeUnit.MILLISECONDS);
      }
      loop.schedule(
          this::finishDrain,
          Math.max(
              TimeUnit.MILLISECONDS.toNanos(ACCEPT_MILLIS),
              TimeUnit.MILLISECONDS.toNanos(end - FINAL_CLOSE_MILLIS) - delay),
          TimeUnit.NANOSECONDS);
    });
  }

  private void finishDrain() {
    listeners.closeIncomplete();
    if (listeners.isClosed()) {
      Log.line(configuration.name() + " has drained");
      drained.countDown();
    } else {
      loop.schedule(this::finishDrain, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Whether a planned stop has completed. */
  public boolean hasDrained() {
    return drained.getCount() == 0;
  }

  public void awaitDrained() {
    try {
      drained.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Handles a defect of the module, which cannot be trusted any more. */
  private void defect(RuntimeException e) {
    answerAllAndCrash("defect of the module", e);
  }

  /** Handles an error on the event loop, after which no state can be trusted any more. */
  private void fatalError(Error e) {
    answerAllAndCrash("error on the event loop", e);
  }

  private void answerAllAndCrash(String what, Throwable cause) {
    try {
      Log.line(what + ": " + cause + " at "
          + (cause.getStackTrace().length == 0 ? "?" : cause.getStackTrace()[0]));
      pools.answerAll();
    } finally {
      crash.run();
    }
  }
}
