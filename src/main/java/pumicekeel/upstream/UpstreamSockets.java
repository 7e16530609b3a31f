package pumicekeel.upstream;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import pumicekeel.pool.SharedCapacity;

/**
 * The sockets to upstreams that a process may hold, shared by the pools' connections. An idle connection is closed in favour of a new
 * one: first one of the pool's own, then one of a pool that borrows; if none is idle, one whose answer has been silent for long behind its
 * client's time. A physical upstream is identified by its address here, whatever the
 * pools call it, and connections to it are counted over all of them.
 */
public final class UpstreamSockets {

  private final SharedCapacity shares;
  private final Set<SocketUser> pools = new LinkedHashSet<>();
  private final Map<InetSocketAddress, Integer> openByAddress = new HashMap<>();

  public UpstreamSockets(int limit) {
    shares = new SharedCapacity(limit);
  }

  public SharedCapacity shares() {
    return shares;
  }

  public void add(SocketUser pool) {
    pools.add(pool);
  }

  public void remove(SocketUser pool) {
    pools.remove(pool);
  }

  /** Returns the number of connections to an address, over all pools. */
  public int openConnections(InetSocketAddress address) {
    return openByAddress.getOrDefault(address, 0);
  }

  /** Acquires a socket for a connection; returns false if there is no capacity and no idle connection can be closed for it. */
  public boolean acquire(SocketUser pool, InetSocketAddress address) {
    if (pool.maxPerAddress() > 0
        && openConnections(address) >= pool.maxPerAddress()
        && pools.stream().noneMatch(p -> p.closeIdleAt(address))
        && pools.stream().noneMatch(p -> p.endLongestSilent(address))) {
      return false;
    }
    if (!pool.share().tryAcquire(1)) {
      if (!releaseOne(pool, SocketUser::closeLongestIdle)
          && !releaseOne(pool, p -> p.endLongestSilent(null))) {
        return false;
      }
      // The share of the closed connection may be released only after this.
      pool.share().acquire(1);
    }
    openByAddress.merge(address, 1, Integer::sum);
    return true;
  }

  /** Has this pool release a socket, or else one that borrows. */
  private boolean releaseOne(SocketUser pool, Predicate<SocketUser> releases) {
    return releases.test(pool)
        || pools.stream().anyMatch(p -> p != pool && p.share().isBorrowing() && releases.test(p));
  }

  public void release(SocketUser pool, InetSocketAddress address) {
    pool.share().release(1);
    openByAddress.computeIfPresent(address, (k, n) -> n == 1 ? null : n - 1);
  }
}
