package pumicekeel.runtime;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Writes lines on a thread of its own, so that a reader of the log that stands still holds nobody up. Beyond what waits for it lines are
 * left out, and how many is told.
 */
final class LogWriter {

  /** Some seconds of a busy log. */
  private static final int MOST_WAITING = 2_048;

  private static final long FLUSH_LOOK_MILLIS = 1;

  /** Standard error, wherever it goes at the moment. */
  static final LogWriter SYSTEM = new LogWriter(() -> System.err);

  private final Supplier<PrintStream> to;
  private final ArrayBlockingQueue<String> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
  private final AtomicLong taken = new AtomicLong();
  private final AtomicLong written = new AtomicLong();
  private final AtomicLong leftOut = new AtomicLong();
  private volatile Thread thread;

  LogWriter(Supplier<PrintStream> to) {
    this.to = to;
  }

  /** Takes a line; for any thread, and never waits. */
  void line(String text) {
    if (waiting.offer(text)) {
      taken.incrementAndGet();
    } else {
      leftOut.incrementAndGet();
    }
    if (thread == null) {
      begin();
    }
  }

  /** The thread is begun with the first line; where the system has none to give, the next line tries again. */
  private synchronized void begin() {
    if (thread != null) {
      return;
    }
    Thread next = new Thread(this::run, "log");
    next.setDaemon(true);
    try {
      next.start();
      thread = next;
    } catch (OutOfMemoryError e) {
      // No thread to be had at this moment.
      thread = null;
    }
  }

  private void run() {
    try {
      while (true) {
        String line = waiting.take();
        PrintStream out = to.get();
        out.println(line);
        // Behind those that had room.
        long missing = waiting.isEmpty() ? leftOut.getAndSet(0) : 0;
        if (missing > 0) {
          out.println("log: " + missing + " lines left out");
        }
        written.incrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until what was taken so far is written, so many milliseconds at most. */
  void flush(long mostMillis) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMillis);
    long all = taken.get();
    try {
      while (written.get() < all && System.nanoTime() - until < 0) {
        TimeUnit.MILLISECONDS.sleep(FLUSH_LOOK_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
