package pumicekeel.front.http;

import io.netty.handler.codec.http.HttpRequest;
import pumicekeel.runtime.LimitedHeaders;
import pumicekeel.runtime.PayloadBuffer;
import pumicekeel.runtime.PayloadMemory;

/** What one client connection's request makes the process keep, from its first byte to its answer. No I/O. */
final class RequestMemory {

  /** The objects of one header field on the heap, besides its characters. */
  private static final int FIELD_BYTES = 128;
  /** The shortest field: a character, a colon and the line's end. */
  private static final int MIN_FIELD_WIRE_BYTES = 4;
  /** A head's bytes are kept twice while it is incomplete: as they came and as text. */
  private static final int COPIES = 2;

  private final PayloadBuffer body;
  private final PayloadMemory.Account head;
  private long headBytes;

  RequestMemory(PayloadMemory memory) {
    body = new PayloadBuffer(memory);
    head = memory.newAccount();
  }

  /** Returns the buffer of the request's body. */
  PayloadBuffer body() {
    return body;
  }

  /** Counts bytes of a head that is not complete yet. */
  void headReceived(int bytes) {
    headBytes += bytes;
  }

  /**
   * Charges the head of a request that is incomplete at the end of a read.
   *
   * @param decoded the head, or null if it is incomplete, which is charged as the costliest of its length
   * @return false if there is no memory for it
   */
  boolean chargeIncomplete(HttpRequest decoded) {
    long fields = decoded == null
        ? Math.min(headBytes / MIN_FIELD_WIRE_BYTES, LimitedHeaders.MAX_FIELDS)
        : decoded.headers().size();
    long more = COPIES * headBytes + fields * FIELD_BYTES - head.heldBytes();
    return more <= 0 || head.tryAcquire(more);
  }

  /** Releases everything: the request is over. */
  void release() {
    headBytes = 0;
    head.releaseAll();
    body.clear();
  }
}
