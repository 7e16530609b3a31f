package pumicekeel.upstream;

import java.net.InetSocketAddress;

/** The connections of one pool of upstreams, in one protocol. */
public interface UpstreamLinks {

  /** The connections of an upstream that is new or has a new address. */
  UpstreamLink of(InetSocketAddress address);

  /** New figures, for what is opened from now on; a cap of 0 connections to one address is none. */
  void resize(long guaranteed, long most, int connectionsPerUpstream);

  /** Other times: the connect's for what is opened from now on, and how long an upstream keeps what is idle. */
  void setTimeouts(long connectTimeoutNanos, long idleNanos);

  /** Ends the pool: closes what is idle and looks for no more. */
  void close();
}
