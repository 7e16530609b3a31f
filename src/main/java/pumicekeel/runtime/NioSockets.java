package pumicekeel.runtime;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** TCP sockets of the system. */
public final class NioSockets implements Sockets {

  @Override
  public ServerChannel listening() {
    return new NioServerSocketChannel();
  }

  @Override
  public Channel connecting() {
    return new Connecting();
  }

  @Override
  public boolean quiet(Channel channel) {
    return ((Connecting) channel).quiet();
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
