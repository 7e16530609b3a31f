package pumicekeel.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.Predicate;
import pumicekeel.runtime.LimitedHeaders;

/**
 * Decodes answers as strictly as requests, and filters the raw bytes: data that arrives when no answer is outstanding is never decoded.
 * Guards against Netty's silent repair of malformed answers: a line "no colon here" would become a header named "no".
 */
public final class AnswerDecoder extends HttpResponseDecoder {

  private Predicate<ByteBuf> rawFilter;
  /**
   * Set from an answer's status line until its headers are read; the status line itself may end in a space if it has no reason phrase.
   */
  private boolean readingHeaders;

  public AnswerDecoder() {
    super(new HttpDecoderConfig()
        .setStrictLineParsing(true)
        .setHeadersFactory(LimitedHeaders.FACTORY)
        .setTrailersFactory(LimitedHeaders.FACTORY));
  }

  public void setRawFilter(Predicate<ByteBuf> next) {
    rawFilter = next;
  }

  /** Returns whether bytes remain that belong to no message yet. */
  public boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    readingHeaders = true;
    return super.createMessage(initialLine);
  }

  /**
   * Called once the headers are read: from here on the message is treated as an answer, whose body may last until the connection ends.
   */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    readingHeaders = false;
    return super.isContentAlwaysEmpty(message);
  }

  /**
   * Netty reads headers as strictly as a request's if this is true, and then also requires a length of a body, which an answer may lack.
   * Therefore true only while headers are read.
   */
  @Override
  protected boolean isDecodingRequest() {
    return readingHeaders;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    super.decode(ctx, buffer, out);
    readingHeaders &= out.isEmpty() || !(out.get(out.size() - 1) instanceof LastHttpContent);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (message instanceof ByteBuf bytes && !rawFilter.test(bytes)) {
      ReferenceCountUtil.release(message);
      return;
    }
    super.channelRead(ctx, message);
  }
}
