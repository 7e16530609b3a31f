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
import pumicekeel.runtime.FatalErrors;

/** Handles one connection: reads a line, answers it and closes. A line that is too long, or that does not end in time, is answered NO. */
final class AdminHandler extends SimpleChannelInboundHandler<ByteBuf> {

  /** Calls are short words; a longer line is not a call. */
  static final int MAX_LINE_BYTES = 256;
  /** Time limit for a complete line. */
  private static final long LINE_TIMEOUT_MILLIS = 5_000;

  private final UnaryOperator<String> calls;
  private final StringBuilder line = new StringBuilder();
  private ScheduledFuture<?> timeoutTask;
  private boolean answered;

  AdminHandler(UnaryOperator<String> calls) {
    this.calls = calls;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    timeoutTask = ctx.executor()
        .schedule(
            () -> answer(ctx, "NO the call took too long"),
            LINE_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
    int end = bytes.bytesBefore((byte) '\n');
    int length = end < 0 ? bytes.readableBytes() : end;
    if (answered) {
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

  /** Handles the end of the caller's input: a call without an end of line is incomplete and has no effect. */
  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      answer(ctx, "NO the call has no end of line");
    }
  }

  private void answer(ChannelHandlerContext ctx, String text) {
    if (answered) {
      return;
    }
    answered = true;
    timeoutTask.cancel(false);
    ctx.writeAndFlush(Unpooled.copiedBuffer(text + "\n", StandardCharsets.US_ASCII))
        .addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (timeoutTask != null) {
      timeoutTask.cancel(false);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    FatalErrors.rethrowOn(ctx.executor(), cause);
    ctx.close();
  }
}
