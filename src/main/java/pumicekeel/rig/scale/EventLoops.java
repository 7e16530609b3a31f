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

/** One event loop, with a thread of its own, for each hollow balancer: the same as in as many processes. */
final class EventLoops implements Closeable {

  private final EventLoopGroup group;
  private final List<EventLoop> loops = new ArrayList<>();
  private final List<Long> threads = new ArrayList<>();

  /** Starts so many threads. */
  EventLoops(int count) {
    group = new MultiThreadIoEventLoopGroup(count, NioIoHandler.newFactory());
    for (int i = 0; i < count; i++) {
      loops.add((EventLoop) group.next());
    }
    callAll(i -> prepare()).forEach(threads::add);
  }

  /** Hundreds of balancers' lines tell nothing that the figures don't. */
  private static long prepare() {
    Log.redirect(line -> {});
    return Thread.currentThread().getId();
  }

  EventLoop get(int number) {
    return loops.get(number);
  }

  int size() {
    return loops.size();
  }

  /** Processor time of all loops so far, in nanoseconds. */
  long processorNanos() {
    return ProcessMeter.processorNanos(threads);
  }

  /** What is done with the number of a balancer. */
  interface IndexedCall<T> {
    T call(int number);
  }

  /** Calls something on one loop and waits for what it returns. */
  <T> T call(int number, Callable<T> work) {
    return loops.get(number).submit(work).syncUninterruptibly().getNow();
  }

  /** Calls something on every loop at once and waits for all. */
  <T> List<T> callAll(IndexedCall<T> work) {
    List<io.netty.util.concurrent.Future<T>> under = new ArrayList<>();
    for (int i = 0; i < loops.size(); i++) {
      int number = i;
      under.add(loops.get(i).submit(() -> work.call(number)));
    }
    return under.stream().map(f -> f.syncUninterruptibly().getNow()).toList();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
