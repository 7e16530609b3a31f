package pumicekeel.journal;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Reads the records of one segment, which may still be being written. A damaged region is reported and reading goes on at the
 * next intact record: nothing is skipped silently.
 */
final class SegmentReader {

  /** Thrown for a segment that cannot be read at all. */
  static final class Unreadable extends IOException {
    private static final long serialVersionUID = 1L;

    Unreadable(String why) {
      super(why);
    }
  }

  /** Receives the contents of a segment. */
  interface Sink {
    void entry(long offset, Entry entry);

    /** A region that is not a record, up to the next record or to the end; {@code atEnd}: no intact record follows. */
    void damage(long offset, long length, boolean atEnd);
  }

  /** Largest size of a segment; a larger file was not written by this program. */
  static final long MAX_SEGMENT_BYTES = 1L << 30;

  private SegmentReader() {}

  /** Reads a whole segment; returns its header, null if that is damaged. */
  static Codec.Header read(Path file, Sink sink) throws IOException {
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
      long size = channel.size();
      if (size > MAX_SEGMENT_BYTES) {
        throw new Unreadable(
            "expected a segment of at most " + MAX_SEGMENT_BYTES + " bytes, got " + size);
      }
      ByteBuffer bytes =
          size == 0 ? ByteBuffer.allocate(0) : channel.map(FileChannel.MapMode.READ_ONLY, 0, size);
      return read(bytes, sink);
    }
  }

  static Codec.Header read(ByteBuffer bytes, Sink sink) throws Unreadable {
    Codec.Header header = Codec.header(bytes);
    if (header != null && header.version() > Codec.VERSION) {
      throw new Unreadable(
          "expected a journal of version " + Codec.VERSION + " or older, got version "
              + header.version() + ": read it with the program that wrote it");
    }
    if (header == null) {
      // Without the salt records cannot be verified.
      sink.damage(0, bytes.limit(), true);
      return null;
    }
    long salt = header.salt();
    int at = Codec.HEADER_BYTES;
    int damagedFrom = -1;
    while (at < bytes.limit()) {
      int length = frameLength(bytes, at, salt);
      Entry entry = length < 0 ? null : decode(bytes, at, length);
      if (entry == null && length < 0) {
        damagedFrom = damagedFrom < 0 ? at : damagedFrom;
        at++;
        continue;
      }
      if (damagedFrom >= 0) {
        sink.damage(damagedFrom, at - damagedFrom, false);
        damagedFrom = -1;
      }
      if (entry == null) {
        // Intact, but of a record type or value that a later build of this version added.
        at += length;
        continue;
      }
      sink.entry(at, entry);
      at += length;
    }
    if (damagedFrom >= 0) {
      sink.damage(damagedFrom, bytes.limit() - damagedFrom, true);
    }
    return header;
  }

  /** Returns the length of the intact frame that begins here; -1 if there is none. */
  private static int frameLength(ByteBuffer bytes, int at, long salt) {
    if (bytes.limit() - at < Codec.FRAME_HEAD_BYTES + Codec.FRAME_TAIL_BYTES
        || (bytes.getShort(at) & 0xffff) != Codec.FRAME_MAGIC) {
      return -1;
    }
    int payload = bytes.getInt(at + 4);
    int rest = bytes.limit() - at - Codec.FRAME_HEAD_BYTES - Codec.FRAME_TAIL_BYTES;
    if (payload < 0
        || payload > Codec.MAX_PAYLOAD_BYTES
        || payload > rest
        || bytes.getInt(at + Codec.FRAME_HEAD_BYTES + payload)
            != Codec.crc(salt, bytes, at, Codec.FRAME_HEAD_BYTES + payload)) {
      return -1;
    }
    return Codec.FRAME_HEAD_BYTES + payload + Codec.FRAME_TAIL_BYTES;
  }

  private static Entry decode(ByteBuffer bytes, int at, int length) {
    ByteBuffer payload = bytes.duplicate();
    payload.position(at + Codec.FRAME_HEAD_BYTES).limit(at + length - Codec.FRAME_TAIL_BYTES);
    try {
      return Codec.entry(bytes.get(at + 2), payload);
    } catch (BufferUnderflowException | ArrayIndexOutOfBoundsException e) {
      return null;
    }
  }
}
