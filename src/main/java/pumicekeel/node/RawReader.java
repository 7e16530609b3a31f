package pumicekeel.node;

import io.netty.buffer.ByteBuf;

/** Told of a connection's raw bytes before they are decoded. */
interface RawReader {

  /** Whether these bytes may be part of what is due on the connection; otherwise they are dropped. */
  boolean accepts(ByteBuf bytes);
}
