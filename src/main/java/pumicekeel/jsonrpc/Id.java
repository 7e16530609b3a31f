package pumicekeel.jsonrpc;

import java.nio.charset.StandardCharsets;

/**
 * The id of a call. Answers repeat its received bytes, so 1, 1.0 and 1e0 stay as they are. Two ids are equal if they are the
 * same string, or numbers with the same spelling.
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

  /** Returns an id for one of the balancer's own calls. */
  public static Id of(long number) {
    return number(Long.toString(number));
  }

  /** Returns the id as received; the array must not be modified. */
  public byte[] raw() {
    return raw;
  }

  /** Returns the number if the id has the form that {@link #of} creates, else -1. */
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
