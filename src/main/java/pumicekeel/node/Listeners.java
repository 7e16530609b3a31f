package pumicekeel.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.core.RequestRouter;
import pumicekeel.front.Front;
import pumicekeel.front.http.HttpFront;
import pumicekeel.front.jsonrpc.RequestIds;
import pumicekeel.front.jsonrpc.RpcFront;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.Reactor;

/** The listeners of a node: the platform's, which is permanent, and those that generations add and remove. */
final class Listeners {

  /** Interval at which the connections of a removed listener are checked. */
  private static final long POLL_MILLIS = 20;
  /** After this time, connections of a removed listener on which a request is still incomplete are closed. */
  private static final long CLOSE_GRACE_MILLIS = 2_000;

  private record ActiveListener(OperatorConfiguration.Listener spec, Front front) {}

  private final Reactor reactor;
  private final LoopLag lag;
  private final EventLoop loop;
  private final RequestRouter router;
  private final HttpFront platform;
  private final int maxTotal;
  private final RequestIds ids;
  private final Map<String, ActiveListener> active = new LinkedHashMap<>();
  private final List<Front> retired = new ArrayList<>();

  Listeners(
      Reactor reactor,
      LoopLag lag,
      RequestRouter router,
      int maxTotal,
      String warmUpPath,
      RequestIds ids) {
    this.ids = ids;
    this.reactor = reactor;
    this.lag = lag;
    loop = reactor.loop();
    this.router = router;
    this.maxTotal = maxTotal;
    platform =
        new HttpFront(reactor, lag, OperatorConfiguration.PLATFORM, router, maxTotal, warmUpPath);
  }

  HttpFront platform() {
    return platform;
  }

  /** Returns the connection limit of each listener, the platform's first; throws IllegalArgumentException if they don't fit. */
  static List<Integer> plan(int maxTotal, OperatorConfiguration next) {
    long specified = 0;
    long unspecified = 1;
    for (OperatorConfiguration.Listener l : next.listeners().values()) {
      specified += l.maxConnections() == null ? 0 : l.maxConnections();
      unspecified += l.maxConnections() == null ? 1 : 0;
    }
    int share = (int) ((maxTotal - specified) / unspecified);
    if (share < 1) {
      throw new IllegalArgumentException("listeners: expected max-connections of less than "
          + maxTotal + " in all, got " + specified);
    }
    List<Integer> out = new ArrayList<>(List.of(share));
    next.listeners()
        .values()
        .forEach(
            l -> out.add(l.maxConnections() == null ? share : l.maxConnections().intValue()));
    return out;
  }

  /** Binds a generation's new listeners without accepting yet, all or none. Blocks, so it must not run on the event loop. */
  Map<String, Front> bind(OperatorConfiguration next) throws IOException, InterruptedException {
    Map<String, Front> bound = new LinkedHashMap<>();
    List<Integer> plan = plan(maxTotal, next);
    Map<String, ActiveListener> present =
        loop.submit(() -> Map.copyOf(active)).syncUninterruptibly().getNow();
    int i = 1;
    for (OperatorConfiguration.Listener l : next.listeners().values()) {
      int maxConnections = plan.get(i++);
      ActiveListener now = present.get(l.name());
      if (now != null
          && now.spec().address().equals(l.address())
          && (now.spec().rpc() == null) == (l.rpc() == null)) {
        continue;
      }
      Front front = l.rpc() == null
          ? new HttpFront(reactor, lag, l.name(), router, maxConnections, null)
          : new RpcFront(reactor, l.name(), router, maxConnections, l.rpc(), ids);
      try {
        front.listen(l.address(), false);
      } catch (Exception e) {
        bound.values().forEach(Front::stopListening);
        if (e instanceof InterruptedException interrupted) {
          throw interrupted;
        }
        throw new IOException("listeners." + l.name() + ".address: cannot listen at " + l.address()
            + ": " + e.getMessage());
      }
      bound.put(l.name(), front);
    }
    return bound;
  }

  /** Puts a generation's listeners in force. Event loop only. */
  void apply(OperatorConfiguration next, Map<String, Front> bound, boolean ready) {
    List<Integer> plan = plan(maxTotal, next);
    platform.setMaxConnections(plan.get(0));
    List.copyOf(active.keySet()).stream()
        .filter(name -> !next.listeners().containsKey(name) || bound.containsKey(name))
        .forEach(name -> retire(active.remove(name).front()));
    int i = 1;
    for (OperatorConfiguration.Listener l : next.listeners().values()) {
      int maxConnections = plan.get(i++);
      Front front = bound.containsKey(l.name())
          ? bound.get(l.name())
          : active.get(l.name()).front();
      active.put(l.name(), new ActiveListener(l, front));
      front.setMaxConnections(maxConnections);
      if (front instanceof RpcFront calls) {
        calls.settings(l.rpc());
      }
      if (bound.containsKey(l.name())) {
        if (ready) {
          front.setReady();
        }
        front.startAccepting();
        Log.line("listens as " + l.name() + " at " + front.address());
      }
    }
  }

  /** Returns the address at which a listener of the operator file is bound; null if there is none of that name. */
  InetSocketAddress address(String name) {
    return active.containsKey(name) ? active.get(name).front().address() : null;
  }

  private void retire(Front front) {
    front.drain();
    front.stopListening();
    retired.add(front);
    long end = reactor.clock().now() + TimeUnit.MILLISECONDS.toNanos(CLOSE_GRACE_MILLIS);
    closeRetired(front, end);
  }

  /** Closes each connection after its next answer, idle ones at once and those with a partly received request after a grace. */
  private void closeRetired(Front front, long end) {
    front.closeIdle();
    if (reactor.clock().now() - end >= 0) {
      front.closeIncomplete();
    }
    if (front.isClosed()) {
      retired.remove(front);
    } else {
      loop.schedule(() -> closeRetired(front, end), POLL_MILLIS, TimeUnit.MILLISECONDS);
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

  void closeAfterAnswers() {
    all().forEach(Front::closeAfterAnswers);
  }

  void closeIncomplete() {
    all().forEach(Front::closeIncomplete);
  }

  int openConnections() {
    return all().stream().mapToInt(Front::openConnections).sum();
  }

  /** Whether no listener has an open connection or can get another. */
  boolean isClosed() {
    return all().stream().allMatch(Front::isClosed);
  }

  private List<Front> all() {
    List<Front> all = new ArrayList<>();
    all.add(platform);
    active.values().forEach(s -> all.add(s.front()));
    all.addAll(retired);
    return all;
  }
}
