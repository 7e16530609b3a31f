package pumicekeel.rig.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ServerChannel;
import java.util.concurrent.atomic.LongAdder;
import pumicekeel.runtime.NioSockets;
import pumicekeel.runtime.Sockets;

/** Sockets of the system whose connections count what they read. */
final class CountingSockets implements Sockets {

  private final Sockets system = new NioSockets();
  private final LongAdder readBytes = new LongAdder();
  private final LongAdder connections = new LongAdder();

  /** Bytes read so far by all connections that were opened here. */
  long readBytes() {
    return readBytes.sum();
  }

  /** Connections opened so far. */
  long connections() {
    return connections.sum();
  }

  @Override
  public Channel newConnectingChannel() {
    connections.increment();
    Channel channel = system.newConnectingChannel();
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
    return system.newListeningChannel();
  }

  @Override
  public void drainBacklogAndClose(Channel listener, int most) {
    system.drainBacklogAndClose(listener, most);
  }

  @Override
  public boolean isQuiet(Channel channel) {
    return system.isQuiet(channel);
  }

  @Override
  public int discardUnread(Channel channel, int most) {
    return system.discardUnread(channel, most);
  }
}
