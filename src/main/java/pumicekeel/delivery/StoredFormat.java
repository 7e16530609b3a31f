package pumicekeel.delivery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * File format of a stored version: one header line {@code honeyvalve-configuration 1 EPOCH.SEQUENCE.HASH STORED_AT_MILLIS LENGTH CRC}, then
 * the text. CRC is the CRC-32C of the line before it. Header and text have checksums, so any flipped bit is detected.
 */
final class StoredFormat {

  private static final String MAGIC = "honeyvalve-configuration 1";
  private static final int FIELDS = 6;
  /** Longer than any header; bounds the search for its end in a file of other contents. */
  private static final int MAX_HEADER_BYTES = 256;

  private StoredFormat() {}

  static ByteBuffer encode(StoredConfiguration configuration) {
    byte[] text = configuration.text().getBytes(StandardCharsets.UTF_8);
    String fields = MAGIC + " " + configuration.version().text() + " "
        + configuration.storedAtMillis() + " " + text.length;
    byte[] header = (fields + " " + checksum(fields) + "\n").getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(header.length + text.length)
        .put(header)
        .put(text)
        .flip();
  }

  /** Decodes a file; the message of an IOException tells how it is damaged. */
  static StoredConfiguration decode(byte[] bytes) throws IOException {
    int end = 0;
    while (end < Math.min(bytes.length, MAX_HEADER_BYTES) && bytes[end] != '\n') {
      end++;
    }
    String header = new String(bytes, 0, end, StandardCharsets.US_ASCII);
    String[] fields = header.split(" ");
    int beforeChecksum = header.lastIndexOf(' ');
    if (fields.length != FIELDS
        || !header.startsWith(MAGIC + " ")
        || !fields[FIELDS - 1].equals(checksum(header.substring(0, beforeChecksum)))) {
      throw new IOException("its header is damaged");
    }
    ConfigurationVersion version = ConfigurationVersion.parse(fields[2]);
    int length = Integer.parseInt(fields[4]);
    if (bytes.length - end - 1 != length) {
      throw new IOException(
          "it holds " + Math.max(0, bytes.length - end - 1) + " bytes of text of " + length);
    }
    byte[] text = java.util.Arrays.copyOfRange(bytes, end + 1, bytes.length);
    if (!version.isOf(text)) {
      throw new IOException("its text is not the one of version " + version);
    }
    return new StoredConfiguration(
        version, Long.parseLong(fields[3]), new String(text, StandardCharsets.UTF_8));
  }

  private static String checksum(String fields) {
    CRC32C crc = new CRC32C();
    crc.update(fields.getBytes(StandardCharsets.US_ASCII));
    return Long.toHexString(crc.getValue());
  }
}
