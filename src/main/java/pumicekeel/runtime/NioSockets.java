package pumicekeel.runtime;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** TCP sockets of the operating system. */
public final class NioSockets implements Sockets {

  /** Small, since usually nothing is unread, and this is called before each attempt. */
  private static final int DROP_BYTES = 1 << 10;

  @Override
  public ServerChannel newListeningChannel() {
    return new ListeningChannel();
  }

  @Override
  public Channel newConnectingChannel() {
    return new Connecting();
  }

  @Override
  public boolean isQuiet(Channel channel) {
    return ((Connecting) channel).quiet();
  }

  @Override
  public int discardUnread(Channel channel, int maxBytes) {
    return channel instanceof Accepted accepted ? accepted.drop(maxBytes) : 0;
  }

  @Override
  public void drainBacklogAndClose(Channel listener, int maxConnections) {
    ((ListeningChannel) listener).drainBacklogAndClose(maxConnections);
  }

  @Override
  public long sinceAcceptNanos(Channel channel) {
    return channel instanceof Accepted accepted ? System.nanoTime() - accepted.acceptedAt : 0;
  }

  @Override
  public Pending pending(Channel channel) {
    return channel instanceof TolerantSocketChannel tolerant ? tolerant.pending() : Pending.UNKNOWN;
  }

  @Override
  public long readDelayNanos(Channel channel) {
    return channel instanceof TolerantSocketChannel tolerant ? tolerant.readDelayNanos() : 0;
  }

  @Override
  public Backlog backlog(Channel listener) {
    return ((ListeningChannel) listener).backlog();
  }

  /** Creates a listener on a socket that other processes hold too. */
  public static ServerChannel adopted(ServerSocketChannel socket) {
    return new ListeningChannel(socket);
  }

  /** An accepted connection. */
  static final class Accepted extends TolerantSocketChannel {
    private final long acceptedAt;

    /** Creates the channel of a socket accepted at this time of System.nanoTime. */
    Accepted(Channel parent, SocketChannel socket, long acceptedAt) {
      super(parent, socket);
      this.acceptedAt = acceptedAt;
    }

    private int drop(int maxBytes) {
      ByteBuffer bytes = ByteBuffer.allocate(DROP_BYTES);
      int dropped = 0;
      try {
        int read = isActive() ? readNow(bytes) : CLOSED_BY_PEER;
        while (read > 0 && dropped + read < maxBytes) {
          dropped += read;
          bytes.clear();
          read = readNow(bytes);
        }
        return read < 0 ? CLOSED_BY_PEER : dropped + read;
      } catch (InconclusiveReadException e) {
        return maxBytes;
      } catch (IOException e) {
        return CLOSED_BY_PEER;
      }
    }
  }

  /** An outgoing connection, whose socket can be checked for bytes that the event loop has not read yet. */
  private static final class Connecting extends TolerantSocketChannel {

    private boolean quiet() {
      try {
        return isActive() && readNow(ByteBuffer.allocate(1)) == 0;
      } catch (IOException e) {
        return false;
      }
    }
  }
}
