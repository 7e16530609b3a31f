package pumicekeel.runtime;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** TCP sockets of the system. */
public final class NioSockets implements Sockets {

  /** Usually there is nothing: little, since it is asked before each send. */
  private static final int DROP_BYTES = 1 << 10;

  @Override
  public ServerChannel listening() {
    return new Listening();
  }

  @Override
  public Channel connecting() {
    return new Connecting();
  }

  @Override
  public boolean quiet(Channel channel) {
    return ((Connecting) channel).quiet();
  }

  @Override
  public int drop(Channel channel, int most) {
    return channel instanceof Accepted accepted ? accepted.drop(most) : 0;
  }

  @Override
  public void closeBehindLine(Channel listener, int most) {
    ((Listening) listener).closeBehindLine(most);
  }

  /** One that listens on a socket which others hold too. */
  public static ServerChannel adopted(ServerSocketChannel socket) {
    return new Listening(socket);
  }

  private static final class Listening extends NioServerSocketChannel {
    private Listening() {}

    private Listening(ServerSocketChannel socket) {
      super(socket);
    }

    @Override
    protected int doReadMessages(List<Object> into) throws IOException {
      SocketChannel accepted = javaChannel().accept();
      if (accepted == null) {
        return 0;
      }
      into.add(new Accepted(this, accepted));
      return 1;
    }

    private void closeBehindLine(int most) {
      List<Object> line = new ArrayList<>();
      try {
        while (line.size() < most && doReadMessages(line) > 0) {
          // The next one.
        }
      } catch (IOException e) {
        Log.line("in line at the close: " + e);
      }
      line.forEach(pipeline()::fireChannelRead);
      pipeline().fireChannelReadComplete();
      close();
    }
  }

  private static final class Accepted extends NioSocketChannel {
    private Accepted(Channel parent, SocketChannel socket) {
      super(parent, socket);
    }

    private int drop(int most) {
      ByteBuffer bytes = ByteBuffer.allocate(DROP_BYTES);
      int dropped = 0;
      try {
        int read = isActive() ? javaChannel().read(bytes) : LEFT;
        while (read > 0 && dropped + read < most) {
          dropped += read;
          bytes.clear();
          read = javaChannel().read(bytes);
        }
        return read < 0 ? LEFT : dropped + read;
      } catch (IOException e) {
        return LEFT;
      }
    }
  }

  /** One whose socket can be asked what the event loop has not read yet. */
  private static final class Connecting extends NioSocketChannel {
    private boolean quiet() {
      try {
        return isActive() && javaChannel().read(ByteBuffer.allocate(1)) == 0;
      } catch (IOException e) {
        return false;
      }
    }
  }
}
