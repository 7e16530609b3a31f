package pumicekeel.delivery;

/**
 * A part of the text of a version in UTF-8.
 *
 * @param offset of its first byte in the text
 * @param total bytes of the text
 */
public record SnapshotPart(ConfigurationVersion version, long offset, long total, byte[] bytes) {

  /** Whether this is the last part of the text. */
  public boolean isLast() {
    return offset + bytes.length == total;
  }
}
