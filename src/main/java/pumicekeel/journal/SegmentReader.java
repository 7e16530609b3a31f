package pumicekeel.journal;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Reads the records of one segment, dead or still being written. Where a stretch is damaged it goes on at the next
 * record that is whole, and tells of the stretch: nothing is passed over silently.
 */
final class SegmentReader {

  /** A segment that can't be read at all. */
  static final class Unreadable extends IOException {
    private static final long serialVersionUID = 1L;

    Unreadable(String why) {
      super(why);
    }
  }

  /** Told of what a segment holds. */
  interface Sink {
    void entry(long offset, Entry entry);

    /** A stretch that is no record, up to the next one or to the end; {@code atEnd}: nothing whole follows. */
    void damage(long offset, long length, boolean atEnd);
  }

  /** Segments are written up to this size; a file beyond it is none of ours. */
  static final long MOST_BYTES = 1L << 30;

  private SegmentReader() {}

  /** Reads a whole segment; the header says whose it is. */
  static Codec.Header read(Path file, Sink sink) throws IOException {
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
      long size = channel.size();
      if (size > MOST_BYTES) {
        throw new Unreadable("expected a segment of at most " + MOST_BYTES + " bytes, got " + size);
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
      // Without the salt no record can be told from noise.
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
        // Whole, and of a type that a later build of this version added.
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

  /** The length of the whole frame that begins here; -1 where none does. */
  private static int frameLength(ByteBuffer bytes, int at, long salt) {
    if (bytes.limit() - at < Codec.FRAME_HEAD + Codec.FRAME_TAIL
        || (bytes.getShort(at) & 0xffff) != Codec.FRAME_MAGIC) {
      return -1;
    }
    int payload = bytes.getInt(at + 4);
    int rest = bytes.limit() - at - Codec.FRAME_HEAD - Codec.FRAME_TAIL;
    if (payload < 0
        || payload > Codec.MOST_PAYLOAD
        || payload > rest
        || bytes.getInt(at + Codec.FRAME_HEAD + payload)
            != Codec.crc(salt, bytes, at, Codec.FRAME_HEAD + payload)) {
      return -1;
    }
    return Codec.FRAME_HEAD + payload + Codec.FRAME_TAIL;
  }

  private static Entry decode(ByteBuffer bytes, int at, int length) {
    ByteBuffer payload = bytes.duplicate();
    payload.position(at + Codec.FRAME_HEAD).limit(at + length - Codec.FRAME_TAIL);
    try {
      return Codec.entry(bytes.get(at + 2), payload);
    } catch (BufferUnderflowException | ArrayIndexOutOfBoundsException e) {
      return null;
    }
  }
}
