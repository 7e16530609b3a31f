package pumicekeel.upstream;

import java.net.InetSocketAddress;
import pumicekeel.pool.SharedCapacity;

/** The connections of one pool, as a user of the sockets that all pools share. */
public interface SocketUser {

  SharedCapacity.Owner share();

  /** Returns the number of connections to one address from which on this user opens no further one; 0 for no limit. */
  int maxPerAddress();

  /** Closes the connection to this address that has been idle longest; returns false if none is idle. */
  boolean closeIdleAt(InetSocketAddress address);

  /** Closes the connection that has been idle longest; returns false if none is idle. */
  boolean closeLongestIdle();
}
