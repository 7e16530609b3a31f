package pumicekeel.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import pumicekeel.config.OperatorLoader;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.runtime.Log;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** SIGHUP: reads the configuration again. Without it Java's answer to that signal is to end, as at SIGTERM. */
final class Reload {

  /** Faults of an operator file that the log shows; {@code check} shows all. */
  private static final int MOST_LINES = 10;

  private Reload() {}

  /** The one thread that reads and checks files and delivered configurations. */
  static ExecutorService newWorker() {
    return Executors.newSingleThreadExecutor(work -> {
      Thread thread = new Thread(work, "reload");
      thread.setDaemon(true);
      return thread;
    });
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
    SignalHandler before = Signal.handle(new Signal("HUP"), signal -> {
      if (!waits.getAndSet(true)) {
        reader.execute(() -> {
          waits.set(false);
          read(environment, node);
          if (operatorReading != null) {
            operatorReading.run();
          }
        });
      }
    });
    if (before == SignalHandler.SIG_IGN) {
      // Java keeps to it: what nohup and its like start can't hear the signal.
      Log.line("reload: SIGHUP is ignored since before this process started; it will not be heard");
    }
  }

  private static void read(Map<String, String> environment, Node node) {
    try {
      node.reload(node.configuration().reread(environment));
    } catch (IOException | RuntimeException e) {
      Log.line("reload: the configuration stays as it was: " + e);
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
      node.reload(OperatorLoader.load(file));
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
