package pumicekeel.call;

import io.netty.buffer.ByteBuf;

/** Where the pieces of a body go that is passed on while it comes, an answer's or a request's. Only on the loop. */
public interface BodySink {

  /** One more piece, which the sink owns from now on. */
  void onChunk(ByteBuf bytes);

  /** The body has come whole. */
  void onComplete();

  /** It will not come whole, and whoever gets it has to be able to tell. */
  void onTruncated();
}
