package pumicekeel.runtime;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * A body that is received in pieces and kept as a whole. Its array is charged to the process's {@link PayloadMemory}
 * with its full length. Event loop only.
 */
public final class PayloadBuffer {

  private static final int MIN_CAPACITY = 256;
  private static final byte[] EMPTY = new byte[0];

  private final PayloadMemory.Account account;
  private byte[] bytes = EMPTY;
  private int size;

  /** Creates an empty buffer, which holds no memory yet. */
  public PayloadBuffer(PayloadMemory memory) {
    account = memory.newAccount();
  }

  /** Appends all readable bytes of a piece; returns false and consumes nothing if the memory is exhausted. */
  public boolean append(ByteBuf piece) {
    int more = piece.readableBytes();
    if (!ensureCapacity(size + more)) {
      return false;
    }
    piece.readBytes(bytes, size, more);
    size += more;
    return true;
  }

  private boolean ensureCapacity(int needed) {
    if (needed <= bytes.length) {
      return true;
    }
    int capacity = Math.max(Math.max(needed, MIN_CAPACITY), 2 * bytes.length);
    if (!account.tryAcquire(capacity - bytes.length)) {
      return false;
    }
    bytes = Arrays.copyOf(bytes, capacity);
    return true;
  }

  /** Returns the number of bytes received. */
  public int size() {
    return size;
  }

  /** Returns the bytes received. */
  public byte[] toBytes() {
    return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
  }

  /**
   * Gives up the bytes to the caller, which keeps them in memory; they stay charged until {@link #clear}.
   *
   * @return the bytes received
   */
  public byte[] detach() {
    byte[] whole = toBytes();
    account.releaseAll();
    account.acquire(whole.length);
    bytes = EMPTY;
    size = 0;
    return whole;
  }

  /** Drops the bytes and releases their memory, also that of detached ones. */
  public void clear() {
    bytes = EMPTY;
    size = 0;
    account.releaseAll();
  }
}
