package pumicekeel.rig.soak;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;

/** Delays each read of a connection, by a pause that depends on how many bytes the last one brought. The first handler of its pipeline. */
final class PacedReads extends ChannelDuplexHandler {

  private final IntUnaryOperator pauseMillis;
  private int bytes;
  private boolean pausing;

  /** Creates a handler with a function from the bytes of the last read to the pause in milliseconds; 0 for none. */
  PacedReads(IntUnaryOperator pauseMillis) {
    this.pauseMillis = pauseMillis;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    bytes += ((ByteBuf) message).readableBytes();
    ctx.fireChannelRead(message);
  }

  @Override
  public void read(ChannelHandlerContext ctx) {
    if (pausing) {
      return;
    }
    int pause = pauseMillis.applyAsInt(bytes);
    bytes = 0;
    if (pause == 0) {
      ctx.read();
      return;
    }
    pausing = true;
    ctx.executor()
        .schedule(
            () -> {
              pausing = false;
              ctx.read();
            },
            pause,
            TimeUnit.MILLISECONDS);
  }
}
