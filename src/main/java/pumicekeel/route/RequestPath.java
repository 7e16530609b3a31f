package pumicekeel.route;

/**
 * Normalizes the path of a request to the form that routes are compared with. The upstream receives the path as the client
 * sent it, so both must have the same meaning: a path that a server could interpret as another one ({@code ..}, {@code %2F},
 * {@code //}) is rejected, and unreserved octets are compared without percent-encoding (RFC 3986 sections 6.2.2.2 and
 * 6.2.2.3).
 */
public final class RequestPath {

  private RequestPath() {}

  /** Returns the normalized path, the same object if nothing in it is escaped; null if it is ambiguous or malformed. */
  public static String of(String sent) {
    if (sent == null || sent.isEmpty() || sent.charAt(0) != '/') {
      return null;
    }
    String path = sent;
    if (sent.indexOf('%') >= 0) {
      path = unescaped(sent);
      if (path == null) {
        return null;
      }
    }
    return isUnambiguous(path) ? path : null;
  }

  /** Decodes unreserved characters (RFC 3986); null for a truncated escape or one of a separator or control character. */
  private static String unescaped(String sent) {
    StringBuilder out = new StringBuilder(sent.length());
    for (int i = 0; i < sent.length(); i++) {
      char c = sent.charAt(i);
      if (c != '%') {
        out.append(c);
        continue;
      }
      int value = i + 2 < sent.length() ? Character.digit(sent.charAt(i + 1), 16) * 16 : -1;
      int low = value < 0 ? -1 : Character.digit(sent.charAt(i + 2), 16);
      value += low;
      if (low < 0
          || value < 0x20
          || value == '/'
          || value == '\\'
          || value == '%'
          || value == 0x7f) {
        return null;
      }
      if (isUnreserved((char) value)) {
        out.append((char) value);
      } else {
        out.append('%').append(upper(sent.charAt(i + 1))).append(upper(sent.charAt(i + 2)));
      }
      i += 2;
    }
    return out.toString();
  }

  private static char upper(char hex) {
    return hex >= 'a' ? (char) (hex - 32) : hex;
  }

  private static boolean isUnreserved(char c) {
    return c >= 'a' && c <= 'z'
        || c >= 'A' && c <= 'Z'
        || c >= '0' && c <= '9'
        || c == '-'
        || c == '.'
        || c == '_'
        || c == '~';
  }

  private static boolean isUnambiguous(String path) {
    int start = 1;
    for (int i = 1; i <= path.length(); i++) {
      char c = i == path.length() ? '/' : path.charAt(i);
      if (c <= ' ' || c == '\\' || c >= 0x7f || c == '#') {
        return false;
      }
      if (c == '/') {
        int length = i - start;
        boolean last = i == path.length();
        if (length == 0 && !last || isDotSegment(path, start, length)) {
          return false;
        }
        start = i + 1;
      }
    }
    return true;
  }

  private static boolean isDotSegment(String path, int start, int length) {
    return length == 1 && path.charAt(start) == '.'
        || length == 2 && path.charAt(start) == '.' && path.charAt(start + 1) == '.';
  }
}
