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
import pumicekeel.config.Operator;
import pumicekeel.config.OperatorLoader;
import pumicekeel.discovery.UpstreamSource;
import pumicekeel.front.Front;
import pumicekeel.front.admin.AdminEndpoint;
import pumicekeel.front.http.ClientSide;
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
import pumicekeel.runtime.Persistent;
import pumicekeel.runtime.Reactor;
import sun.misc.Signal;

/** One real balancer: the module on sockets, all of it on one event-loop thread. */
public final class Node {

  /** After SIGTERM new clients still come for 0.4 s, and SIGKILL comes the longest deadline, 3 s at most, and 0.7 s later. What was
   * taken before SIGTERM is over by that deadline, and nobody is owed more: all is answered by then, and the 0.7 s are for a process that
   * stands still at the worst moment. Clients use the connections that they have as long as these stay open, and another balancer may
   * be away: until a second before the end they are served as ever. */
  private static final long ACCEPT_MILLIS = 500;

  private static final long LONGEST_DEADLINE_MILLIS = 3_000;
  private static final long LAST_MILLIS = 1_000;
  private static final long POLL_MILLIS = 10;
  /** For so long what fails for a moment is tried again at the start; a platform waits 30 s for a process. */
  private static final long START_MILLIS = 15_000;
  /** The log's last lines are waited for so long. */
  private static final long LAST_LINES_MILLIS = 100;
  /** Connections of the warm-up to the balancer itself, where it can't use the clients' socket. */
  private static final int WARM_UP_SOCKETS = 64;
  /** The period of the looks at clients that are sent away. */
  private static final long AWAY_MILLIS = 20;

  private final Reactor on;
  private final EventLoop loop;
  private final LoopLag lag;
  /** Whether made-up requests run through it before it says that it is up. */
  private final boolean warmsUp;
  /** Replaced on the loop; read by the thread that reloads as well. */
  private volatile Configuration configuration;

  private final Runnable crash;
  private final Serving serving;
  private final Services services;
  private final Listeners listeners;
  private final String warmUpPath = WarmUp.newPath();
  private final Operator firstGeneration;
  private Journal journal;
  private PeerLink peers;
  private DepartureSharing departures;
  /** Only on the loop. */
  private boolean serves;

  private boolean draining;
  private final Rotation rotation = new Rotation();
  private final AdminEndpoint admin;
  private SocketAddress adminAddress;
  private boolean rotating;
  private final CountDownLatch ready = new CountDownLatch(1);
  private final CountDownLatch drained = new CountDownLatch(1);

  /** Makes a balancer; {@code crash} ends the process after a defect of the module. */
  Node(Configuration configuration, Runnable crash) {
    this(configuration, null, crash);
  }

  /** Makes a balancer with the pools of an operator file; without one where {@code operator} is null. */
  public Node(Configuration configuration, Operator operator, Runnable crash) {
    this(Reactor.start(), configuration, operator, crash, true);
  }

  /** Makes a balancer on a loop, a clock and channels from outside. */
  public Node(
      Reactor on, Configuration configuration, Operator operator, Runnable crash, boolean warmsUp) {
    this.on = on;
    loop = on.loop();
    lag = new LoopLag(on);
    this.warmsUp = warmsUp;
    this.configuration = configuration;
    this.crash = crash;
    services =
        operator == null ? null : new Services(configuration, operator, on, lag, this::defect);
    serving = services == null ? new OnePool(configuration, on, lag, this::defect) : services;
    firstGeneration = operator;
    OperatorCalls calls = new OperatorCalls(
        rotation,
        this::rotate,
        () -> peers == null ? null : peers.view(),
        on.guard()::line,
        this::listLine);
    admin = new AdminEndpoint(on, line -> calls.answer(line, on.clock().now()));
    listeners = new Listeners(
        on,
        lag,
        serving.router(),
        services == null ? Rooms.clientSockets(configuration) : services.rooms().clientSockets(),
        warmUpPath,
        new RequestIds(configuration.name(), on.clock().millis()));
  }

  /**
   * Runs a balancer until SIGTERM; the exit status, 2 for a configuration, an operator file or an address that is no
   * good. The operator file is null where there is none. What fails for a moment while it starts is tried again for a while.
   */
  public static int serve(Map<String, String> environment, Path operatorFile, PrintStream err)
      throws InterruptedException {
    Reload.noteEarlyHangup();
    Node node;
    try {
      Configuration configuration =
          Persistent.call("configuration", START_MILLIS, () -> Configuration.read(environment));
      Operator operator = operatorFile == null
          ? null
          : Persistent.call("operator file", START_MILLIS, () -> OperatorLoader.load(operatorFile));
      DeliveredConfiguration delivered = operator == null || operator.control() == null
          ? null
          : Persistent.call(
              "delivered configuration",
              START_MILLIS,
              () -> DeliveredConfiguration.open(configuration, operator));
      Operator first = delivered == null ? operator : delivered.first();
      node = Persistent.call(
          "event loop", START_MILLIS, () -> new Node(configuration, first, () -> halt(1)));
      ExecutorService worker = Persistent.call("reload thread", START_MILLIS, Reload::newWorker);
      Runnable operatorReading =
          operatorFile == null ? null : Reload.operatorReading(operatorFile, node, delivered);
      node.start();
      Reload.onHangup(environment, operatorReading, node, worker);
      if (delivered != null) {
        delivered.follow(node, worker);
      }
    } catch (OperatorLoader.Faulty e) {
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
   * Drains at SIGTERM and SIGINT. By handlers of its own: Java's answer is a hook on a thread that has to be started then, and where the
   * system has none to give the process would end at once, with all that is open.
   */
  private void endAtSignals() {
    for (String name : List.of("TERM", "INT")) {
      Signal.handle(new Signal(name), signal -> drain());
    }
    // A loop that has ended serves nobody any more; the platform starts another process.
    loop.terminationFuture().addListener(ended -> {
      Log.line("the event loop has ended");
      halt(1);
    });
  }

  private static void halt(int status) {
    Log.flush(LAST_LINES_MILLIS);
    Runtime.getRuntime().halt(status);
  }

  /** Starts as {@code serve} does and ends once ready: what the class-data archive is made from. */
  public static int rehearse(Map<String, String> environment)
      throws IOException, InterruptedException {
    Node node =
        new Node(Configuration.read(environment), () -> Runtime.getRuntime().halt(1));
    node.start();
    node.ready.await();
    return 0;
  }

  /** Listens and follows the list; the address that clients connect to. */
  public InetSocketAddress start() throws IOException, InterruptedException {
    if (configuration.admin() != null) {
      adminAddress = Persistent.call(
          "admin listener", START_MILLIS, () -> admin.listen(configuration.admin()));
    }
    Persistent.call("journal", START_MILLIS, this::openJournal);
    Persistent.call("peers", START_MILLIS, this::openPeers);
    departures = DepartureSharing.of(on, configuration);
    Map<String, Front> bound = firstGeneration == null
        ? Map.of()
        : Persistent.call("listeners", START_MILLIS, () -> listeners.bind(firstGeneration));
    ClientSide own = configuration.inherited()
        ? new ClientSide(on, lag, "warm-up", serving.router(), WARM_UP_SOCKETS, warmUpPath)
        : null;
    InetSocketAddress address = own == null
        ? Persistent.call(
            "listener", START_MILLIS, () -> listeners.platform().listen(configuration.listen()))
        : Persistent.call(
            "listener", START_MILLIS, () -> listeners.platform().adopt(inheritedSocket()));
    // What is asked of a socket that others hold too may be answered by them.
    InetSocketAddress self = own == null
        ? address
        : Persistent.call(
            "warm-up listener",
            START_MILLIS,
            () -> own.listen(new InetSocketAddress(address.getAddress(), 0)));
    loop.execute(() -> {
      serving.start();
      if (departures != null) {
        departures.share(serving.platformSource());
      }
      if (services != null) {
        listeners.apply(firstGeneration, bound, false);
        Log.line("serves the pools " + services.summary());
      }
      Runnable then = () -> serve(own, address);
      if (warmsUp) {
        WarmUp.run(on, lag, self, warmUpPath, configuration.settings(), then);
      } else {
        then.run();
      }
    });
    return address;
  }

  private void serve(ClientSide own, InetSocketAddress address) {
    if (own != null) {
      own.stopListening();
      own.closeIdle();
    }
    listeners.setReady();
    serves = true;
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

  /** Before anything is served: what may have run under the process before this one has to be known. */
  private Void openJournal() throws IOException, InterruptedException {
    Operator.Journal spec = firstGeneration == null ? null : firstGeneration.journal();
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
    Clock clock = services.clock();
    KeyMemory memory = new KeyMemory(KeyMemory.MOST);
    int keys = journal.recover(memory, clock.now());
    Log.line(
        "journal in " + spec.directory() + ": " + keys + " keys may have run before this start");
    journal.unreadable().forEach(what -> Log.line("journal: could not be read: " + what));
    JournalLog log = new JournalLog(loop, clock, journal.writer(), memory, spec.maxWaitNanos());
    loop.submit(() -> services.journal(log)).syncUninterruptibly();
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
              services.lend(quotas);
              peers.carry(quotas);
            })
            .syncUninterruptibly();
      }
    }
    return null;
  }

  /** How current the platform's list is, and what others say of it; null where no list is followed. */
  private String listLine() {
    UpstreamSource source = serving.platformSource();
    return source == null || source.currency() == null
        ? null
        : source.currency().line(on.clock().now()) + ", calls failed " + source.failures()
            + (departures == null ? "" : departures.line());
  }

  /** Writes what waits for the journal; the process may end after it. */
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
   * Takes over from a new configuration what may change while the balancer runs: the address of discovery, and the
   * settings. An IllegalArgumentException says why nothing of it was taken. Waits for the loop, so it is not for it.
   */
  public void reload(Configuration next) {
    serving.check(next);
    loop.submit(() -> {
          Log.line(next.name() + " reloads: discovery at " + next.discovery() + ", "
              + next.settings().classes().size() + " classes");
          configuration = next;
          serving.reload(next);
        })
        .syncUninterruptibly();
  }

  /** As last taken over; for the thread that reads the next one. */
  Configuration configuration() {
    return configuration;
  }

  /**
   * Takes over a generation of the operator file as a whole, or nothing of it: then an exception says why. Waits for the
   * loop, so it is not for the loop itself.
   */
  public void reload(Operator next) throws IOException, InterruptedException {
    services.check(next);
    Map<String, Front> bound = listeners.bind(next);
    String objection;
    try {
      objection = loop.submit(() -> {
            String why = draining ? "the balancer drains" : services.objection(next);
            if (why == null) {
              services.apply(next);
              listeners.apply(next, bound, serves);
              Log.line(configuration.name() + " reloads: the pools " + services.summary());
              services
                  .needRestart(next)
                  .forEach(key -> Log.line("reload: " + key + " needs a restart"));
            }
            return why;
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

  /** Waits until the balancer says that it is up. */
  public void awaitReady() throws InterruptedException {
    ready.await();
  }

  /** What became of the requests so far, a line; only with an operator file. */
  public String counters() {
    return loop.submit(() -> services.counters().logLine())
        .syncUninterruptibly()
        .getNow();
  }

  /** Whether a generation fits the platform's figures; an IllegalArgumentException says what does not. */
  public static void check(Configuration configuration, Operator operator) {
    Services.check(configuration, operator);
  }

  /** Where a listener of the operator file listens; null where there is none of the name. */
  public InetSocketAddress addressOf(String listener) {
    return loop.submit(() -> listeners.address(listener)).syncUninterruptibly().getNow();
  }

  /** Ends the loop; for a node inside another program. */
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

  /** Who of the fleet is there; null without peers. Only on the loop. */
  PeerLink peers() {
    return peers;
  }

  Services services() {
    return services;
  }

  Listeners listeners() {
    return listeners;
  }

  EventLoop loop() {
    return loop;
  }

  /** Where operators call; null where nobody does. */
  InetSocketAddress adminAddress() {
    return (InetSocketAddress) adminAddress;
  }

  /** An operator has called: begins to send clients away, or takes them again. */
  private void rotate() {
    if (draining) {
      return;
    }
    if (rotation.step(on.clock().now()) == Rotation.Step.TAKING) {
      listeners.resume();
      Log.line(configuration.name() + " takes clients");
      return;
    }
    Log.line(configuration.name() + " sends clients away");
    listeners.drain();
    if (!rotating) {
      sendAway();
    }
  }

  private void sendAway() {
    Rotation.Step step = rotation.step(on.clock().now());
    rotating = step != Rotation.Step.TAKING && !draining;
    if (!rotating) {
      return;
    }
    switch (step) {
      case LAST_ANSWERS -> listeners.lastAnswers();
      case CLOSING -> listeners.closeIdle();
      case AWAY -> listeners.closeUntaken();
      default -> {}
    }
    loop.schedule(this::sendAway, AWAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Begins a planned stop: answers what was taken, takes nothing new after a while. */
  public void drain() {
    // Counted from when it may have come: a process that stood still hears of it later, and SIGKILL
    // does not wait for that.
    long askedAt = lag.unheardSince();
    loop.execute(() -> {
      Log.line(configuration.name() + " drains");
      draining = true;
      rotation.stopping();
      listeners.drain();
      long end = Math.min(
          LONGEST_DEADLINE_MILLIS,
          configuration.settings().classes().stream()
              .mapToLong(c -> TimeUnit.NANOSECONDS.toMillis(c.deadlineNanos()))
              .max()
              .orElse(0));
      long late = on.clock().now() - askedAt;
      serving.endBy(Math.max(0, TimeUnit.MILLISECONDS.toNanos(end) - late));
      // On a socket that others hold too, the next process accepts already, or the kernel keeps
      // clients until it does.
      long accept = configuration.inherited() ? 0 : ACCEPT_MILLIS;
      loop.schedule(listeners::stopListening, accept, TimeUnit.MILLISECONDS);
      if (configuration.supervised() || configuration.inherited()) {
        // Others are there for them, so clients are told while they still ask: a close may meet a
        // request on its way.
        loop.schedule(listeners::lastAnswers, accept, TimeUnit.MILLISECONDS);
      }
      loop.schedule(
          this::takeNoMore,
          Math.max(
              TimeUnit.MILLISECONDS.toNanos(ACCEPT_MILLIS),
              TimeUnit.MILLISECONDS.toNanos(end - LAST_MILLIS) - late),
          TimeUnit.NANOSECONDS);
    });
  }

  private void takeNoMore() {
    listeners.closeUntaken();
    if (listeners.ended()) {
      Log.line(configuration.name() + " has drained");
      drained.countDown();
    } else {
      loop.schedule(this::takeNoMore, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Whether a planned stop has come to its end. */
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

  /** A defect of the module: its word is worth nothing any more, so all that is open is answered without it. */
  private void defect(RuntimeException e) {
    Log.line("defect of the module: " + e + " at "
        + (e.getStackTrace().length == 0 ? "?" : e.getStackTrace()[0]));
    serving.answerAll();
    crash.run();
  }
}
