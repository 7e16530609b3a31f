package pumicekeel.quota;

import java.nio.ByteBuffer;

/**
 * One message between members about one tenant's quota, {@link #BYTES} long. Big-endian: magic 2, version 1, kind 1, sender 2,
 * its epoch 8, the borrower's epoch 8, the borrower's sequence 4, tenant 8, requests a second 8.
 *
 * @param tenant what the quota is of, as {@link QuotaExchange} names it
 * @param perSecond what is asked for, or lent; 0 lent is a refusal, and what is returned is all that the member has
 */
record QuotaMessage(
    Kind kind,
    int from,
    long epoch,
    long borrowerEpoch,
    long sequence,
    long tenant,
    double perSecond) {

  /** What a message asks, gives or gives back. */
  enum Kind {
    ASK,
    LEND,
    RETURN
  }

  static final int BYTES = 42;
  static final short MAGIC = 0x4851;
  private static final byte VERSION = 1;
  /** As the operator file bounds a quota. */
  private static final double MOST_PER_SECOND = 10_000_000;

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

  /** Reads one; null for anything that is none, to the last byte. */
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
    // Written so that a NaN fails it too.
    return m != null && m.perSecond >= 0 && m.perSecond <= MOST_PER_SECOND ? m : null;
  }
}
