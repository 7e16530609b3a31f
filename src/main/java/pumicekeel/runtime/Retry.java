package pumicekeel.runtime;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Retries calls that fail temporarily, on a thread that may wait; not for an event loop. */
public final class Retry {

  private static final long FIRST_PAUSE_MILLIS = 10;
  private static final long MAX_PAUSE_MILLIS = 200;

  /** A call that may fail. */
  public interface Call<T> {
    T call() throws IOException, InterruptedException;
  }

  private Retry() {}

  /**
   * Returns the result of a call, which is repeated for up to {@code maxMillis} while it fails with a known error that is
   * not {@link FailureScope#PERMANENT}; then, or after any other error, throws that error. Each retry is logged.
   */
  public static <T> T call(String what, long maxMillis, Call<T> call)
      throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
    long pause = FIRST_PAUSE_MILLIS;
    while (true) {
      try {
        return call.call();
      } catch (IOException | RuntimeException | OutOfMemoryError e) {
        // Also an OutOfMemoryError: a thread that the system cannot create now.
        FailureScope scope = FailureScope.known(e);
        boolean retryable =
            e instanceof OutOfMemoryError || scope != null && scope != FailureScope.PERMANENT;
        if (!retryable || System.nanoTime() - until >= 0) {
          throw e;
        }
        Log.rateLimited(what + " failed, retrying in " + pause + " ms: " + e);
      }
      TimeUnit.MILLISECONDS.sleep(pause);
      pause = Math.min(MAX_PAUSE_MILLIS, 2 * pause);
    }
  }
}
