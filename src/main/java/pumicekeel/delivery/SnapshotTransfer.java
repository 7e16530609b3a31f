package pumicekeel.delivery;

import java.util.Arrays;

/** A snapshot that comes in parts, each right behind the one before; it can go on at another control machine. */
final class SnapshotTransfer {

  private final ConfigurationVersion version;
  private final byte[] text;
  private int received;

  /** Begins with a part of offset 0. */
  SnapshotTransfer(SnapshotPart first) {
    version = first.version();
    text = new byte[(int) first.total()];
  }

  ConfigurationVersion version() {
    return version;
  }

  /** The offset that the next part must have. */
  long received() {
    return received;
  }

  boolean isComplete() {
    return received == text.length;
  }

  /** Takes a part; false where it is not the next one of this text, and then nothing has changed. */
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

  /** The whole text; its hash has not been checked. */
  byte[] text() {
    return Arrays.copyOf(text, received);
  }
}
