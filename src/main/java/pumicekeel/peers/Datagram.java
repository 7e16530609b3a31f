package pumicekeel.peers;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A message between members, of at most {@link #MAX_BYTES} bytes, the platform's limit. Field sizes in bytes, big-endian: magic 2, version
 * 1, kind 1, sender 2, sender's epoch 8, sender's incarnation 4, sequence 4, target 2, count 1, then 15 bytes for each update (member 2,
 * state 1, epoch 8, incarnation 4).
 */
public record Datagram(
    Kind kind,
    int from,
    long epoch,
    long incarnation,
    long sequence,
    int target,
    List<GossipUpdate> updates) {

  /** Message types: a probe, a request to probe another member, their responses, and a page of the membership table. */
  public enum Kind {
    PING,
    PING_REQUEST,
    ACK,
    NACK,
    SYNC
  }

  /** Maximum size of a datagram, a limit of the platform. */
  public static final int MAX_BYTES = 256;

  /** Maximum number of members of a list; the number of a member takes two bytes. */
  public static final int MAX_MEMBERS = 4_096;

  private static final short MAGIC = 0x4856;
  private static final byte VERSION = 1;
  private static final int HEADER_BYTES = 25;
  private static final int UPDATE_BYTES = 15;
  /** Number of updates that fit into one datagram. */
  public static final int MAX_UPDATES = (MAX_BYTES - HEADER_BYTES) / UPDATE_BYTES;

  private static final long MAX_INCARNATION = 0xffffffffL;
  /** Milliseconds since 1970 stay below this for ten thousand years, so a forged epoch cannot exhaust the range. */
  static final long MAX_EPOCH = 1L << 50;

  public Datagram {
    updates = List.copyOf(updates);
  }

  /** Encodes the datagram. */
  public byte[] bytes() {
    ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + UPDATE_BYTES * updates.size());
    out.putShort(MAGIC)
        .put(VERSION)
        .put((byte) kind.ordinal())
        .putShort((short) from)
        .putLong(epoch)
        .putInt((int) incarnation)
        .putInt((int) sequence)
        .putShort((short) target)
        .put((byte) updates.size());
    for (GossipUpdate update : updates) {
      out.putShort((short) update.member())
          .put((byte) update.state().ordinal())
          .putLong(update.epoch())
          .putInt((int) update.incarnation());
    }
    return out.array();
  }

  /** Decodes a datagram for a list of {@code members} members; returns null unless the bytes are exactly one valid datagram. */
  public static Datagram of(byte[] bytes, int members) {
    if (bytes.length < HEADER_BYTES || bytes.length > MAX_BYTES) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    if (in.getShort() != MAGIC || in.get() != VERSION) {
      return null;
    }
    int kind = in.get();
    int from = in.getShort() & 0xffff;
    long epoch = in.getLong();
    long incarnation = in.getInt() & MAX_INCARNATION;
    long sequence = in.getInt() & 0xffffffffL;
    int target = in.getShort() & 0xffff;
    int count = in.get();
    if (kind < 0
        || kind >= Kind.values().length
        || from >= members
        || target >= members
        || !isValidEpoch(epoch)
        || count < 0
        || bytes.length != HEADER_BYTES + count * UPDATE_BYTES) {
      return null;
    }
    List<GossipUpdate> updates = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int member = in.getShort() & 0xffff;
      int state = in.get();
      long memberEpoch = in.getLong();
      long memberIncarnation = in.getInt() & MAX_INCARNATION;
      if (member >= members
          || state <= 0
          || state >= State.values().length
          || !isValidEpoch(memberEpoch)) {
        return null;
      }
      updates.add(new GossipUpdate(member, State.values()[state], memberEpoch, memberIncarnation));
    }
    return new Datagram(Kind.values()[kind], from, epoch, incarnation, sequence, target, updates);
  }

  /** Returns whether the bytes start like a datagram of this protocol in a version that this build cannot decode. */
  static boolean isOtherVersion(byte[] bytes) {
    return bytes.length > 3
        && bytes.length <= MAX_BYTES
        && ByteBuffer.wrap(bytes).getShort() == MAGIC
        && bytes[2] != VERSION;
  }

  private static boolean isValidEpoch(long epoch) {
    return epoch >= 0 && epoch < MAX_EPOCH;
  }
}
