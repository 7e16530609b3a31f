package pumicekeel.standin;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The queue of a stand-in discovery, which serves one call at a time, each for a fixed time. Runs on its event loop. */
final class CallQueue {

  private record WaitingCall(DiscoveryCall call, long since) {}

  private final EventLoop loop;
  private final DiscoveryFaults.Settings settings;
  private final Consumer<DiscoveryCall> serve;
  private final ArrayDeque<WaitingCall> waiting = new ArrayDeque<>();
  private boolean busy;

  CallQueue(EventLoop loop, DiscoveryFaults faults, Consumer<DiscoveryCall> serve) {
    this.loop = loop;
    settings = faults.settings();
    this.serve = serve;
  }

  /** Queues a call, or serves it at once if calls that are handled in its way do not queue. */
  void add(DiscoveryCall call) {
    if (!call.handling().queues() || settings.serviceMillis() == 0) {
      serve.accept(call);
      return;
    }
    loop.execute(() -> {
      WaitingCall entry = new WaitingCall(call, System.nanoTime());
      waiting.add(entry);
      if (settings.maxWaitMillis() > 0 && !settings.refusalsTakeTime()) {
        loop.schedule(() -> reject(entry), settings.maxWaitMillis(), TimeUnit.MILLISECONDS);
      }
      next();
    });
  }

  /** Closes the connections of all waiting calls. */
  void clear() {
    loop.execute(() -> {
      waiting.forEach(entry -> entry.call().channel().close());
      waiting.clear();
    });
  }

  private void reject(WaitingCall entry) {
    if (waiting.remove(entry)) {
      StandInDiscovery.refuse(entry.call().channel());
    }
  }

  private void next() {
    WaitingCall entry = busy ? null : waiting.poll();
    while (entry != null && !entry.call().channel().isActive()) {
      entry = waiting.poll();
    }
    if (entry == null) {
      return;
    }
    busy = true;
    WaitingCall served = entry;
    loop.schedule(() -> finish(served), settings.serviceMillis(), TimeUnit.MILLISECONDS);
  }

  private void finish(WaitingCall entry) {
    busy = false;
    long waited = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - entry.since());
    if (settings.refusalsTakeTime()
        && settings.maxWaitMillis() > 0
        && waited - settings.serviceMillis() > settings.maxWaitMillis()) {
      StandInDiscovery.refuse(entry.call().channel());
    } else {
      serve.accept(entry.call());
    }
    next();
  }
}
