package pumicekeel.upstream;

import java.net.InetSocketAddress;

/** The connections of one pool of upstreams, in one protocol. */
public interface UpstreamLinks {

  /** Creates the connections of an upstream that is new or has a new address. */
  UpstreamLink of(InetSocketAddress address);

  /** Changes the limits for connections that are opened from now on; 0 connections per upstream means no limit. */
  void resize(long guaranteed, long most, int connectionsPerUpstream);

  /** Changes the connect time-out for connections that are opened from now on, and how long an upstream keeps idle ones. */
  void setTimeouts(long connectTimeoutNanos, long idleNanos);

  /** Closes the pool: closes idle connections and stops sweeping. */
  void close();
}
