package pumicekeel.delivery.control;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.timeout.ReadTimeoutException;
import pumicekeel.runtime.Log;

/** A connection to a control machine: it carries one call and is then closed. */
final class ControlHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private final ControlServer server;
  private boolean requestReceived;

  ControlHandler(ControlServer server) {
    this.server = server;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    if (requestReceived) {
      return;
    }
    requestReceived = true;
    if (request.decoderResult().isFailure()) {
      server.reject(ctx.channel(), HttpResponseStatus.BAD_REQUEST, "a malformed request");
      return;
    }
    try {
      server.handle(ctx.channel(), request);
    } catch (IllegalArgumentException e) {
      server.reject(ctx.channel(), HttpResponseStatus.BAD_REQUEST, String.valueOf(e.getMessage()));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof ReadTimeoutException)) {
      Log.rateLimited("control machine: " + cause);
    }
    ctx.close();
  }
}
