package pumicekeel.upstream;

import java.net.InetSocketAddress;

/** All connections to one upstream. It belongs to the upstream and not to its address. */
public interface UpstreamLink {

  InetSocketAddress address();

  /** An attempt that has not started yet. */
  UpstreamAttempt attempt(
      int number, long upstream, long decidedAt, UpstreamAttempt.Observer ending);

  /** The upstream is gone or has moved: what is idle goes now, the rest when its attempts have ended. */
  void close();
}
