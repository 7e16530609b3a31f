package pumicekeel.jsonrpc;

import java.nio.charset.StandardCharsets;

/**
 * The id of a call. It is answered with the very bytes it came as, so 1, 1.0 and 1e0 stay what they were; two are the same
 * id where they are the same string, or numbers written alike.
 */
public final class Id {

  public static final Id NULL = new Id("null", "null".getBytes(StandardCharsets.US_ASCII));

  private final String key;
  private final byte[] raw;

  private Id(String key, byte[] raw) {
    this.key = key;
    this.raw = raw;
  }

  static Id text(String decoded, byte[] raw) {
    return new Id('"' + decoded, raw);
  }

  static Id number(String written) {
    return new Id(written, written.getBytes(StandardCharsets.US_ASCII));
  }

  /** One that the balancer gives to a call of its own. */
  public static Id of(long number) {
    return number(Long.toString(number));
  }

  /** As it is written; not to be changed. */
  public byte[] raw() {
    return raw;
  }

  /** The number it stands for, if it is a whole one that {@link #of} wrote; else -1. */
  public long asNumber() {
    int length = key.length();
    if (length == 0 || length > 18 || length > 1 && key.charAt(0) == '0') {
      return -1;
    }
    long value = 0;
    for (int i = 0; i < length; i++) {
      char c = key.charAt(i);
      if (c < '0' || c > '9') {
        return -1;
      }
      value = value * 10 + c - '0';
    }
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Id id && id.key.equals(key);
  }

  @Override
  public int hashCode() {
    return key.hashCode();
  }

  @Override
  public String toString() {
    return new String(raw, StandardCharsets.UTF_8);
  }
}
