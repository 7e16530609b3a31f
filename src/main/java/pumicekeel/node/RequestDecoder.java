package pumicekeel.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;

/** Reads requests strictly, and shows the raw bytes to the connection's handler first. */
final class RequestDecoder extends HttpRequestDecoder {

  private final RawReader reader;

  RequestDecoder(RawReader reader) {
    super(new HttpDecoderConfig().setStrictLineParsing(true));
    this.reader = reader;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (message instanceof ByteBuf bytes && !reader.accepts(bytes)) {
      ReferenceCountUtil.release(message);
      return;
    }
    super.channelRead(ctx, message);
  }
}
