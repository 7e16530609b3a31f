package pumicekeel.runtime;

import io.netty.channel.EventLoop;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** An event loop that reports the errors of its tasks and its own end; Netty only logs the former. */
final class CheckedEventLoop extends SingleThreadIoEventLoop {

  private static final String THREAD_NAME = "loop";

  private final FatalErrors errors;

  private CheckedEventLoop(
      IoEventLoopGroup parent, Executor executor, IoHandlerFactory handlers, FatalErrors errors) {
    super(parent, executor, handlers);
    this.errors = errors;
  }

  /** Starts a loop with a thread of its own. */
  static EventLoop start(IoHandlerFactory handlers, FatalErrors errors) {
    return new Group(handlers, errors).next();
  }

  @Override
  protected int runIo() {
    try {
      return super.runIo();
    } catch (Error e) {
      errors.check(e);
      throw e;
    }
  }

  @Override
  public void execute(Runnable task) {
    super.execute(errors.checked(task));
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    return super.schedule(errors.checked(task), delay, unit);
  }

  @Override
  public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
    return super.schedule(errors.checked(task), delay, unit);
  }

  @Override
  public Future<?> submit(Runnable task) {
    return super.submit(errors.checked(task));
  }

  @Override
  public <T> Future<T> submit(Callable<T> task) {
    return super.submit(errors.checked(task));
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable task, long initialDelay, long delay, TimeUnit unit) {
    return super.scheduleWithFixedDelay(errors.checked(task), initialDelay, delay, unit);
  }

  /** The group that Netty wants a loop to have. */
  private static final class Group extends MultiThreadIoEventLoopGroup {
    private Group(IoHandlerFactory handlers, FatalErrors errors) {
      // Passed on to newChild, which runs before this class's own fields could be set.
      super(1, new LoopThreads(errors), handlers, errors);
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory handlers, Object... args) {
      return new CheckedEventLoop(this, executor, handlers, (FatalErrors) args[0]);
    }
  }

  private static final class LoopThreads extends DefaultThreadFactory {
    private final FatalErrors errors;

    private LoopThreads(FatalErrors errors) {
      super(THREAD_NAME);
      this.errors = errors;
    }

    @Override
    public Thread newThread(Runnable loop) {
      return super.newThread(() -> {
        try {
          loop.run();
        } finally {
          errors.loopEnded();
        }
      });
    }
  }
}
