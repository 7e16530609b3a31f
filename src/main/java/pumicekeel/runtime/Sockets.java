package pumicekeel.runtime;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;

/**
 * Creates the channels of the serving code; provided from outside, so that the same code runs on a simulated network.
 */
public interface Sockets {

  /** Creates a listening channel, not bound yet. */
  ServerChannel newListeningChannel();

  /** Creates an outgoing channel, not connected yet. */
  Channel newConnectingChannel();

  /**
   * Accepts at most {@code maxConnections} connections in the backlog of a channel of {@link #newListeningChannel} and closes the
   * channel, in one step, so that no connection arrives in between.
   */
  void drainBacklogAndClose(Channel listener, int maxConnections);

  /**
   * Returns whether neither bytes nor an end of stream wait unread on a channel of {@link #newConnectingChannel}.
   * Guards a reuse against what the loop has not read yet: a duplicate of the last answer would be read as the answer
   * to the next request. May consume a byte, so a channel that is not quiet has to be closed.
   */
  boolean isQuiet(Channel channel);

  /**
   * Discards up to {@code maxBytes} unread bytes of a connection accepted by {@link #newListeningChannel}; returns their
   * number, or {@link #CLOSED_BY_PEER} if the peer has closed the connection, behind these bytes or at once. Detects
   * clients that have disconnected: the loop does not read further while a client sends unusable bytes, or while the
   * loop is late.
   */
  int discardUnread(Channel channel, int maxBytes);

  /** Whether bytes or an end of stream wait unread. */
  enum Pending {
    NONE,
    SOME,
    UNKNOWN
  }

  /**
   * Returns whether bytes or an end of stream wait unread on a connection accepted by {@link #newListeningChannel}.
   */
  default Pending pending(Channel accepted) {
    return Pending.UNKNOWN;
  }

  /** Returns how long reading had failed before the last successful read, in nanoseconds; 0 for no failure. */
  default long readDelayNanos(Channel accepted) {
    return 0;
  }

  /** Whether connections wait to be accepted. */
  enum Backlog {
    EMPTY,
    WAITING,
    UNKNOWN
  }

  /** Returns whether connections wait to be accepted by a channel of {@link #newListeningChannel}. */
  default Backlog backlog(Channel listener) {
    return Backlog.UNKNOWN;
  }

  /** Returns the time since a connection of {@link #newListeningChannel} was accepted, in nanoseconds. */
  default long sinceAcceptNanos(Channel accepted) {
    return 0;
  }

  /** The peer has closed the connection. */
  int CLOSED_BY_PEER = -1;
}
