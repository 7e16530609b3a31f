package pumicekeel.runtime;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Writes lines on its own thread, so that a stalled reader of the log delays no other thread. Lines beyond the queue's capacity
 * are discarded, and their number is logged.
 */
final class LogWriter {

  /** Holds some seconds of a busy log. */
  private static final int MAX_QUEUED_LINES = 2_048;

  private static final long FLUSH_POLL_MILLIS = 1;

  /** Writes to the current standard error. */
  static final LogWriter SYSTEM = new LogWriter(() -> System.err);

  private final Supplier<PrintStream> output;
  private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong enqueued = new AtomicLong();
  private final AtomicLong written = new AtomicLong();
  private final AtomicLong discarded = new AtomicLong();
  private volatile Thread thread;

  LogWriter(Supplier<PrintStream> output) {
    this.output = output;
  }

  /** Queues a line; for any thread, and never waits. */
  void line(String text) {
    if (queue.offer(text)) {
      enqueued.incrementAndGet();
    } else {
      discarded.incrementAndGet();
    }
    if (thread == null) {
      startThread();
    }
  }

  /** Starts the thread, with the first line; if the system has no thread available, the next line tries again. */
  private synchronized void startThread() {
    if (thread != null) {
      return;
    }
    Thread next = new Thread(this::run, "log");
    next.setDaemon(true);
    try {
      next.start();
      thread = next;
    } catch (OutOfMemoryError e) {
      // No thread is available now.
      thread = null;
    }
  }

  private void run() {
    try {
      while (true) {
        String line = queue.take();
        PrintStream out = output.get();
        out.println(line);
        // After the lines that were queued.
        long missing = queue.isEmpty() ? discarded.getAndSet(0) : 0;
        if (missing > 0) {
          out.println("log: " + missing + " lines left out");
        }
        written.incrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until the lines queued so far are written, at most this long. */
  void flush(long maxMillis) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
    long all = enqueued.get();
    try {
      while (written.get() < all && System.nanoTime() - until < 0) {
        TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
