package pumicekeel.call;

import io.netty.buffer.ByteBuf;

/** Receives the chunks of a streamed body, of an answer or a request. Event loop only. */
public interface BodySink {

  /** Receives a chunk, which the sink owns from now on. */
  void onChunk(ByteBuf bytes);

  /** Called when the body is complete. */
  void onComplete();

  /** Called when the body ends early; the recipient has to be able to detect it. */
  void onTruncated();
}
