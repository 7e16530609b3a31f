package pumicekeel.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.config.OperatorLoader;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Retry;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Reloads the configuration at SIGHUP. Without a handler Java ends the process at that signal, as at SIGTERM. */
final class Reload {

  /** Limit on the faults of an operator file shown in the log; {@code check} shows all. */
  private static final int MAX_SHOWN_FAULTS = 10;
  /** How long a file that cannot be read is retried: the signal is sent only once. */
  private static final long RETRY_MILLIS = 60_000;

  /** Whether a signal arrived before there was a node to reload. */
  private static final AtomicBoolean RECEIVED_EARLY = new AtomicBoolean();

  private Reload() {}

  /** Keeps SIGHUP from ending the process while it starts: the signal is recorded until there is a node to reload. */
  static void recordEarlyHangup() {
    Signal.handle(new Signal("HUP"), signal -> RECEIVED_EARLY.set(true));
  }

  /** Creates the single thread that reads and checks files and delivered configurations. */
  static ExecutorService newWorker() {
    ThreadPoolExecutor worker =
        new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
          Thread thread = new Thread(task, "reload");
          thread.setDaemon(true);
          return thread;
        });
    // Started now, while a failure can be retried: at the signal the system may be out of threads.
    worker.prestartCoreThread();
    return worker;
  }

  /**
   * Reads the configuration and, if there is one, the operator file at each SIGHUP. An invalid file is logged and changes
   * nothing, and the other file is applied all the same. A separate thread reads the files because the event loop must
   * not block on them, and only one, so that an older reading cannot overtake a newer one. Signals that arrive while a
   * reload is queued are merged with it.
   *
   * @param operatorReading reads the operator file; null where there is none
   */
  static void onHangup(
      Map<String, String> environment,
      Runnable operatorReading,
      Node node,
      ExecutorService reader) {
    AtomicBoolean queued = new AtomicBoolean();
    Runnable reload = () -> {
      if (!queued.getAndSet(true)) {
        reader.execute(() -> {
          queued.set(false);
          try {
            read(environment, node);
            if (operatorReading != null) {
              operatorReading.run();
            }
          } catch (RuntimeException e) {
            // The thread has to survive a defect in one reload.
            Log.line("reload: " + e);
          }
        });
      }
    };
    SignalHandler before = Signal.handle(new Signal("HUP"), signal -> reload.run());
    if (RECEIVED_EARLY.getAndSet(false)) {
      reload.run();
    }
    if (before == SignalHandler.SIG_IGN) {
      // Java respects an ignored signal: a process started by nohup, for example, never receives
      // it.
      Log.line(
          "reload: SIGHUP is ignored since before this process started; it will not be received");
    }
  }

  private static void read(Map<String, String> environment, Node node) {
    try {
      node.reload(
          Retry.call("reload", RETRY_MILLIS, () -> node.configuration().reread(environment)));
    } catch (IOException | RuntimeException e) {
      Log.line("reload: the configuration stays as it was: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the task that SIGHUP runs for the operator file; {@code delivered} is null without control machines. */
  static Runnable operatorReading(Path file, Node node, DeliveredConfiguration delivered) {
    return () -> readOperator(file, node, delivered);
  }

  /** Reads the operator file unless a version delivered by the control machines is in force. */
  static void readOperator(Path file, Node node, DeliveredConfiguration delivered) {
    if (delivered != null && !delivered.inForce().equals(ConfigurationVersion.NONE)) {
      Log.line("reload: the operator file is not read, version " + delivered.inForce()
          + " of the control machines is in force; changes to its tables process, journal, peers and"
          + " control need a restart");
      return;
    }
    readOperator(file, node);
  }

  static void readOperator(Path file, Node node) {
    try {
      OperatorConfiguration next =
          Retry.call("reload", RETRY_MILLIS, () -> OperatorLoader.load(file));
      Retry.call("reload", RETRY_MILLIS, () -> {
        node.reload(next);
        return next;
      });
    } catch (OperatorLoader.InvalidFileException e) {
      e.lines().stream().limit(MAX_SHOWN_FAULTS).forEach(l -> Log.line("reload: " + l));
      Log.line("reload: the operator file stays as it was: " + e.lines().size() + " faults");
    } catch (IOException | RuntimeException e) {
      Log.line("reload: the operator file stays as it was: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
