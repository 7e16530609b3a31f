package pumicekeel.runtime;

import io.netty.util.concurrent.EventExecutor;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Consumer;

/**
 * What an {@link Error} on the event loop leads to. It may have left any state half changed, so nothing that runs on
 * the loop can be trusted any more. Netty catches errors in many places and goes on: all that reaches this program's
 * handlers and tasks is reported here.
 */
public final class FatalErrors {

  /** Memory that is set free for the handler of an error, which may be that the heap is exhausted. */
  private static final int RESERVE_BYTES = 512 << 10;

  /** How the JDK's messages begin where memory outside the heap, or a thread, cannot be had. */
  private static final List<String> OUTSIDE_HEAP =
      List.of("unable to create", "Unable to allocate", "Cannot reserve", "Map failed");

  private Consumer<Error> handler;
  private volatile Runnable onLoopEnd = () -> {};
  /** Held from {@link #onError} until the first error. */
  private byte[] reserve;

  /** Sets what is done once, on the event loop, about the first error; nothing without it. */
  public void onError(Consumer<Error> action) {
    handler = action;
    reserve = new byte[RESERVE_BYTES];
  }

  /** Sets what is done when the loop's thread ends, for whatever reason. */
  public void onLoopEnd(Runnable action) {
    onLoopEnd = action;
  }

  /** Reports what a handler or a task of the loop has thrown; nothing happens unless it is an error of this program. */
  public void check(Throwable cause) {
    if (cause instanceof Error error && !isLackOutsideHeap(error) && reserve != null) {
      reserve = null;
      handler.accept(error);
    }
  }

  /** Throws an error again as a task of the loop, which reports it; does nothing for an exception. */
  public static void rethrowOn(EventExecutor loop, Throwable cause) {
    if (cause instanceof Error error) {
      loop.execute(() -> {
        throw error;
      });
    }
  }

  /**
   * Returns whether the system, or Netty's own limit, denied memory outside the heap or a thread: that fails for a moment
   * and concerns the one call, as other calls of the system do.
   */
  private static boolean isLackOutsideHeap(Error error) {
    return error instanceof OutOfMemoryError
        && (error.getClass() != OutOfMemoryError.class
            || error.getMessage() != null
                && OUTSIDE_HEAP.stream().anyMatch(error.getMessage()::startsWith));
  }

  /** Returns the task, with its errors reported here. */
  Runnable checked(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (Error e) {
        check(e);
        throw e;
      }
    };
  }

  /** Returns the task, with its errors reported here. */
  <T> Callable<T> checked(Callable<T> task) {
    return () -> {
      try {
        return task.call();
      } catch (Error e) {
        check(e);
        throw e;
      }
    };
  }

  void loopEnded() {
    onLoopEnd.run();
  }
}
