package pumicekeel.peers;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One message between members, at most {@link #MOST} bytes, as the platform carries them. Big-endian: magic 2, version 1,
 * kind 1, sender 2, its epoch 8, its incarnation 4, sequence 4, target 2, count 1, then 15 bytes for each rumour (member 2,
 * state 1, epoch 8, incarnation 4).
 */
public record Datagram(
    Kind kind,
    int from,
    long epoch,
    long incarnation,
    long sequence,
    int target,
    List<Rumour> rumours) {

  /** What a message asks or answers. */
  public enum Kind {
    PING,
    PING_REQUEST,
    ACK,
    NACK,
    SYNC
  }

  /** The platform's limit. */
  public static final int MOST = 256;

  public static final int MOST_MEMBERS = 4_096;
  private static final short MAGIC = 0x4856;
  private static final byte VERSION = 1;
  private static final int HEAD = 25;
  private static final int RUMOUR = 15;
  /** Rumours that fit. */
  public static final int MOST_RUMOURS = (MOST - HEAD) / RUMOUR;

  private static final long MOST_INCARNATION = 0xffffffffL;
  /** Milliseconds since 1970 stay below this for ten thousand years; a forged one can't end the numbers. */
  static final long MOST_EPOCH = 1L << 50;

  public Datagram {
    rumours = List.copyOf(rumours);
  }

  /** As it goes out. */
  public byte[] bytes() {
    ByteBuffer out = ByteBuffer.allocate(HEAD + RUMOUR * rumours.size());
    out.putShort(MAGIC)
        .put(VERSION)
        .put((byte) kind.ordinal())
        .putShort((short) from)
        .putLong(epoch)
        .putInt((int) incarnation)
        .putInt((int) sequence)
        .putShort((short) target)
        .put((byte) rumours.size());
    for (Rumour r : rumours) {
      out.putShort((short) r.member())
          .put((byte) r.state().ordinal())
          .putLong(r.epoch())
          .putInt((int) r.incarnation());
    }
    return out.array();
  }

  /** Reads one among so many members; null for anything that is none, to the last byte. */
  public static Datagram of(byte[] bytes, int members) {
    if (bytes.length < HEAD || bytes.length > MOST) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    if (in.getShort() != MAGIC || in.get() != VERSION) {
      return null;
    }
    int kind = in.get();
    int from = in.getShort() & 0xffff;
    long epoch = in.getLong();
    long incarnation = in.getInt() & MOST_INCARNATION;
    long sequence = in.getInt() & 0xffffffffL;
    int target = in.getShort() & 0xffff;
    int count = in.get();
    if (kind < 0
        || kind >= Kind.values().length
        || from >= members
        || target >= members
        || !sound(epoch)
        || count < 0
        || bytes.length != HEAD + count * RUMOUR) {
      return null;
    }
    List<Rumour> rumours = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int member = in.getShort() & 0xffff;
      int state = in.get();
      long of = in.getLong();
      long its = in.getInt() & MOST_INCARNATION;
      if (member >= members || state <= 0 || state >= State.values().length || !sound(of)) {
        return null;
      }
      rumours.add(new Rumour(member, State.values()[state], of, its));
    }
    return new Datagram(Kind.values()[kind], from, epoch, incarnation, sequence, target, rumours);
  }

  /** Whether it begins as one of this protocol in another version, which this build can't read. */
  static boolean isOfAnotherVersion(byte[] bytes) {
    return bytes.length > 3
        && bytes.length <= MOST
        && ByteBuffer.wrap(bytes).getShort() == MAGIC
        && bytes[2] != VERSION;
  }

  private static boolean sound(long epoch) {
    return epoch >= 0 && epoch < MOST_EPOCH;
  }
}
