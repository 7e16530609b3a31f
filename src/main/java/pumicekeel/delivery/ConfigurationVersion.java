package pumicekeel.delivery;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies a configuration. Versions are ordered by the writer's epoch, then by the sequence within it; two different texts must not have
 * the same numbers.
 *
 * @param epoch of the writer, from 1; a writer that takes over uses a higher one
 * @param sequence counts the versions of an epoch from 1
 * @param hash SHA-256 of the whole text in UTF-8, 64 lower-case hexadecimal digits
 */
public record ConfigurationVersion(long epoch, long sequence, String hash) {

  /** No configuration has been delivered; older than every other version. */
  public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0, "0".repeat(64));

  public ConfigurationVersion {
    if (epoch < 0 || sequence < 0 || !hash.matches("[0-9a-f]{64}")) {
      throw new IllegalArgumentException(
          "expected an epoch, a sequence and a SHA-256 in hexadecimal digits");
    }
  }

  /** Returns the version of a text with these numbers. */
  public static ConfigurationVersion of(long epoch, long sequence, String text) {
    return new ConfigurationVersion(epoch, sequence, sha256(text.getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns the hash of a text's bytes in the form used in versions. */
  public static String sha256(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Parses {@link #text}; throws an IllegalArgumentException if it is malformed. */
  public static ConfigurationVersion parse(String text) {
    String[] parts = text.split("\\.", -1);
    if (parts.length != 3) {
      throw new IllegalArgumentException("expected EPOCH.SEQUENCE.HASH");
    }
    return new ConfigurationVersion(Long.parseLong(parts[0]), Long.parseLong(parts[1]), parts[2]);
  }

  /** Returns {@code EPOCH.SEQUENCE.HASH}, the form on the wire. */
  public String text() {
    return epoch + "." + sequence + "." + hash;
  }

  /** Whether this version replaces the other. One with equal numbers never does, whatever its hash. */
  public boolean isNewerThan(ConfigurationVersion other) {
    return epoch != other.epoch ? epoch > other.epoch : sequence > other.sequence;
  }

  /** Returns the later of two versions. */
  public static ConfigurationVersion later(ConfigurationVersion a, ConfigurationVersion b) {
    return b.isNewerThan(a) ? b : a;
  }

  /** Whether the hash of a text is that of this version. */
  public boolean isOf(byte[] text) {
    return hash.equals(sha256(text));
  }

  /** Returns epoch, sequence and the start of the hash, for display. */
  @Override
  public String toString() {
    return equals(NONE) ? "none" : epoch + "." + sequence + " (" + hash.substring(0, 8) + ")";
  }
}
