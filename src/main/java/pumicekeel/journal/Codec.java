package pumicekeel.journal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.zip.CRC32C;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Status;
import pumicekeel.journal.Entry.Told;

/**
 * Encodes and decodes segments and records; docs/design/0002-journal.md specifies the layout. All numbers are big-endian. A
 * record's checksum is seeded with the segment's salt, which no client knows: a client's text that looks like a record is not
 * read as one when the reader resynchronizes after a damaged region.
 */
final class Codec {

  /** "HVJRNL" and two bytes that do not occur in text. */
  static final long MAGIC = 0x4856_4a52_4e4c_01f7L;

  static final int VERSION = 1;
  static final int HEADER_BYTES = 40;
  static final int FRAME_MAGIC = 0xF7A5;
  /** Frame magic, record type, reserved byte, payload length. */
  static final int FRAME_HEAD_BYTES = 8;

  static final int FRAME_TAIL_BYTES = 4;
  /** Texts come from request heads of at most 8 KiB. A longer one is truncated and its digest appended to keep it distinct. */
  static final int MAX_TEXT_BYTES = 1_024;
  /** A character takes up to three bytes in UTF-8; 65 bytes are for the digest and its separator. */
  private static final int MAX_TEXT_CHARS = (MAX_TEXT_BYTES - 65) / 3;

  static final int MAX_PAYLOAD_BYTES = 16 << 10;

  private static final int BOOT = 1;
  private static final int INTENT = 2;
  private static final int WRITTEN = 3;
  private static final int ENDED = 4;
  private static final int ANSWERED = 5;
  private static final int GAP = 6;
  private static final int CLOSED = 7;

  private Codec() {}

  /** Header of a segment. */
  record Header(int version, long epoch, int number, long salt) {}

  static void header(ByteBuffer out, Header h) {
    int start = out.position();
    out.putLong(MAGIC)
        .putShort((short) h.version)
        .putShort((short) HEADER_BYTES)
        .putLong(h.epoch)
        .putInt(h.number)
        .putLong(h.salt)
        .putInt(0);
    out.putInt(crc(0, out, start, HEADER_BYTES - 4));
  }

  /** Reads a header; null if it is damaged. Of a newer format version, only the version number is read. */
  static Header header(ByteBuffer in) {
    if (in.remaining() < HEADER_BYTES || in.getLong(in.position()) != MAGIC) {
      return null;
    }
    int start = in.position();
    int version = in.getShort(start + 8) & 0xffff;
    if (version > VERSION) {
      return new Header(version, 0, 0, 0);
    }
    if (in.getInt(start + HEADER_BYTES - 4) != crc(0, in, start, HEADER_BYTES - 4)) {
      return null;
    }
    return new Header(
        version, in.getLong(start + 12), in.getInt(start + 20), in.getLong(start + 24));
  }

  static int crc(long salt, ByteBuffer bytes, int from, int length) {
    CRC32C crc = new CRC32C();
    for (int i = 56; i >= 0; i -= 8) {
      crc.update((int) (salt >>> i) & 0xff);
    }
    ByteBuffer part = bytes.duplicate();
    part.limit(from + length).position(from);
    crc.update(part);
    return (int) crc.getValue();
  }

  // Records

  /** Writes a record as a frame. The buffer must have space for the longest record. */
  static void frame(ByteBuffer out, long salt, Entry entry) {
    int start = out.position();
    out.putShort((short) FRAME_MAGIC).put((byte) type(entry)).put((byte) 0).putInt(0);
    payload(out, entry);
    int length = out.position() - start - FRAME_HEAD_BYTES;
    out.putInt(start + 4, length);
    out.putInt(crc(salt, out, start, FRAME_HEAD_BYTES + length));
  }

  private static int type(Entry e) {
    return e instanceof Entry.Boot
        ? BOOT
        : e instanceof Entry.Intent
            ? INTENT
            : e instanceof Entry.Written
                ? WRITTEN
                : e instanceof Entry.Ended
                    ? ENDED
                    : e instanceof Entry.Answered
                        ? ANSWERED
                        : e instanceof Entry.Gap ? GAP : CLOSED;
  }

  private static void payload(ByteBuffer out, Entry entry) {
    if (entry instanceof Entry.Boot e) {
      out.putLong(e.wallMillis()).putLong(e.monoNanos());
      text(out, e.instance());
      text(out, e.hostBoot());
      out.put((byte) e.durability().ordinal()).put((byte) (e.refusesInTrouble() ? 1 : 0));
    } else if (entry instanceof Entry.Intent e) {
      text(out, e.id());
      text(out, e.key());
      text(out, e.className());
      out.put((byte) e.effect().ordinal()).put((byte) e.scope().ordinal()).putLong(e.windowNanos());
      text(out, e.tenant());
      text(out, e.pool());
      out.putInt(e.attempt());
      text(out, e.upstream());
      text(out, e.address());
      text(out, e.zone());
      out.putInt(e.cell()).putLong(e.wallMillis()).putLong(e.monoNanos());
    } else if (entry instanceof Entry.Written e) {
      text(out, e.id());
      out.putInt(e.attempt()).putLong(e.monoNanos());
    } else if (entry instanceof Entry.Ended e) {
      text(out, e.id());
      out.putInt(e.attempt()).put((byte) e.status().ordinal()).putLong(e.wallMillis());
    } else if (entry instanceof Entry.Answered e) {
      text(out, e.id());
      out.put((byte) e.told().ordinal()).putLong(e.wallMillis());
    } else if (entry instanceof Entry.Gap e) {
      out.putLong(e.fromWallMillis()).putLong(e.toWallMillis()).putLong(e.lost());
    } else if (entry instanceof Entry.Closed e) {
      out.putLong(e.wallMillis());
    }
  }

  /** Decodes a payload; null for a record type unknown to this version. Surplus bytes are ignored. */
  static Entry entry(int type, ByteBuffer in) {
    return switch (type) {
      case BOOT ->
        new Entry.Boot(
            in.getLong(),
            in.getLong(),
            text(in),
            text(in),
            value(Durability.values(), in),
            in.get() == 1);
      case INTENT ->
        new Entry.Intent(
            text(in),
            text(in),
            text(in),
            value(Effect.values(), in),
            value(DedupScope.values(), in),
            in.getLong(),
            text(in),
            text(in),
            in.getInt(),
            text(in),
            text(in),
            text(in),
            in.getInt(),
            in.getLong(),
            in.getLong());
      case WRITTEN -> new Entry.Written(text(in), in.getInt(), in.getLong());
      case ENDED ->
        new Entry.Ended(text(in), in.getInt(), value(Status.values(), in), in.getLong());
      case ANSWERED -> new Entry.Answered(text(in), value(Told.values(), in), in.getLong());
      case GAP -> new Entry.Gap(in.getLong(), in.getLong(), in.getLong());
      case CLOSED -> new Entry.Closed(in.getLong());
      default -> null;
    };
  }

  private static <T> T value(T[] values, ByteBuffer in) {
    return values[in.get()];
  }

  private static void text(ByteBuffer out, String text) {
    if (text == null) {
      out.putShort((short) 0xffff);
      return;
    }
    byte[] bytes = truncate(text).getBytes(StandardCharsets.UTF_8);
    out.putShort((short) bytes.length).put(bytes);
  }

  /** Truncates a text as the journal stores it. A text to be looked up must be truncated in the same way. */
  static String truncate(String text) {
    return text == null || text.length() <= MAX_TEXT_CHARS
        ? text
        : text.substring(0, MAX_TEXT_CHARS) + "~" + digest(text);
  }

  /** Keys come from clients: with a weaker digest, a client could construct a key that collides with another one. */
  private static String digest(String text) {
    try {
      return HexFormat.of()
          .formatHex(
              MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java has SHA-256", e);
    }
  }

  private static String text(ByteBuffer in) {
    int length = in.getShort() & 0xffff;
    if (length == 0xffff) {
      return null;
    }
    byte[] bytes = new byte[length];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
