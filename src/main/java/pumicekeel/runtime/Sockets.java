package pumicekeel.runtime;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;

/** The kinds of channels that the serving code opens; from outside, so that the same code runs on a simulated network. */
public interface Sockets {

  /** One that listens, not bound yet. */
  ServerChannel listening();

  /** One that connects, not connected yet. */
  Channel connecting();

  /**
   * Whether neither bytes nor an end wait unread on one that {@link #connecting} made. Guards a reuse against what the loop
   * has still to read: a second copy of the last answer would be taken for the answer to the next request. May take a
   * byte, so a channel that is not quiet is to be closed.
   */
  boolean quiet(Channel channel);
}
