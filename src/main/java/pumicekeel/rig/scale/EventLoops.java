package pumicekeel.rig.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import pumicekeel.runtime.Log;

/** One event loop with its own thread for each hollow balancer, as if each balancer ran in its own process. */
final class EventLoops implements Closeable {

  private final EventLoopGroup group;
  private final List<EventLoop> loops = new ArrayList<>();
  private final List<Long> threads = new ArrayList<>();

  /** Starts a number of event loops and their threads. */
  EventLoops(int count) {
    group = new MultiThreadIoEventLoopGroup(count, NioIoHandler.newFactory());
    for (int i = 0; i < count; i++) {
      loops.add((EventLoop) group.next());
    }
    callAll(i -> discardLog()).forEach(threads::add);
  }

  /** Discards the thread's log, because hundreds of balancers log nothing that the figures do not show; returns the thread's ID. */
  private static long discardLog() {
    Log.redirect(line -> {});
    return Thread.currentThread().getId();
  }

  EventLoop get(int index) {
    return loops.get(index);
  }

  int size() {
    return loops.size();
  }

  /** Returns the processor time used so far by all event loops, in nanoseconds. */
  long processorNanos() {
    return ProcessMeter.processorNanos(threads);
  }

  /** A call that receives the index of a balancer. */
  interface IndexedCall<T> {
    T call(int index);
  }

  /** Runs work on one event loop and returns its result. */
  <T> T call(int index, Callable<T> work) {
    return loops.get(index).submit(work).syncUninterruptibly().getNow();
  }

  /** Runs work on all event loops concurrently and returns the results in the order of the balancers. */
  <T> List<T> callAll(IndexedCall<T> work) {
    List<io.netty.util.concurrent.Future<T>> pending = new ArrayList<>();
    for (int i = 0; i < loops.size(); i++) {
      int index = i;
      pending.add(loops.get(i).submit(() -> work.call(index)));
    }
    return pending.stream().map(future -> future.syncUninterruptibly().getNow()).toList();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
