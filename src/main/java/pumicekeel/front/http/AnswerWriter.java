package pumicekeel.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.math.BigDecimal;
import pumicekeel.call.AnswerStart;

/** Puts answers into HTTP's form and on their way (RFC 9112); what they mean for the connection is its handler's matter. */
final class AnswerWriter {

  private final ChannelHandlerContext ctx;

  AnswerWriter(ChannelHandlerContext ctx) {
    this.ctx = ctx;
  }

  /** The client may send the body that it asked about. */
  void goOn() {
    ctx.writeAndFlush(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
  }

  /** A whole answer; {@code last}: the connection ends with it. */
  ChannelFuture whole(
      int status, byte[] content, String contentType, long retryAfterNanos, boolean last) {
    FullHttpResponse response = new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    if (contentType != null) {
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    }
    if (retryAfterNanos > 0) {
      response
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              BigDecimal.valueOf(retryAfterNanos / 1_000_000, 3).toPlainString());
    }
    close(response, last);
    return ctx.writeAndFlush(response);
  }

  /** The head of an answer whose body follows in pieces. */
  void begin(AnswerStart start, boolean last) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    if (start.length() < 0) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, start.length());
    }
    if (start.contentType() != null) {
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, start.contentType());
    }
    close(response, last);
    ctx.write(response);
  }

  private static void close(HttpResponse response, boolean last) {
    if (last) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** One more piece; the channel tells by its writability when its source has to wait. */
  void piece(ByteBuf bytes) {
    ctx.writeAndFlush(new DefaultHttpContent(bytes));
  }

  ChannelFuture end() {
    return ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }
}
