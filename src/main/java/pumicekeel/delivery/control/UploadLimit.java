package pumicekeel.delivery.control;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import pumicekeel.delivery.wire.ReplyFormat;

/** Stands before the aggregator: a body comes with POST only, and only a few come at once, since each may be large. */
final class UploadLimit extends ChannelInboundHandlerAdapter {

  /** There is one writer; a second one and a repeated call do no harm. */
  private static final int MAX_UPLOADS = 4;

  /** Uploads of one server that are under way; only on its loop. */
  static final class Count {
    private int open;
  }

  private final Count count;
  private boolean counted;
  private boolean rejected;

  UploadLimit(Count count) {
    this.count = count;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (message instanceof HttpRequest request && !rejected) {
      boolean hasBody =
          HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
      boolean tooLarge = HttpUtil.getContentLength(request, 0L) > ControlServer.MAX_BODY_BYTES;
      if (tooLarge || hasBody && !request.method().equals(HttpMethod.POST)) {
        reject(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      } else if (hasBody && count.open >= MAX_UPLOADS) {
        reject(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE);
      } else if (hasBody) {
        counted = true;
        count.open++;
      }
    }
    if (rejected) {
      ReferenceCountUtil.release(message);
    } else {
      super.channelRead(ctx, message);
    }
  }

  private void reject(ChannelHandlerContext ctx, HttpResponseStatus status) {
    rejected = true;
    ctx.writeAndFlush(ReplyFormat.response(status, new byte[0]))
        .addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) throws Exception {
    if (counted) {
      counted = false;
      count.open--;
    }
    super.channelInactive(ctx);
  }
}
