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

  /**
   * Ends the passed-on answer whose upstream has sent nothing for longest since its client's time was up, at this address or, if that is
   * null, at any; returns false if none has been silent for long.
   */
  default boolean endLongestSilent(InetSocketAddress address) {
    return false;
  }
}
