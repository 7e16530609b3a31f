package pumicekeel.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.Closeable;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import pumicekeel.Balancer.Settings;
import pumicekeel.config.Configuration;
import pumicekeel.discovery.DepartureExchange;
import pumicekeel.discovery.UpstreamSource;
import pumicekeel.peers.PeerAddresses;
import pumicekeel.peers.PeerBroadcast;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Reactor;

/** Ties the exchange of departures to the list of the platform's discovery and to the datagrams of the tier. Only on the loop. */
final class DepartureSharing implements Closeable {

  private static final long SHORTEST_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  /** What the list itself has told is looked at so often. */
  private static final long LONGEST_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final EventLoop loop;
  private final Clock clock;
  private final long seed;
  private final int size;
  private final PeerBroadcast peers;
  private DepartureExchange exchange;
  private UpstreamSource source;
  private ScheduledFuture<?> timer;
  private long tickAt;
  private boolean closed;

  private DepartureSharing(Reactor on, Configuration configuration, PeerAddresses addresses) {
    loop = on.loop();
    clock = on.clock();
    seed = configuration.seed() ^ configuration.name().hashCode();
    size = addresses.each().size();
    peers = new PeerBroadcast(loop, addresses, configuration.settings().me(), this::received);
  }

  /** Of a balancer whose settings allow datagrams to others and whose lists are asked for; else null. */
  static DepartureSharing of(Reactor on, Configuration configuration) {
    Settings settings = configuration.settings();
    PeerAddresses addresses = PeerAddresses.of(configuration.read());
    return addresses == null || !settings.limits().peers() || !settings.listOnRequest()
        ? null
        : new DepartureSharing(on, configuration, addresses);
  }

  /** Shares the departures of this list from now on. */
  void share(UpstreamSource of) {
    if (of == null || of.currency() == null) {
      return;
    }
    source = of;
    exchange = new DepartureExchange(of.currency(), size, seed);
    source.shareDepartures(exchange);
    peers.open();
    next();
  }

  private void received(int from, byte[] bytes) {
    if (exchange == null) {
      return;
    }
    Set<Long> left = exchange.receive(from, bytes, clock.now());
    if (!left.isEmpty()) {
      source.markDeparted(left);
    }
    next();
  }

  /** One timer, for whatever is due next; a flood of datagrams does not put it off. */
  private void next() {
    long now = clock.now();
    long due = Math.max(SHORTEST_TICK_NANOS, exchange.nextTickAt() - now);
    long at = now + Math.min(LONGEST_TICK_NANOS, due);
    if (timer != null && !timer.isDone()) {
      if (tickAt <= at) {
        return;
      }
      timer.cancel(false);
    }
    tickAt = at;
    timer = loop.schedule(this::tick, at - now, TimeUnit.NANOSECONDS);
  }

  private void tick() {
    timer = null;
    if (closed) {
      return;
    }
    if (peers.isOpen()) {
      peers.send(exchange.tick(clock.now()));
      source.markReturned(exchange.pollReturned(clock.now()));
    }
    next();
  }

  /** For operators. */
  String line() {
    return exchange == null ? "" : "; " + exchange.statusLine();
  }

  @Override
  public void close() {
    closed = true;
    peers.close();
  }
}
