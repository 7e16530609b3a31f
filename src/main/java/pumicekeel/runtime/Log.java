package pumicekeel.runtime;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** The balancer's log: changes of state, a line each, on standard error. */
public final class Log {

  /** Lines a second that peers may cause together: more tell nothing new, and a flood of them costs the core. */
  private static final int CAUSED_PER_SECOND = 5;

  private static final AtomicLong SECOND = new AtomicLong();
  private static final AtomicInteger CAUSED = new AtomicInteger();

  /** Where this thread's lines go instead; null for standard error. A simulation reads its program's. */
  private static final ThreadLocal<Consumer<String>> TO = new ThreadLocal<>();

  private Log() {}

  /** This thread's lines go there from now on; null for standard error. */
  public static void to(Consumer<String> reader) {
    if (reader == null) {
      TO.remove();
    } else {
      TO.set(reader);
    }
  }

  /** A line that something on a socket caused: left out where there are too many. */
  public static void caused(String text) {
    if (TO.get() != null) {
      line(text);
      return;
    }
    long second = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (SECOND.getAndSet(second) != second) {
      CAUSED.set(0);
    }
    if (CAUSED.incrementAndGet() <= CAUSED_PER_SECOND) {
      line(text);
    }
  }

  /** Waits until what was logged so far is written, so many milliseconds at most; before the process ends. */
  public static void flush(long mostMillis) {
    LogWriter.SYSTEM.flush(mostMillis);
  }

  /** A line of the log; never waits for its reader. */
  public static void line(String text) {
    Consumer<String> reader = TO.get();
    if (reader != null) {
      reader.accept(text);
      return;
    }
    LogWriter.SYSTEM.line(text.replace('\n', ' ').replace('\r', ' '));
  }
}
