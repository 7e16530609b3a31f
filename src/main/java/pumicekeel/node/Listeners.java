package pumicekeel.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pumicekeel.config.Operator;
import pumicekeel.core.RequestRouter;
import pumicekeel.front.Front;
import pumicekeel.front.http.HttpFront;
import pumicekeel.front.jsonrpc.RequestIds;
import pumicekeel.front.jsonrpc.RpcSide;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.Reactor;

/** The listening sides of a node: the platform's, which stays, and those that generations bring and take away. */
final class Listeners {

  /** A listener that is removed accepts for this long, as at a planned stop, and then serves what it has. */
  private static final long POLL_MILLIS = 20;
  /** What a removed listener's clients still begin is answered within this; then the connections are closed. */
  private static final long LEAVING_MILLIS = 2_000;

  private record Side(Operator.Listener spec, Front side) {}

  private final Reactor on;
  private final LoopLag lag;
  private final EventLoop loop;
  private final RequestRouter router;
  private final HttpFront platform;
  private final int total;
  private final RequestIds ids;
  private final Map<String, Side> sides = new LinkedHashMap<>();
  private final List<Front> leaving = new ArrayList<>();

  Listeners(
      Reactor on, LoopLag lag, RequestRouter router, int total, String warmUpPath, RequestIds ids) {
    this.ids = ids;
    this.on = on;
    this.lag = lag;
    loop = on.loop();
    this.router = router;
    this.total = total;
    platform = new HttpFront(on, lag, Operator.PLATFORM, router, total, warmUpPath);
  }

  HttpFront platform() {
    return platform;
  }

  /** Connections of each listener, the platform's first; an IllegalArgumentException where they don't fit. */
  static List<Integer> plan(int total, Operator next) {
    long stated = 0;
    long silent = 1;
    for (Operator.Listener l : next.listeners().values()) {
      stated += l.maxConnections() == null ? 0 : l.maxConnections();
      silent += l.maxConnections() == null ? 1 : 0;
    }
    int even = (int) ((total - stated) / silent);
    if (even < 1) {
      throw new IllegalArgumentException(
          "listeners: expected max-connections of less than " + total + " in all, got " + stated);
    }
    List<Integer> out = new ArrayList<>(List.of(even));
    next.listeners()
        .values()
        .forEach(
            l -> out.add(l.maxConnections() == null ? even : l.maxConnections().intValue()));
    return out;
  }

  /** Binds what a generation brings, without accepting yet; all of it or none. Waits, so not for the loop. */
  Map<String, Front> bind(Operator next) throws IOException, InterruptedException {
    Map<String, Front> bound = new LinkedHashMap<>();
    List<Integer> plan = plan(total, next);
    Map<String, Side> present =
        loop.submit(() -> Map.copyOf(sides)).syncUninterruptibly().getNow();
    int i = 1;
    for (Operator.Listener l : next.listeners().values()) {
      int most = plan.get(i++);
      Side now = present.get(l.name());
      if (now != null
          && now.spec().address().equals(l.address())
          && (now.spec().rpc() == null) == (l.rpc() == null)) {
        continue;
      }
      Front side = l.rpc() == null
          ? new HttpFront(on, lag, l.name(), router, most, null)
          : new RpcSide(on, l.name(), router, most, l.rpc(), ids);
      try {
        side.listen(l.address(), false);
      } catch (Exception e) {
        bound.values().forEach(Front::stopListening);
        if (e instanceof InterruptedException interrupted) {
          throw interrupted;
        }
        throw new IOException("listeners." + l.name() + ".address: cannot listen at " + l.address()
            + ": " + e.getMessage());
      }
      bound.put(l.name(), side);
    }
    return bound;
  }

  /** Takes a generation's listeners over. On the loop. */
  void apply(Operator next, Map<String, Front> bound, boolean ready) {
    List<Integer> plan = plan(total, next);
    platform.setMaxConnections(plan.get(0));
    List.copyOf(sides.keySet()).stream()
        .filter(name -> !next.listeners().containsKey(name) || bound.containsKey(name))
        .forEach(name -> leave(sides.remove(name).side()));
    int i = 1;
    for (Operator.Listener l : next.listeners().values()) {
      int most = plan.get(i++);
      Front side = bound.containsKey(l.name())
          ? bound.get(l.name())
          : sides.get(l.name()).side();
      sides.put(l.name(), new Side(l, side));
      side.setMaxConnections(most);
      if (side instanceof RpcSide calls) {
        calls.settings(l.rpc());
      }
      if (bound.containsKey(l.name())) {
        if (ready) {
          side.setReady();
        }
        side.startAccepting();
        Log.line("listens as " + l.name() + " at " + side.address());
      }
    }
  }

  /** Where a listener of the file is bound. */
  InetSocketAddress address(String name) {
    return sides.containsKey(name) ? sides.get(name).side().address() : null;
  }

  private void leave(Front side) {
    side.drain();
    side.stopListening();
    leaving.add(side);
    long end = on.clock().now() + TimeUnit.MILLISECONDS.toNanos(LEAVING_MILLIS);
    close(side, end);
  }

  /** Each answer is its connection's last; what is idle goes at once, what has begun to come in a little later. */
  private void close(Front side, long end) {
    side.closeIdle();
    if (on.clock().now() - end >= 0) {
      side.closeIncomplete();
    }
    if (side.isClosed()) {
      leaving.remove(side);
    } else {
      loop.schedule(() -> close(side, end), POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  void setReady() {
    all().forEach(Front::setReady);
  }

  void drain() {
    all().forEach(Front::drain);
  }

  void resume() {
    all().forEach(Front::resume);
  }

  void closeIdle() {
    all().forEach(Front::closeIdle);
  }

  void stopListening() {
    all().forEach(Front::stopListening);
  }

  void lastAnswers() {
    all().forEach(Front::closeAfterAnswers);
  }

  void closeUntaken() {
    all().forEach(Front::closeIncomplete);
  }

  int open() {
    return all().stream().mapToInt(Front::openConnections).sum();
  }

  /** Whether no connection is open at any, and none can come any more. */
  boolean ended() {
    return all().stream().allMatch(Front::isClosed);
  }

  private List<Front> all() {
    List<Front> all = new ArrayList<>();
    all.add(platform);
    sides.values().forEach(s -> all.add(s.side()));
    all.addAll(leaving);
    return all;
  }
}
