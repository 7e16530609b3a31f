package pumicekeel.rig.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ServerChannel;
import java.util.concurrent.atomic.LongAdder;
import pumicekeel.runtime.NioSockets;
import pumicekeel.runtime.Sockets;

/** Sockets of the operating system that count outgoing connections and the bytes read from them. */
final class CountingSockets implements Sockets {

  private final Sockets delegate = new NioSockets();
  private final LongAdder readBytes = new LongAdder();
  private final LongAdder connections = new LongAdder();

  /** Returns the number of bytes read so far from all outgoing connections. */
  long readBytes() {
    return readBytes.sum();
  }

  /** Returns the number of outgoing connections opened so far. */
  long connections() {
    return connections.sum();
  }

  @Override
  public Channel newConnectingChannel() {
    connections.increment();
    Channel channel = delegate.newConnectingChannel();
    channel.pipeline().addFirst(new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
          readBytes.add(bytes.readableBytes());
        }
        context.fireChannelRead(message);
      }
    });
    return channel;
  }

  @Override
  public ServerChannel newListeningChannel() {
    return delegate.newListeningChannel();
  }

  @Override
  public void drainBacklogAndClose(Channel listener, int most) {
    delegate.drainBacklogAndClose(listener, most);
  }

  @Override
  public boolean isQuiet(Channel channel) {
    return delegate.isQuiet(channel);
  }

  @Override
  public int discardUnread(Channel channel, int most) {
    return delegate.discardUnread(channel, most);
  }
}
