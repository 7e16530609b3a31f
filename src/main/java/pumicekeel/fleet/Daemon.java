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
 * A fleet's daemon: carries out what the {@link Supervisor} decides, on one thread, and answers at the control socket. It
 * serves no request itself, and its instances outlive it: the next daemon of the same run directory takes them over.
 */
public final class Daemon implements Closeable {

  private static final long CHECK_INTERVAL_MILLIS = 50;
  /** Between two checks of whether a ready instance still answers. */
  private static final long READY_CHECK_NANOS = 1_000_000_000L;

  private static final int CHECKERS = 4;
  /** A command's line; a client that sends more or nothing is cut off. */
  private static final int MOST_LINE = 256;

  private static final int MOST_DISCARDED = 8 << 10;
  private static final int COMMAND_MILLIS = 2_000;
  /** The exit status of one that was taken over: the kernel tells it to nobody but its parent, which is gone. */
  private static final int UNKNOWN = -1;

  private final Settings settings;
  private final RunDirectory run;
  private final Processes processes;
  private final Supervisor supervisor;
  private final InstanceAdminClient admin;
  private final Consumer<String> log;
  private final ProcessHandle[] handles;
  private final boolean[] asked;
  private final long[] askedAt;
  /** What each holds of the fleet, as it last said; null where it says nothing. */
  private final String[] views;

  private final ScheduledExecutorService loop =
      Executors.newSingleThreadScheduledExecutor(named("fleet"));
  private final ExecutorService checkers = Executors.newFixedThreadPool(CHECKERS, named("look"));
  private final CountDownLatch over = new CountDownLatch(1);
  private ServerSocketChannel control;

  private static java.util.concurrent.ThreadFactory named(String name) {
    return work -> {
      Thread thread = new Thread(work, name);
      thread.setDaemon(true);
      return thread;
    };
  }

  /** Takes the run directory; an IOException says in one line what is in the way. */
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
    asked = new boolean[settings.instances()];
    askedAt = new long[settings.instances()];
    views = new String[settings.instances()];
  }

  /** The instances find out whether it listens; a file or a terminal would only make each of them end. */
  private static void checkSocket() throws IOException {
    String what = Files.readSymbolicLink(Path.of("/proc/self/fd/0")).toString();
    if (!what.startsWith("socket:")) {
      throw new IOException(
          "--one-address: expected a listening socket as descriptor 0, got " + what);
    }
  }

  /** Takes over what is there, starts the rest, and listens for commands. */
  public void start() throws IOException {
    Path socket = RunDirectory.socket(run.path());
    try {
      // Left by a daemon that was killed; the lock says that it is gone.
      Files.deleteIfExists(socket);
      control = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
      control.bind(UnixDomainSocketAddress.of(socket));
    } catch (IOException e) {
      close();
      throw new IOException(
          "run directory " + settings.directory() + ": no control socket: " + e.getMessage());
    }
    Thread listener = named("control").newThread(this::listen);
    loop.execute(this::takeOver);
    loop.scheduleWithFixedDelay(
        this::checkInstances, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    listener.start();
  }

  private void takeOver() {
    long now = System.nanoTime();
    for (ProcessHandle p : processes.beyond()) {
      log.accept("process " + p.pid() + " is of a larger fleet: ended");
      p.destroy();
    }
    for (int i = 0; i < handles.length; i++) {
      List<ProcessHandle> found = processes.of(i);
      for (ProcessHandle p : found.subList(Math.min(1, found.size()), found.size())) {
        log.accept("process " + p.pid() + " is a second instance " + i + ": ended");
        p.destroyForcibly();
      }
      if (!found.isEmpty()) {
        watch(i, found.get(0), () -> UNKNOWN);
        carryOut(supervisor.adopted(i, now));
      }
    }
    carryOut(supervisor.start(now));
  }

  // Instances

  private void watch(int i, ProcessHandle process, IntSupplier status) {
    handles[i] = process;
    process
        .onExit()
        .thenAccept(ended -> loop.execute(() -> {
          if (handles[i] == process) {
            handles[i] = null;
            views[i] = null;
            carryOut(supervisor.exited(i, status.getAsInt(), System.nanoTime()));
          }
        }));
  }

  private void checkInstances() {
    long now = System.nanoTime();
    carryOut(supervisor.tick(now));
    for (int i = 0; i < handles.length; i++) {
      boolean starts = supervisor.stateOf(i) == State.STARTING;
      boolean isDue =
          starts || supervisor.stateOf(i) == State.READY && now - askedAt[i] >= READY_CHECK_NANOS;
      if (isDue && handles[i] != null && !asked[i]) {
        asked[i] = true;
        askedAt[i] = now;
        int instance = i;
        ProcessHandle of = handles[i];
        checkers.execute(() -> {
          InstanceStatus status = admin.query(instance, !starts);
          loop.execute(() -> checked(instance, of, status));
        });
      }
    }
    if (supervisor.over()) {
      over.countDown();
    }
  }

  private void checked(int instance, ProcessHandle of, InstanceStatus status) {
    asked[instance] = false;
    if (handles[instance] != of) {
      return;
    }
    views[instance] = status.view();
    if (status.answered()) {
      supervisor.heard(instance, System.nanoTime());
    }
    if (status.up()) {
      carryOut(supervisor.ready(instance, System.nanoTime()));
    }
  }

  private void carryOut(List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Supervisor.Start start) {
        begin(start.instance());
      } else if (action instanceof Supervisor.Say say) {
        log.accept(say.text());
      } else if (action instanceof Supervisor.Terminate t && handles[t.instance()] != null) {
        handles[t.instance()].destroy();
      } else if (action instanceof Supervisor.Kill k && handles[k.instance()] != null) {
        handles[k.instance()].destroyForcibly();
      } else if (action instanceof Supervisor.Hangup h && handles[h.instance()] != null) {
        hangup(h.instance());
      }
    }
  }

  private void begin(int i) {
    try {
      Process process = processes.start(i);
      watch(i, process.toHandle(), process::exitValue);
    } catch (IOException e) {
      log.accept("instance " + i + " could not be started: " + e.getMessage());
      // Later, as the exit of one that was: not from within the decision.
      loop.execute(() -> carryOut(supervisor.exited(i, UNKNOWN, System.nanoTime())));
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
        Thread guard = named("command").newThread(() -> closeLater(client));
        guard.start();
        String line = readLine(client);
        String answer = line == null
            ? "{\"error\":\"expected a line of at most " + MOST_LINE + " bytes\"}"
            : loop.submit(() -> command(line)).get();
        client.write(ByteBuffer.wrap((answer + "\n").getBytes(StandardCharsets.UTF_8)));
        guard.interrupt();
      } catch (IOException | ExecutionException | RejectedExecutionException e) {
        // One client's trouble, or the end.
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void closeLater(SocketChannel client) {
    try {
      TimeUnit.MILLISECONDS.sleep(COMMAND_MILLIS);
      client.close();
    } catch (InterruptedException | IOException e) {
      // Answered in time, or closed.
    }
  }

  private static String readLine(SocketChannel client) throws IOException {
    // Read some way beyond what is taken: with bytes unread the close would reset the answer away.
    ByteBuffer in = ByteBuffer.allocate(MOST_DISCARDED);
    while (in.hasRemaining() && client.read(in) >= 0) {
      String text = new String(in.array(), 0, in.position(), StandardCharsets.UTF_8);
      int end = text.indexOf('\n');
      if (end >= 0) {
        return end > MOST_LINE ? null : text.substring(0, end).strip();
      }
    }
    return null;
  }

  /** A command's answer, a JSON object; on the daemon's thread. */
  private String command(String line) {
    return switch (line) {
      case "status" -> status();
      case "restart" -> answer(supervisor.begin(Work.RESTART));
      case "reload" -> answer(objection() == null ? supervisor.begin(Work.RELOAD) : objection());
      case "stop" -> {
        carryOut(supervisor.stop(System.nanoTime()));
        yield answer(null);
      }
      default -> answer("expected status, restart, reload or stop");
    };
  }

  /** A file that no instance would take is not sent round. */
  private String objection() {
    try {
      if (settings.operator() != null) {
        OperatorLoader.load(settings.operator());
      }
      return null;
    } catch (OperatorLoader.InvalidFileException e) {
      return e.getMessage();
    }
  }

  private static String answer(String objection) {
    return objection == null ? "{\"ok\":true}" : "{\"error\":" + quoted(objection) + "}";
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
          .append(word(supervisor.stateOf(i)))
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

  private static String word(State state) {
    return state.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  // The end

  /** Stops all instances in order; returns when they are down. */
  public void stop() throws InterruptedException {
    try {
      loop.execute(() -> carryOut(supervisor.stop(System.nanoTime())));
    } catch (RejectedExecutionException e) {
      // Closed already: the process ends after a stop by the control socket.
      return;
    }
    awaitStopped();
  }

  /** Waits until a stop, by whatever way, is over. */
  public void awaitStopped() throws InterruptedException {
    over.await();
  }

  /** Lets go of the run directory; the instances go on. */
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
