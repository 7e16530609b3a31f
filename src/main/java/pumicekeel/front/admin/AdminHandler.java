package pumicekeel.front.admin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/** One caller: reads its line, answers and closes. A line that never ends, or ends too late, is answered NO. */
final class AdminHandler extends SimpleChannelInboundHandler<ByteBuf> {

  /** Calls are words; more is none. */
  static final int MAX_LINE_BYTES = 256;
  /** A caller that has not said all by then gets its NO. */
  private static final long LINE_MILLIS = 5_000;

  private final UnaryOperator<String> calls;
  private final StringBuilder line = new StringBuilder();
  private ScheduledFuture<?> late;
  private boolean over;

  AdminHandler(UnaryOperator<String> calls) {
    this.calls = calls;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    late = ctx.executor()
        .schedule(
            () -> answer(ctx, "NO the call took too long"), LINE_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
    int end = bytes.bytesBefore((byte) '\n');
    int length = end < 0 ? bytes.readableBytes() : end;
    if (over) {
      return;
    }
    if (line.length() + length > MAX_LINE_BYTES) {
      answer(ctx, "NO the call is too long: expected at most " + MAX_LINE_BYTES + " bytes");
      return;
    }
    line.append(bytes.toString(bytes.readerIndex(), length, StandardCharsets.US_ASCII));
    if (end >= 0) {
      answer(ctx, calls.apply(line.toString()));
    }
  }

  /** The caller sends no more: what has come without a line's end is half a call, and half a call does nothing. */
  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      answer(ctx, "NO the call has no end of line");
    }
  }

  private void answer(ChannelHandlerContext ctx, String text) {
    if (over) {
      return;
    }
    over = true;
    late.cancel(false);
    ctx.writeAndFlush(Unpooled.copiedBuffer(text + "\n", StandardCharsets.US_ASCII))
        .addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (late != null) {
      late.cancel(false);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
