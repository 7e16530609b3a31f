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

/** A hollow balancer's watch on a list of upstreams. Only on its loop. */
final class ListWatcher implements UpstreamSource.Observer {

  private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final UpstreamSource source;
  private long index;
  private long toldAt;

  /** Begins to watch with nothing known. */
  ListWatcher(EventLoop loop, Sockets sockets, InetSocketAddress discovery, WatchTerms terms) {
    Reactor reactor = new Reactor(loop, new pumicekeel.runtime.Clock(), sockets);
    source = UpstreamSource.watched(
        reactor, discovery, new HostList(0, true, List.of()), terms, GRACE_NANOS, loop.hashCode());
    source.addObserver(this);
    source.watch(this, true);
  }

  @Override
  public void listChanged(HostList list) {
    index = list.index();
    toldAt = System.nanoTime();
  }

  /** The version of the list that is in force. */
  long index() {
    return index;
  }

  /** When it came into force, by System.nanoTime. */
  long toldAt() {
    return toldAt;
  }

  /** Watches that failed. */
  long failures() {
    return source.failureCount();
  }

  void close() {
    source.removeObserver(this);
  }
}
