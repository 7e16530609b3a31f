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
 * How long the event loops of processes were ready to run and got no processor, as the kernel counts it (schedstat): on a busy machine
 * that time is nobody's fault, and is no verdict on the program.
 */
final class ProcessorWaits {

  private static final long PERIOD_MILLIS = 20;
  /** Netty's name for the loop's thread, as the kernel cuts it. */
  private static final String LOOP_THREAD = "multiThreadIoEv";

  /** By who is watched: the wait so far, by the time at which it was read. */
  private final Map<String, TreeMap<Long, Long>> waits = new ConcurrentHashMap<>();

  /** Watches a process's loop for as long as that runs. */
  void watch(String who, long pid) {
    Thread thread = new Thread(() -> sample(who, pid), who + " processor");
    thread.setDaemon(true);
    thread.start();
  }

  private void sample(String who, long pid) {
    try {
      Path loop = null;
      long last = 0;
      while (Files.exists(Path.of("/proc", Long.toString(pid)))) {
        loop = loop == null ? loopOf(pid) : loop;
        if (loop != null) {
          long wait = Long.parseLong(Files.readString(loop.resolve("schedstat")).split(" ")[1]);
          add(who, Math.max(0, wait - last));
          last = wait;
        }
        TimeUnit.MILLISECONDS.sleep(PERIOD_MILLIS);
      }
    } catch (IOException e) {
      // It has ended.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Path loopOf(long pid) throws IOException {
    try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
      for (Path thread : threads.toList()) {
        if (Files.readString(thread.resolve("comm")).startsWith(LOOP_THREAD)) {
          return thread;
        }
      }
      return null;
    }
  }

  private void add(String who, long nanos) {
    TreeMap<Long, Long> of = waits.computeIfAbsent(who, k -> new TreeMap<>());
    synchronized (of) {
      of.put(System.nanoTime(), (of.isEmpty() ? 0 : of.lastEntry().getValue()) + nanos);
    }
  }

  /** How long it waited between these times, by System.nanoTime; what is read late is counted. */
  long between(String who, long from, long to) {
    TreeMap<Long, Long> of = waits.get(who);
    if (of == null) {
      return 0;
    }
    synchronized (of) {
      Map.Entry<Long, Long> before = of.floorEntry(from);
      Map.Entry<Long, Long> after =
          of.ceilingEntry(to + TimeUnit.MILLISECONDS.toNanos(PERIOD_MILLIS));
      long end = after == null ? (of.isEmpty() ? 0 : of.lastEntry().getValue()) : after.getValue();
      return end - (before == null ? 0 : before.getValue());
    }
  }
}
