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
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;

/** Connects the departure exchange to the platform's discovery list and to the datagrams between balancers. Event loop only. */
final class DepartureSharing implements Closeable {

  private static final long MIN_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  /** Departures reported by the list itself are picked up at this interval. */
  private static final long MAX_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

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

  private DepartureSharing(Reactor reactor, Configuration configuration, PeerAddresses addresses) {
    loop = reactor.loop();
    clock = reactor.clock();
    seed = configuration.seed() ^ configuration.name().hashCode();
    size = addresses.members().size();
    peers = new PeerBroadcast(loop, addresses, configuration.settings().me(), this::onDatagram);
  }

  /** Returns an instance if the settings allow datagrams between peers and lists are fetched on request; else null. */
  static DepartureSharing of(Reactor reactor, Configuration configuration) {
    Settings settings = configuration.settings();
    PeerAddresses addresses = PeerAddresses.of(configuration.read());
    return addresses == null || !settings.limits().peers() || !settings.listOnRequest()
        ? null
        : new DepartureSharing(reactor, configuration, addresses);
  }

  /** Starts sharing the departures of this list. */
  void share(UpstreamSource listSource) {
    if (listSource == null || listSource.currency() == null) {
      return;
    }
    source = listSource;
    exchange = new DepartureExchange(listSource.currency(), size, seed);
    source.shareDepartures(exchange);
    peers.open();
    scheduleTick();
  }

  private void onDatagram(int from, byte[] bytes) {
    if (exchange == null) {
      return;
    }
    Set<Long> departed = exchange.receive(from, bytes, clock.now());
    if (!departed.isEmpty()) {
      source.markDeparted(departed);
    }
    logReports();
    scheduleTick();
  }

  /** Schedules the single timer for the next due event; a flood of datagrams cannot postpone it. */
  private void scheduleTick() {
    long now = clock.now();
    long due = Math.max(MIN_TICK_NANOS, exchange.nextTickAt() - now);
    long at = now + Math.min(MAX_TICK_NANOS, due);
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
      logReports();
    }
    scheduleTick();
  }

  private void logReports() {
    exchange.pollLogLines().forEach(line -> Log.rateLimited("departures: " + line));
  }

  /** Returns the state of the exchange for the operators' call {@code list}. */
  String line() {
    return exchange == null ? "" : "; " + exchange.statusLine();
  }

  @Override
  public void close() {
    closed = true;
    peers.close();
  }
}
