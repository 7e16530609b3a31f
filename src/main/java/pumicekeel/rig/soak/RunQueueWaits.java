package pumicekeel.rig.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Samples how long the event loops of processes were ready to run but waited for a processor, as the kernel counts it (schedstat). On a busy machine
 * that delay is not caused by the program and must not count against it.
 */
final class RunQueueWaits {

  private static final long SAMPLE_PERIOD_MILLIS = 20;
  /** Netty's name of the event loop thread, as the kernel truncates it. */
  private static final String LOOP_THREAD_PREFIX = "multiThreadIoEv";

  /** Cumulative wait in ns by the time of the sample, for the balancer process of each group of clients. */
  private final Map<String, TreeMap<Long, Long>> waits = new ConcurrentHashMap<>();

  /** Samples the event loop of a process until the process exits. */
  void watch(String clients, long pid) {
    Thread thread = new Thread(() -> sample(clients, pid), clients + " processor");
    thread.setDaemon(true);
    thread.start();
  }

  private void sample(String clients, long pid) {
    try {
      Path loop = null;
      long last = 0;
      while (Files.exists(Path.of("/proc", Long.toString(pid)))) {
        loop = loop == null ? findLoopThread(pid) : loop;
        if (loop != null) {
          long wait = Long.parseLong(Files.readString(loop.resolve("schedstat")).split(" ")[1]);
          add(clients, Math.max(0, wait - last));
          last = wait;
        }
        TimeUnit.MILLISECONDS.sleep(SAMPLE_PERIOD_MILLIS);
      }
    } catch (IOException e) {
      // The process has exited.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Path findLoopThread(long pid) throws IOException {
    try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
      for (Path thread : threads.toList()) {
        if (Files.readString(thread.resolve("comm")).startsWith(LOOP_THREAD_PREFIX)) {
          return thread;
        }
      }
      return null;
    }
  }

  private void add(String clients, long nanos) {
    TreeMap<Long, Long> samples = waits.computeIfAbsent(clients, k -> new TreeMap<>());
    synchronized (samples) {
      samples.put(
          System.nanoTime(), (samples.isEmpty() ? 0 : samples.lastEntry().getValue()) + nanos);
    }
  }

  /** Returns the wait in ns between two System.nanoTime times; includes the first sample after the end, as samples lag. */
  long between(String clients, long from, long to) {
    TreeMap<Long, Long> samples = waits.get(clients);
    if (samples == null) {
      return 0;
    }
    synchronized (samples) {
      Map.Entry<Long, Long> before = samples.floorEntry(from);
      Map.Entry<Long, Long> after =
          samples.ceilingEntry(to + TimeUnit.MILLISECONDS.toNanos(SAMPLE_PERIOD_MILLIS));
      long end = after == null
          ? (samples.isEmpty() ? 0 : samples.lastEntry().getValue())
          : after.getValue();
      return end - (before == null ? 0 : before.getValue());
    }
  }
}
