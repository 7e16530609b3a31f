package pumicekeel.config;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SeekableByteChannel;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * Reads the text of an operator file through one open file descriptor, so that a replaced symlink or a rename gives either
 * the old or the new text and never a mixture. A file that is overwritten in place could be read incompletely, so a file
 * that changes while it is read, or whose last line has no line end, is rejected.
 */
public final class OperatorFile {

  /** The largest known configuration has 3.5 MB; reading temporarily takes about ten times the file size of heap. */
  public static final int MAX_BYTES = 16 << 20;
  /** Peak heap per byte of the file: its bytes, its text, the library's tree and the plain values. */
  private static final int HEAP_BYTES_PER_FILE_BYTE = 14;
  /** Read attempts for a file that keeps changing. */
  private static final int MAX_READS = 3;

  /** Thrown for a file that can't be read; the message gives the operator the reason. */
  public static final class UnreadableFileException extends IOException {
    private static final long serialVersionUID = 1L;

    UnreadableFileException(String why) {
      super(why);
    }
  }

  private OperatorFile() {}

  /** Returns the file's text. Blocks, so it must not run on the event loop. */
  public static String read(Path file) throws UnreadableFileException {
    try {
      for (int i = 0; i < MAX_READS; i++) {
        String text = readOnce(file);
        if (text != null) {
          return text;
        }
      }
    } catch (UnreadableFileException e) {
      throw e;
    } catch (NoSuchFileException e) {
      throw new UnreadableFileException("expected a file, found none");
    } catch (AccessDeniedException e) {
      throw new UnreadableFileException("expected a file that may be read, permission denied");
    } catch (CharacterCodingException e) {
      throw new UnreadableFileException("expected UTF-8");
    } catch (IOException e) {
      throw new UnreadableFileException("expected a file that can be read: " + e.getMessage());
    }
    throw new UnreadableFileException(
        "expected a file that stays as it is, it changed while it was read");
  }

  private static String readOnce(Path file) throws IOException {
    BasicFileAttributes before = Files.readAttributes(file, BasicFileAttributes.class);
    if (!before.isRegularFile()) {
      throw new UnreadableFileException(
          "expected a regular file, found " + (before.isDirectory() ? "a directory" : "none"));
    }
    ByteBuffer bytes = ByteBuffer.allocate((int) Math.min(MAX_BYTES, before.size()) + 1);
    try (SeekableByteChannel channel = Files.newByteChannel(file)) {
      if (channel.size() > MAX_BYTES) {
        throw new UnreadableFileException(
            "expected at most " + MAX_BYTES + " bytes, got " + channel.size());
      }
      checkHeap(channel.size(), Runtime.getRuntime().maxMemory());
      while (bytes.hasRemaining() && channel.read(bytes) >= 0) {
        // The buffer has one byte more than the file had: a full buffer means that the file grew.
      }
    }
    BasicFileAttributes after = Files.readAttributes(file, BasicFileAttributes.class);
    boolean same = bytes.position() == before.size()
        && after.size() == before.size()
        && after.lastModifiedTime().equals(before.lastModifiedTime())
        && java.util.Objects.equals(after.fileKey(), before.fileKey());
    return same ? decode(bytes.flip()) : null;
  }

  /** Rejects a file that would exhaust the heap while it is read. */
  static void checkHeap(long fileBytes, long heapBytes) throws UnreadableFileException {
    long needed = fileBytes * HEAP_BYTES_PER_FILE_BYTE;
    if (needed > heapBytes) {
      // Rounded in opposite directions, so that the two figures are never the same.
      throw new UnreadableFileException("expected a heap (-Xmx) of at least " + ((needed >> 20) + 1)
          + " MiB to read a file of this size, got " + (heapBytes >> 20));
    }
  }

  private static String decode(ByteBuffer bytes) throws IOException {
    String text = StandardCharsets.UTF_8
        .newDecoder()
        .onMalformedInput(CodingErrorAction.REPORT)
        .onUnmappableCharacter(CodingErrorAction.REPORT)
        .decode(bytes)
        .toString();
    if (!text.isBlank() && !text.endsWith("\n")) {
      throw new UnreadableFileException(
          "expected an end of line behind the last line, the file may be cut short");
    }
    if (text.isBlank()) {
      throw new UnreadableFileException("expected settings, the file is empty");
    }
    return text;
  }
}
