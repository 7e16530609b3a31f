package pumicekeel.upstream;

import java.net.InetSocketAddress;
import pumicekeel.pool.SharedCapacity;

/** One of those that share the sockets to upstreams. */
public interface SocketUser {

  SharedCapacity.Owner share();

  /** The most connections to one address at which this one still opens another; 0 for no cap. */
  int maxPerAddress();

  /** Closes the connection to this address that has been idle longest; false where none is idle. */
  boolean closeIdleAt(InetSocketAddress address);

  /** Closes the connection that has been idle longest; false where none is idle. */
  boolean closeLongestIdle();
}
