package pumicekeel.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import pumicekeel.config.OperatorLoader;
import pumicekeel.fleet.InstanceAdminClient.InstanceStatus;
import pumicekeel.fleet.Supervisor.Action;
import pumicekeel.fleet.Supervisor.State;
import pumicekeel.fleet.Supervisor.Work;

/**
 * The daemon of a fleet: carries out the actions that the {@link Supervisor} decides on, on one thread, and answers commands at the control
 * socket. It serves no requests itself. Its instances outlive it: the next daemon of the same run directory adopts them.
 */
public final class Daemon implements Closeable {

  private static final long CHECK_INTERVAL_MILLIS = 50;
  /** Interval between two checks of whether a ready instance still responds. */
  private static final long READY_CHECK_INTERVAL_NANOS = 1_000_000_000L;

  private static final int CHECK_THREADS = 4;
  /** Maximum length of a command line; a client that sends more, or nothing, is disconnected. */
  private static final int MAX_LINE_BYTES = 256;

  private static final int MAX_READ_BYTES = 8 << 10;
  private static final int COMMAND_TIMEOUT_MILLIS = 2_000;
  /** Stands for the exit status of an adopted process: the kernel reports it only to the parent, which has ended. */
  private static final int UNKNOWN_STATUS = -1;

  private final Settings settings;
  private final RunDirectory run;
  private final Processes processes;
  private final Supervisor supervisor;
  private final InstanceAdminClient admin;
  private final Consumer<String> log;
  private final ProcessHandle[] handles;
  private final boolean[] queryPending;
  private final long[] queriedAt;
  /** Each instance's last reported view of the fleet; null if it reported none. */
  private final String[] views;

  private final ScheduledExecutorService loop =
      Executors.newSingleThreadScheduledExecutor(threadFactory("fleet"));
  private final ExecutorService checkers = Executors.newFixedThreadPool(CHECK_THREADS, threadFactory("look"));
  private final CountDownLatch stopped = new CountDownLatch(1);
  private ServerSocketChannel control;

  private static java.util.concurrent.ThreadFactory threadFactory(String name) {
    return work -> {
      Thread thread = new Thread(work, name);
      thread.setDaemon(true);
      return thread;
    };
  }

  /** Locks the run directory; fails with an IOException whose message is one line if it cannot be used. */
  public Daemon(Settings settings, Consumer<String> log) throws IOException {
    this.settings = settings;
    this.log = log;
    if (settings.oneAddress()) {
      checkSocket();
    }
    run = RunDirectory.take(settings.directory());
    processes = new Processes(settings, run, log);
    admin = new InstanceAdminClient(settings, run);
    supervisor = new Supervisor(settings.instances(), settings.limits());
    handles = new ProcessHandle[settings.instances()];
    queryPending = new boolean[settings.instances()];
    queriedAt = new long[settings.instances()];
    views = new String[settings.instances()];
  }

  /** Rejects a file or a terminal, with which every instance would exit; whether the socket listens is checked by the instances. */
  private static void checkSocket() throws IOException {
    String target = Files.readSymbolicLink(Path.of("/proc/self/fd/0")).toString();
    if (!target.startsWith("socket:")) {
      throw new IOException(
          "--one-address: expected a listening socket as descriptor 0, got " + target);
    }
  }

  /** Adopts running instances, starts the others and listens for commands. */
  public void start() throws IOException {
    Path socket = RunDirectory.socket(run.path());
    try {
      // Left by a daemon that was killed; holding the lock proves that it has ended.
      Files.deleteIfExists(socket);
      control = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
      control.bind(UnixDomainSocketAddress.of(socket));
    } catch (IOException e) {
      close();
      throw new IOException(
          "run directory " + settings.directory() + ": cannot open the control socket: " + e.getMessage());
    }
    Thread listener = threadFactory("control").newThread(this::listen);
    loop.execute(this::adoptInstances);
    loop.scheduleWithFixedDelay(
        this::checkInstances, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    listener.start();
  }

  private void adoptInstances() {
    long now = System.nanoTime();
    for (ProcessHandle p : processes.ofLargerFleet()) {
      log.accept("process " + p.pid() + " belongs to a larger fleet: terminated");
      p.destroy();
    }
    for (int i = 0; i < handles.length; i++) {
      List<ProcessHandle> found = processes.of(i);
      for (ProcessHandle p : found.subList(Math.min(1, found.size()), found.size())) {
        log.accept("process " + p.pid() + " duplicates instance " + i + ": killed");
        p.destroyForcibly();
      }
      if (!found.isEmpty()) {
        watch(i, found.get(0), () -> UNKNOWN_STATUS);
        carryOut(supervisor.adopted(i, now));
      }
    }
    carryOut(supervisor.start(now));
  }

  // Instances

  private void watch(int i, ProcessHandle process, IntSupplier exitStatus) {
    handles[i] = process;
    process
        .onExit()
        .thenAccept(ended -> loop.execute(() -> {
          if (handles[i] == process) {
            handles[i] = null;
            views[i] = null;
            carryOut(supervisor.exited(i, exitStatus.getAsInt(), System.nanoTime()));
          }
        }));
  }

  private void checkInstances() {
    long now = System.nanoTime();
    carryOut(supervisor.tick(now));
    for (int i = 0; i < handles.length; i++) {
      boolean starting = supervisor.stateOf(i) == State.STARTING;
      boolean isDue =
          starting || supervisor.stateOf(i) == State.READY && now - queriedAt[i] >= READY_CHECK_INTERVAL_NANOS;
      if (isDue && handles[i] != null && !queryPending[i]) {
        queryPending[i] = true;
        queriedAt[i] = now;
        int instance = i;
        ProcessHandle process = handles[i];
        checkers.execute(() -> {
          InstanceStatus status = admin.query(instance, !starting);
          loop.execute(() -> handleStatus(instance, process, status));
        });
      }
    }
    if (supervisor.isStopped()) {
      stopped.countDown();
    }
  }

  private void handleStatus(int instance, ProcessHandle process, InstanceStatus status) {
    queryPending[instance] = false;
    if (handles[instance] != process) {
      return;
    }
    views[instance] = status.view();
    if (status.responded()) {
      supervisor.responded(instance, System.nanoTime());
    }
    if (status.up()) {
      carryOut(supervisor.ready(instance, System.nanoTime()));
    }
  }

  private void carryOut(List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Supervisor.Start start) {
        startProcess(start.instance());
      } else if (action instanceof Supervisor.LogLine line) {
        log.accept(line.text());
      } else if (action instanceof Supervisor.Terminate t && handles[t.instance()] != null) {
        handles[t.instance()].destroy();
      } else if (action instanceof Supervisor.Kill k && handles[k.instance()] != null) {
        handles[k.instance()].destroyForcibly();
      } else if (action instanceof Supervisor.Hangup h && handles[h.instance()] != null) {
        hangup(h.instance());
      }
    }
  }

  private void startProcess(int i) {
    try {
      Process process = processes.start(i);
      watch(i, process.toHandle(), process::exitValue);
    } catch (IOException e) {
      log.accept("instance " + i + " could not be started: " + e.getMessage());
      // Reported as an exit, in a later task: the supervisor must not be re-entered while its
      // actions are carried out.
      loop.execute(() -> carryOut(supervisor.exited(i, UNKNOWN_STATUS, System.nanoTime())));
    }
  }

  private void hangup(int i) {
    try {
      Processes.hangup(handles[i]);
    } catch (IOException e) {
      log.accept("instance " + i + ": " + e.getMessage());
    }
  }

  // Commands

  private void listen() {
    while (control.isOpen()) {
      try (SocketChannel client = control.accept()) {
        Thread timeout = threadFactory("command").newThread(() -> closeAfterTimeout(client));
        timeout.start();
        String line = readLine(client);
        String response = line == null
            ? "{\"error\":\"expected a line of at most " + MAX_LINE_BYTES + " bytes\"}"
            : loop.submit(() -> execute(line)).get();
        client.write(ByteBuffer.wrap((response + "\n").getBytes(StandardCharsets.UTF_8)));
        timeout.interrupt();
      } catch (IOException | ExecutionException | RejectedExecutionException e) {
        // Failure of one connection, or the daemon is closing.
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void closeAfterTimeout(SocketChannel client) {
    try {
      TimeUnit.MILLISECONDS.sleep(COMMAND_TIMEOUT_MILLIS);
      client.close();
    } catch (InterruptedException | IOException e) {
      // Answered in time, or closed already.
    }
  }

  private static String readLine(SocketChannel client) throws IOException {
    // Reads more than the accepted length: closing with unread bytes would reset the connection and
    // lose the response.
    ByteBuffer in = ByteBuffer.allocate(MAX_READ_BYTES);
    while (in.hasRemaining() && client.read(in) >= 0) {
      String text = new String(in.array(), 0, in.position(), StandardCharsets.UTF_8);
      int end = text.indexOf('\n');
      if (end >= 0) {
        return end > MAX_LINE_BYTES ? null : text.substring(0, end).strip();
      }
    }
    return null;
  }

  /** Executes a command and returns its response, a JSON object; on the daemon's thread. */
  private String execute(String line) {
    return switch (line) {
      case "status" -> status();
      case "restart" -> response(supervisor.begin(Work.RESTART));
      case "reload" -> response(operatorFileError() == null ? supervisor.begin(Work.RELOAD) : operatorFileError());
      case "stop" -> {
        carryOut(supervisor.stop(System.nanoTime()));
        yield response(null);
      }
      default -> response("expected status, restart, reload or stop");
    };
  }

  /** Returns why the operator file is invalid, so that it is not sent to any instance; null if it is valid or there is none. */
  private String operatorFileError() {
    try {
      if (settings.operator() != null) {
        OperatorLoader.load(settings.operator());
      }
      return null;
    } catch (OperatorLoader.InvalidFileException e) {
      return e.getMessage();
    }
  }

  private static String response(String error) {
    return error == null ? "{\"ok\":true}" : "{\"error\":" + quoted(error) + "}";
  }

  private static String quoted(String text) {
    return pumicekeel.jsonrpc.MessageWriter.quoted(text);
  }

  private String status() {
    long now = System.nanoTime();
    StringBuilder out = new StringBuilder("{\"instances\":[");
    for (int i = 0; i < handles.length; i++) {
      out.append(i == 0 ? "" : ",")
          .append("{\"instance\":")
          .append(i)
          .append(",\"state\":\"")
          .append(nameOf(supervisor.stateOf(i)))
          .append("\",\"for-ms\":")
          .append(TimeUnit.NANOSECONDS.toMillis(supervisor.inStateFor(i, now)))
          .append(",\"pid\":")
          .append(handles[i] == null ? "null" : Long.toString(handles[i].pid()))
          .append(settings.oneAddress() ? ",\"door\":\"" : ",\"listen\":\"")
          .append(settings.first().getAddress().getHostAddress())
          .append(':')
          .append(settings.addressOf(i).getPort())
          .append("\",\"crashes\":")
          .append(supervisor.crashesOf(i))
          .append(",\"silent-ms\":")
          .append(TimeUnit.NANOSECONDS.toMillis(supervisor.silentFor(i, now)))
          .append(",\"peers\":")
          .append(views[i])
          .append('}');
    }
    out.append("],\"work\":\"")
        .append(supervisor.work().name().toLowerCase(Locale.ROOT))
        .append("\",\"left\":")
        .append(supervisor.workLeft())
        .append(",\"halted\":")
        .append(supervisor.halted() == null ? "null" : quoted(supervisor.halted()))
        .append('}');
    return out.toString();
  }

  private static String nameOf(State state) {
    return state.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  // Shutdown

  /** Stops all instances in order and returns when they have ended. */
  public void stop() throws InterruptedException {
    try {
      loop.execute(() -> carryOut(supervisor.stop(System.nanoTime())));
    } catch (RejectedExecutionException e) {
      // Closed already: the process ends after a stop through the control socket.
      return;
    }
    awaitStopped();
  }

  /** Waits until a stop, requested by a command or by {@link #stop}, has completed. */
  public void awaitStopped() throws InterruptedException {
    stopped.await();
  }

  /** Releases the run directory; the instances keep running. */
  @Override
  public void close() throws IOException {
    loop.shutdownNow();
    checkers.shutdownNow();
    admin.close();
    if (control != null) {
      control.close();
    }
    run.close();
  }
}
