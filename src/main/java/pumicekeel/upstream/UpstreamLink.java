package pumicekeel.upstream;

import java.net.InetSocketAddress;

/** All connections to one upstream. A successor at the same address gets a link of its own. */
public interface UpstreamLink {

  InetSocketAddress address();

  /** Creates an attempt that has not started yet. */
  UpstreamAttempt attempt(
      int number, long upstream, long decidedAt, UpstreamAttempt.Observer observer);

  /** Closes the link, since the upstream is removed or has moved: idle connections at once, the others when their attempts have ended. */
  void close();
}
