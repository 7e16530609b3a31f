package pumicekeel.quota;

import java.nio.ByteBuffer;

/**
 * A message between members about one tenant's quota, {@link #BYTES} bytes long. Big-endian: magic 2, version 1, kind 1,
 * sender 2, its epoch 8, the borrower's epoch 8, the borrower's sequence number 4, tenant 8, requests per second 8.
 *
 * @param tenant the quota's id, a hash computed by {@link QuotaExchange}
 * @param perSecond the rate requested or lent; 0 lent is a refusal. A RETURN gives back everything borrowed from the receiver
 */
record QuotaMessage(
    Kind kind,
    int from,
    long epoch,
    long borrowerEpoch,
    long sequence,
    long tenant,
    double perSecond) {

  /** The purpose of a message: ASK requests a loan, LEND answers it, RETURN gives back loans. */
  enum Kind {
    ASK,
    LEND,
    RETURN
  }

  static final int BYTES = 42;
  static final short MAGIC = 0x4851;
  private static final byte VERSION = 1;
  /** The operator file's limit on a quota, in requests per second. */
  private static final double MAX_PER_SECOND = 10_000_000;

  byte[] bytes() {
    return ByteBuffer.allocate(BYTES)
        .putShort(MAGIC)
        .put(VERSION)
        .put((byte) kind.ordinal())
        .putShort((short) from)
        .putLong(epoch)
        .putLong(borrowerEpoch)
        .putInt((int) sequence)
        .putLong(tenant)
        .putDouble(perSecond)
        .array();
  }

  /** Parses a message; returns null for anything that is not exactly a valid one. */
  static QuotaMessage of(byte[] bytes) {
    if (bytes.length != BYTES) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    if (in.getShort() != MAGIC || in.get() != VERSION) {
      return null;
    }
    int kind = in.get();
    QuotaMessage m = kind < 0 || kind >= Kind.values().length
        ? null
        : new QuotaMessage(
            Kind.values()[kind],
            in.getShort() & 0xffff,
            in.getLong(),
            in.getLong(),
            in.getInt() & 0xffffffffL,
            in.getLong(),
            in.getDouble());
    // Comparisons in this form reject NaN too.
    return m != null && m.perSecond >= 0 && m.perSecond <= MAX_PER_SECOND ? m : null;
  }
}
