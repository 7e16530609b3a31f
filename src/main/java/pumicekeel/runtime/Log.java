package pumicekeel.runtime;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** The balancer's log: one line per event, on standard error. */
public final class Log {

  /** Maximum rate of the lines that peers can cause: more add no information, and a flood of them costs CPU time. */
  private static final int MAX_RATE_LIMITED_PER_SECOND = 5;

  /** The second to which the count belongs. */
  private static final AtomicLong CURRENT_SECOND = new AtomicLong();

  private static final AtomicInteger RATE_LIMITED_IN_SECOND = new AtomicInteger();

  /** Lines beyond the maximum rate that no notice has named yet. */
  private static final AtomicLong LEFT_OUT = new AtomicLong();

  /**
   * Receives this thread's lines in place of standard error; null for none. Used by simulations to read a program's
   * log.
   */
  private static final ThreadLocal<Consumer<String>> REDIRECTION = new ThreadLocal<>();

  private Log() {}

  /** Redirects this thread's lines; null for standard error. */
  public static void redirect(Consumer<String> receiver) {
    if (receiver == null) {
      REDIRECTION.remove();
    } else {
      REDIRECTION.set(receiver);
    }
  }

  /**
   * Logs a line that peers can cause at any rate: beyond the maximum rate, shared by all such lines of the process, it is discarded,
   * and the next line that is not tells how many were. A redirected thread's lines are not limited.
   */
  public static void rateLimited(String text) {
    if (REDIRECTION.get() != null) {
      line(text);
      return;
    }
    long second = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (CURRENT_SECOND.getAndSet(second) != second) {
      RATE_LIMITED_IN_SECOND.set(0);
    }
    if (RATE_LIMITED_IN_SECOND.incrementAndGet() > MAX_RATE_LIMITED_PER_SECOND) {
      LEFT_OUT.incrementAndGet();
      return;
    }
    long leftOut = LEFT_OUT.getAndSet(0);
    if (leftOut > 0) {
      line("log: " + leftOut + " lines beyond " + MAX_RATE_LIMITED_PER_SECOND
          + " a second left out");
    }
    line(text);
  }

  /** Waits until the lines logged so far are written, at most this long; called before the process ends. */
  public static void flush(long maxMillis) {
    LogWriter.SYSTEM.flush(maxMillis);
  }

  /** Logs a line; never waits for the reader of the log. */
  public static void line(String text) {
    Consumer<String> receiver = REDIRECTION.get();
    if (receiver != null) {
      receiver.accept(text);
      return;
    }
    LogWriter.SYSTEM.line(text.replace('\n', ' ').replace('\r', ' '));
  }
}
