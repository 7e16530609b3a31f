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

/**
 * Reads answers as strictly as requests are read, and watches the raw bytes: what comes where no answer is due is never
 * decoded. Guards against what Netty repairs quietly in answers: a line "no colon here" would be a header named "no".
 */
public final class AnswerDecoder extends HttpResponseDecoder {

  private Predicate<ByteBuf> rawFilter;
  /** From an answer's first line to its end; the line itself may end in a blank where it gives no reason. */
  private boolean behindFirstLine;

  public AnswerDecoder() {
    super(new HttpDecoderConfig().setStrictLineParsing(true));
  }

  public void setRawFilter(Predicate<ByteBuf> next) {
    rawFilter = next;
  }

  /** Whether bytes are left over that belong to no message yet. */
  public boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    behindFirstLine = true;
    return super.createMessage(initialLine);
  }

  /** Asked once the headers are read: from here on it is an answer, whose body may last until the connection ends. */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    behindFirstLine = false;
    return super.isContentAlwaysEmpty(message);
  }

  /** Decides how strictly headers are read, and whether a body may go without a length: not a request's. */
  @Override
  protected boolean isDecodingRequest() {
    return behindFirstLine;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    super.decode(ctx, buffer, out);
    behindFirstLine &= out.isEmpty() || !(out.get(out.size() - 1) instanceof LastHttpContent);
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
