package pumicekeel.upstream;

import java.net.InetSocketAddress;
import pumicekeel.pool.SharedCapacity;

/** One of the users that share the sockets to upstreams. */
public interface SocketUser {

  SharedCapacity.Owner share();

  /** Returns the number of connections to one address from which on this user opens no further one; 0 for no limit. */
  int maxPerAddress();

  /** Closes the connection to this address that has been idle longest; returns false if none is idle. */
  boolean closeIdleAt(InetSocketAddress address);

  /** Closes the connection that has been idle longest; returns false if none is idle. */
  boolean closeLongestIdle();
}
