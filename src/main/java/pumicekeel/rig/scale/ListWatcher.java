package pumicekeel.rig.scale;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pumicekeel.discovery.HostList;
import pumicekeel.discovery.UpstreamSource;
import pumicekeel.discovery.WatchTerms;
import pumicekeel.runtime.Reactor;
import pumicekeel.runtime.Sockets;

/** A hollow balancer's watch on a list of upstreams. To be used on its loop only. */
final class ListWatcher implements UpstreamSource.Observer {

  private static final long DRAIN_GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final UpstreamSource source;
  private long index;
  private long receivedAt;

  /** Starts a watch without a known list. */
  ListWatcher(EventLoop loop, Sockets sockets, InetSocketAddress discovery, WatchTerms terms) {
    Reactor reactor = new Reactor(loop, new pumicekeel.runtime.Clock(), sockets);
    source = UpstreamSource.watched(
        reactor,
        discovery,
        new HostList(0, true, List.of()),
        terms,
        DRAIN_GRACE_NANOS,
        loop.hashCode());
    source.addObserver(this);
    source.watch(this, true);
  }

  @Override
  public void listChanged(HostList list) {
    index = list.index();
    receivedAt = System.nanoTime();
  }

  /** Returns the last received version of the list. */
  long index() {
    return index;
  }

  /** Returns when that version was received, by System.nanoTime. */
  long receivedAt() {
    return receivedAt;
  }

  /** Returns the number of calls to discovery that failed. */
  long failures() {
    return source.failureCount();
  }

  void close() {
    source.removeObserver(this);
  }
}
