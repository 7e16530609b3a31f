package pumicekeel.delivery;

/**
 * A piece of the text of a version in UTF-8.
 *
 * @param offset of its first byte in the text
 * @param total bytes of the text
 */
public record SnapshotPart(ConfigurationVersion version, long offset, long total, byte[] bytes) {

  /** Whether the text ends with it. */
  public boolean isLast() {
    return offset + bytes.length == total;
  }
}
