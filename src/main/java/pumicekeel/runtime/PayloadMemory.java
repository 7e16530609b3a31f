package pumicekeel.runtime;

/**
 * The heap memory for data that peers make this process keep: bodies that are received or wait for their request's
 * end, and answers until they are written. One instance for each process, however many listeners and pools it has.
 * Beyond the limit nothing more is taken on, so that no peer can fill the heap. Event loop only; no I/O.
 */
public final class PayloadMemory {

  /** The part of the heap for payloads; the rest is for connections, tables and the garbage of the loop's turns. */
  private static final int HEAP_DIVISOR = 4;
  /** Only small payloads may use the last part: a few peers with large ones must not keep out all others. */
  private static final int SMALL_PAYLOADS_DIVISOR = 4;
  /** The size of a small payload. */
  private static final int SMALL_PAYLOAD_BYTES = 4 << 10;

  private final long totalBytes;
  private final long reservedForSmallBytes;
  private long usedBytes;

  /** Creates a memory of this size. */
  public PayloadMemory(long totalBytes) {
    this.totalBytes = totalBytes;
    reservedForSmallBytes = totalBytes / SMALL_PAYLOADS_DIVISOR;
  }

  /** Returns a memory that is a fixed part of this process's heap. */
  public static PayloadMemory ofHeap() {
    return new PayloadMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /** Returns whether no large payload would be taken on now. */
  public boolean isShort() {
    return usedBytes + SMALL_PAYLOAD_BYTES > totalBytes - reservedForSmallBytes;
  }

  /** Returns the bytes in use. */
  public long usedBytes() {
    return usedBytes;
  }

  /** Creates an account, to which one holder's bytes are charged. */
  public Account newAccount() {
    return new Account();
  }

  /** The bytes that one holder, such as a connection, keeps. */
  public final class Account {
    private long heldBytes;

    private Account() {}

    /** Charges further bytes; returns false and charges nothing if the memory is exhausted. */
    public boolean tryAcquire(long bytes) {
      boolean small = heldBytes + bytes <= SMALL_PAYLOAD_BYTES;
      long available = totalBytes - (small ? 0 : reservedForSmallBytes);
      if (usedBytes + bytes > available) {
        return false;
      }
      acquire(bytes);
      return true;
    }

    /** Charges bytes that are kept already, whether or not there is memory. */
    public void acquire(long bytes) {
      heldBytes += bytes;
      usedBytes += bytes;
    }

    /** Releases bytes that were charged. */
    public void release(long bytes) {
      if (bytes > heldBytes) {
        throw new IllegalStateException("cannot release " + bytes + ", held: " + heldBytes);
      }
      heldBytes -= bytes;
      usedBytes -= bytes;
    }

    /** Releases everything that was charged. */
    public void releaseAll() {
      release(heldBytes);
    }

    /** Returns the bytes that are charged. */
    public long heldBytes() {
      return heldBytes;
    }
  }
}
