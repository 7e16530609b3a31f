package pumicekeel.lab.program;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.AbstractScheduledEventExecutor;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An event loop without a thread, in virtual time: time stands still while a task runs and jumps to the next timer when no task is
 * left. Tasks run in order of submission, timers in order of their time and then of submission, so runs are deterministic. A task that
 * is submitted from outside the loop runs, with all tasks that it submits, before the call returns: code that would wait for a loop on
 * another thread finds its result there.
 */
final class VirtualLoop extends AbstractScheduledEventExecutor implements EventLoop {

  /** More tasks than this without an advance of time are taken for an endless cycle. */
  private static final int MAX_TASKS_WITHOUT_ADVANCE = 2_000_000;

  private static final long START_NANOS = 1_000_000_000L;

  private final Ticker ticker = new Ticker() {
    @Override
    public long initialNanoTime() {
      return START_NANOS;
    }

    @Override
    public long nanoTime() {
      return nowNanos;
    }

    @Override
    public void sleep(long delay, TimeUnit unit) {
      throw new UnsupportedOperationException("the event loop must not sleep");
    }
  };
  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private long nowNanos = START_NANOS;
  private Consumer<Throwable> failureHandler = e -> {};
  private boolean running;
  private long executed;

  /** Returns the virtual time in nanoseconds. */
  long now() {
    return nowNanos;
  }

  /** Returns the number of tasks and timers that have run. */
  long executed() {
    return executed;
  }

  /** Runs a task at this virtual time, in nanoseconds; a time in the past counts as now. */
  void runAt(long atNanos, Runnable task) {
    schedule(task, Math.max(0, atNanos - nowNanos), TimeUnit.NANOSECONDS);
  }

  /** Runs all tasks and all timers that are due up to this virtual time, in nanoseconds. */
  void runUntil(long untilNanos) {
    runInLoop(() -> {
      runPendingTasks();
      for (long next = nextScheduledTaskDeadlineNanos();
          next >= 0 && next <= untilNanos;
          next = nextScheduledTaskDeadlineNanos()) {
        nowNanos = Math.max(nowNanos, next);
        Runnable due = pollScheduledTask(nowNanos);
        if (due != null) {
          executed++;
          runReportingFailure(due);
        }
        runPendingTasks();
      }
      nowNanos = Math.max(nowNanos, untilNanos);
    });
  }

  private void runInLoop(Runnable task) {
    boolean wasRunning = running;
    running = true;
    try {
      task.run();
    } finally {
      running = wasRunning;
    }
  }

  /** Sets the receiver of what tasks throw; the program's tasks must not throw. */
  void onFailure(Consumer<Throwable> handler) {
    failureHandler = handler;
  }

  private void runReportingFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | AssertionError e) {
      failureHandler.accept(e);
    }
  }

  private void runPendingTasks() {
    int count = 0;
    for (Runnable next = tasks.poll(); next != null; next = tasks.poll()) {
      executed++;
      runReportingFailure(next);
      if (++count > MAX_TASKS_WITHOUT_ADVANCE) {
        throw new IllegalStateException(
            "more than " + MAX_TASKS_WITHOUT_ADVANCE + " tasks ran without an advance of time");
      }
    }
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
    if (!running) {
      runInLoop(this::runPendingTasks);
    }
  }

  @Override
  public Ticker ticker() {
    return ticker;
  }

  @Override
  public boolean inEventLoop(Thread thread) {
    return running;
  }

  @Override
  public EventLoopGroup parent() {
    return this;
  }

  @Override
  public EventLoop next() {
    return this;
  }

  @Override
  public ChannelFuture register(Channel channel) {
    return register(new DefaultChannelPromise(channel, this));
  }

  @Override
  public ChannelFuture register(ChannelPromise promise) {
    promise.channel().unsafe().register(this, promise);
    return promise;
  }

  @Deprecated
  @Override
  public ChannelFuture register(Channel channel, ChannelPromise promise) {
    channel.unsafe().register(this, promise);
    return promise;
  }

  // The loop ends with its run and has no resources to release

  @Override
  public Future<?> shutdownGracefully(long quiet, long timeout, TimeUnit unit) {
    return newSucceededFuture(null);
  }

  @Override
  public Future<?> terminationFuture() {
    return newSucceededFuture(null);
  }

  @Deprecated
  @Override
  public void shutdown() {
    // Nothing to release.
  }

  @Override
  public boolean isShuttingDown() {
    return false;
  }

  @Override
  public boolean isShutdown() {
    return false;
  }

  @Override
  public boolean isTerminated() {
    return false;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return true;
  }
}
