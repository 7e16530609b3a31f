package pumicekeel.upstream;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import pumicekeel.pool.SharedCapacity;

/**
 * The sockets to upstreams that a process may hold, shared by the pools' connections. An idle connection gives way to a
 * new one: first one of the pool's own, then one of a pool that borrows. One physical upstream is one address here,
 * whatever the pools call it, and connections to it are counted over all of them.
 */
public final class UpstreamSockets {

  private final SharedCapacity shares;
  private final Set<SocketUser> pools = new LinkedHashSet<>();
  private final Map<InetSocketAddress, Integer> open = new HashMap<>();

  public UpstreamSockets(int most) {
    shares = new SharedCapacity(most);
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

  /** Connections to an address, of all pools. */
  public int openConnections(InetSocketAddress address) {
    return open.getOrDefault(address, 0);
  }

  /** Takes a socket for a connection; false where there is no room for it and nothing idle gives way. */
  public boolean acquire(SocketUser pool, InetSocketAddress address) {
    if (pool.maxPerAddress() > 0
        && openConnections(address) >= pool.maxPerAddress()
        && pools.stream().noneMatch(p -> p.closeIdleAt(address))) {
      return false;
    }
    if (!pool.share().tryAcquire(1)) {
      if (!pool.closeLongestIdle()
          && pools.stream()
              .noneMatch(p -> p != pool && p.share().isBorrowing() && p.closeLongestIdle())) {
        return false;
      }
      // The one that gave way may be given back only after this.
      pool.share().acquire(1);
    }
    open.merge(address, 1, Integer::sum);
    return true;
  }

  public void release(SocketUser pool, InetSocketAddress address) {
    pool.share().release(1);
    open.computeIfPresent(address, (k, n) -> n == 1 ? null : n - 1);
  }
}
