package pumicekeel.runtime;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Tries again what failed for a moment, on a thread that may wait; not for a loop. */
public final class Retry {

  private static final long FIRST_PAUSE_MILLIS = 10;
  private static final long LONGEST_PAUSE_MILLIS = 200;

  /** Something that may fail. */
  public interface Call<T> {
    T call() throws IOException, InterruptedException;
  }

  private Retry() {}

  /**
   * The result of a call, which is repeated while it fails for a moment or for one descriptor only, for so long at most; then, and
   * where it fails in another way, its error. Each repeat is told in the log.
   */
  public static <T> T call(String what, long mostMillis, Call<T> call)
      throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMillis);
    long pause = FIRST_PAUSE_MILLIS;
    while (true) {
      try {
        return call.call();
      } catch (IOException | RuntimeException | OutOfMemoryError e) {
        // A thread that the system can't give at this moment is an OutOfMemoryError, too.
        FailureScope scope = FailureScope.known(e);
        boolean passes =
            e instanceof OutOfMemoryError || scope != null && scope != FailureScope.PERMANENT;
        if (!passes || System.nanoTime() - until >= 0) {
          throw e;
        }
        Log.caused(what + " failed, tried again in " + pause + " ms: " + e);
      }
      TimeUnit.MILLISECONDS.sleep(pause);
      pause = Math.min(LONGEST_PAUSE_MILLIS, 2 * pause);
    }
  }
}
