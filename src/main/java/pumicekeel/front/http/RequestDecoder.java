package pumicekeel.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.function.Predicate;
import pumicekeel.runtime.LimitedHeaders;

/** Decodes requests strictly, and passes the raw bytes to the connection's handler first. */
public final class RequestDecoder extends HttpRequestDecoder {

  private final Predicate<ByteBuf> filter;

  /** {@code filter} returns whether raw bytes are expected on the connection; others are dropped undecoded. */
  public RequestDecoder(Predicate<ByteBuf> filter) {
    super(new HttpDecoderConfig()
        .setStrictLineParsing(true)
        .setHeadersFactory(LimitedHeaders.FACTORY)
        .setTrailersFactory(LimitedHeaders.FACTORY));
    this.filter = filter;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (message instanceof ByteBuf bytes && !filter.test(bytes)) {
      ReferenceCountUtil.release(message);
      return;
    }
    super.channelRead(ctx, message);
  }
}
