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
  private static final int MOST_AT_ONCE = 2_000_000;

  private static final long START = 1_000_000_000L;

  private final Ticker ticker = new Ticker() {
    @Override
    public long initialNanoTime() {
      return START;
    }

    @Override
    public long nanoTime() {
      return now;
    }

    @Override
    public void sleep(long delay, TimeUnit unit) {
      throw new UnsupportedOperationException("the event loop must not sleep");
    }
  };
  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private long now = START;
  private Consumer<Throwable> failed = e -> {};
  private boolean inside;
  private long done;

  /** Returns the virtual time in nanoseconds. */
  long now() {
    return now;
  }

  /** Returns the number of tasks and timers that have run. */
  long done() {
    return done;
  }

  /** Runs a task at this virtual time, in nanoseconds; a time in the past counts as now. */
  void at(long when, Runnable what) {
    schedule(what, Math.max(0, when - now), TimeUnit.NANOSECONDS);
  }

  /** Runs all tasks and all timers that are due up to this virtual time, in nanoseconds. */
  void runUntil(long end) {
    enter(() -> {
      drain();
      for (long next = nextScheduledTaskDeadlineNanos();
          next >= 0 && next <= end;
          next = nextScheduledTaskDeadlineNanos()) {
        now = Math.max(now, next);
        Runnable due = pollScheduledTask(now);
        if (due != null) {
          done++;
          carryOut(due);
        }
        drain();
      }
      now = Math.max(now, end);
    });
  }

  private void enter(Runnable what) {
    boolean before = inside;
    inside = true;
    try {
      what.run();
    } finally {
      inside = before;
    }
  }

  /** Sets the receiver of what tasks throw; the program's tasks must not throw. */
  void onFailure(Consumer<Throwable> to) {
    failed = to;
  }

  private void carryOut(Runnable what) {
    try {
      what.run();
    } catch (RuntimeException | AssertionError e) {
      failed.accept(e);
    }
  }

  private void drain() {
    int count = 0;
    for (Runnable next = tasks.poll(); next != null; next = tasks.poll()) {
      done++;
      carryOut(next);
      if (++count > MOST_AT_ONCE) {
        throw new IllegalStateException(
            "more than " + MOST_AT_ONCE + " tasks ran without an advance of time");
      }
    }
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
    if (!inside) {
      enter(this::drain);
    }
  }

  @Override
  public Ticker ticker() {
    return ticker;
  }

  @Override
  public boolean inEventLoop(Thread thread) {
    return inside;
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
