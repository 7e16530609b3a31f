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

/** Encodes and writes answers as HTTP (RFC 9112); the handler decides what they mean for the connection. */
final class AnswerWriter {

  private final ChannelHandlerContext ctx;

  AnswerWriter(ChannelHandlerContext ctx) {
    this.ctx = ctx;
  }

  /** Sends 100 Continue. */
  void sendContinue() {
    ctx.writeAndFlush(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
  }

  /** Writes a complete answer; {@code last}: the connection ends with it. */
  ChannelFuture writeWhole(
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
    markLast(response, last);
    return ctx.writeAndFlush(response);
  }

  /** Writes the head of a streamed answer. */
  void beginStream(AnswerStart start, boolean last) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    if (start.length() < 0) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, start.length());
    }
    if (start.contentType() != null) {
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, start.contentType());
    }
    markLast(response, last);
    ctx.write(response);
  }

  private static void markLast(HttpResponse response, boolean last) {
    if (last) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Writes a chunk; the channel's writability tells when the source has to pause. */
  void writeChunk(ByteBuf bytes) {
    ctx.writeAndFlush(new DefaultHttpContent(bytes));
  }

  ChannelFuture endStream() {
    return ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }
}
