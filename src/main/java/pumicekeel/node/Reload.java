package pumicekeel.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import pumicekeel.config.Operator;
import pumicekeel.config.OperatorLoader;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Retry;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** SIGHUP: reads the configuration again. Without it Java's answer to that signal is to end, as at SIGTERM. */
final class Reload {

  /** Faults of an operator file that the log shows; {@code check} shows all. */
  private static final int MOST_LINES = 10;
  /** A file that can't be read for a moment is tried again for so long: nobody sends the signal twice. */
  private static final long RETRY_MILLIS = 60_000;

  /** A signal came before there was a node to reload. */
  private static final AtomicBoolean CAME_EARLY = new AtomicBoolean();

  private Reload() {}

  /** From now on SIGHUP is no end of the process, also where it comes while that starts: it is noted until there is a node. */
  static void noteEarlyHangup() {
    Signal.handle(new Signal("HUP"), signal -> CAME_EARLY.set(true));
  }

  /** The one thread that reads and checks files and delivered configurations. */
  static ExecutorService newWorker() {
    ThreadPoolExecutor worker =
        new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), work -> {
          Thread thread = new Thread(work, "reload");
          thread.setDaemon(true);
          return thread;
        });
    // Now, while it can be tried again: at a signal the system may have no thread to give.
    worker.prestartCoreThread();
    return worker;
  }

  /**
   * Reads the configuration and, where there is one, the operator file at each SIGHUP; one that is no good costs lines
   * of the log and changes nothing, and the other counts all the same. A thread of its own reads the files, since the
   * event loop must not wait for them, and one alone, or an older reading could overtake a newer one. Signals that come
   * while one waits to be carried out are one with it.
   *
   * @param operatorReading reads the operator file; null where there is none
   */
  static void onHangup(
      Map<String, String> environment,
      Runnable operatorReading,
      Node node,
      ExecutorService reader) {
    AtomicBoolean waits = new AtomicBoolean();
    Runnable reload = () -> {
      if (!waits.getAndSet(true)) {
        reader.execute(() -> {
          waits.set(false);
          try {
            read(environment, node);
            if (operatorReading != null) {
              operatorReading.run();
            }
          } catch (RuntimeException e) {
            // The thread has to outlive a defect of one reading.
            Log.line("reload: " + e);
          }
        });
      }
    };
    SignalHandler before = Signal.handle(new Signal("HUP"), signal -> reload.run());
    if (CAME_EARLY.getAndSet(false)) {
      reload.run();
    }
    if (before == SignalHandler.SIG_IGN) {
      // Java keeps to it: what nohup and its like start can't hear the signal.
      Log.line("reload: SIGHUP is ignored since before this process started; it will not be heard");
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

  /** What SIGHUP does with the operator file; {@code delivered} is null where no control machines deliver. */
  static Runnable operatorReading(Path file, Node node, DeliveredConfiguration delivered) {
    return () -> readOperator(file, node, delivered);
  }

  /** The operator file counts until the control machines have delivered a version. */
  static void readOperator(Path file, Node node, DeliveredConfiguration delivered) {
    if (delivered != null && !delivered.inForce().equals(ConfigurationVersion.NONE)) {
      Log.line("reload: the operator file is not read, version " + delivered.inForce()
          + " of the control machines is in force; what it says of process, journal, peers and"
          + " control needs a restart");
      return;
    }
    readOperator(file, node);
  }

  static void readOperator(Path file, Node node) {
    try {
      Operator next = Retry.call("reload", RETRY_MILLIS, () -> OperatorLoader.load(file));
      Retry.call("reload", RETRY_MILLIS, () -> {
        node.reload(next);
        return next;
      });
    } catch (OperatorLoader.Faulty e) {
      e.lines().stream().limit(MOST_LINES).forEach(l -> Log.line("reload: " + l));
      Log.line("reload: the operator file stays as it was: " + e.lines().size() + " faults");
    } catch (IOException | RuntimeException e) {
      Log.line("reload: the operator file stays as it was: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
