package pumicekeel.runtime;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;

/** The kinds of channels that the serving code opens; from outside, so that the same code runs on a simulated network. */
public interface Sockets {

  /** One that listens, not bound yet. */
  ServerChannel newListeningChannel();

  /** One that connects, not connected yet. */
  Channel newConnectingChannel();

  /**
   * Lets in those that stand in line for one that {@link #listening} made, so many at most, and closes it: in one go, so that none
   * comes between.
   */
  void drainBacklogAndClose(Channel listener, int most);

  /**
   * Whether neither bytes nor an end wait unread on one that {@link #connecting} made. Guards a reuse against what the loop
   * has still to read: a second copy of the last answer would be taken for the answer to the next request. May take a
   * byte, so a channel that is not quiet is to be closed.
   */
  boolean isQuiet(Channel channel);

  /**
   * Takes what waits unread on one that {@link #listening} accepted, so many bytes at most, and drops it: how many that
   * were, or {@link #LEFT} where the peer has ended the connection, behind those or at once. Guards against a client that
   * left: the loop reads it no further while it has bytes of no use, or is late.
   */
  int discardUnread(Channel channel, int most);

  /** What is known of bytes, or an end, that wait unread. */
  enum Pending {
    NONE,
    SOME,
    UNKNOWN
  }

  /** Whether bytes or an end wait unread on one that {@link #listening} accepted. */
  default Pending pending(Channel accepted) {
    return Pending.UNKNOWN;
  }

  /** How long reading what was read last had failed before, in nanoseconds; 0 where it worked at once. */
  default long readDelayNanos(Channel accepted) {
    return 0;
  }

  /** What is known of the connections that wait to be accepted. */
  enum Backlog {
    EMPTY,
    WAITING,
    UNKNOWN
  }

  /** Whether connections wait to be accepted by one that {@link #listening} made. */
  default Backlog backlog(Channel listener) {
    return Backlog.UNKNOWN;
  }

  /** How long one that {@link #listening} accepted has waited between its accept and its first use, in nanoseconds. */
  default long sinceAcceptNanos(Channel accepted) {
    return 0;
  }

  /** The peer has ended the connection. */
  int CLOSED_BY_PEER = -1;
}
