package pumicekeel.delivery;

import java.util.Arrays;

/** A snapshot that is received in consecutive parts; it can continue at another control machine. */
final class SnapshotTransfer {

  private final ConfigurationVersion version;
  private final byte[] text;
  private int received;

  /** Begins with a part at offset 0. */
  SnapshotTransfer(SnapshotPart first) {
    version = first.version();
    text = new byte[(int) first.total()];
  }

  ConfigurationVersion version() {
    return version;
  }

  /** Returns the offset of the next part. */
  long received() {
    return received;
  }

  boolean isComplete() {
    return received == text.length;
  }

  /** Appends a part. Returns false without any change if it is not the next part of this text. */
  boolean append(SnapshotPart part) {
    boolean isNext = part.version().equals(version)
        && part.total() == text.length
        && part.offset() == received
        && part.bytes().length <= text.length - received
        && part.bytes().length > 0;
    if (isNext) {
      System.arraycopy(part.bytes(), 0, text, received, part.bytes().length);
      received += part.bytes().length;
    }
    return isNext;
  }

  /** Returns the whole text, whose hash has not been checked. */
  byte[] text() {
    return Arrays.copyOf(text, received);
  }
}
