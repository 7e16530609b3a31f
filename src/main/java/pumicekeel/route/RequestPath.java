package pumicekeel.route;

/**
 * The path that routes are compared with. What is passed on to the upstream stays as the client wrote it, so the two
 * must not be readable in two ways: a path that a server could take for another one ({@code ..}, {@code %2F},
 * {@code //}) is refused rather than guessed at, and octets that need no escape are compared without theirs (RFC 3986
 * sections 6.2.2.2 and 6.2.2.3).
 */
public final class RequestPath {

  private RequestPath() {}

  /** The path to compare; the same object where nothing in it is escaped. Null where it is ambiguous or malformed. */
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
    return sound(path) ? path : null;
  }

  /** Decodes what RFC 3986 calls unreserved; null at an escape that is cut short or hides a separator or control. */
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
      if (unreserved((char) value)) {
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

  private static boolean unreserved(char c) {
    return c >= 'a' && c <= 'z'
        || c >= 'A' && c <= 'Z'
        || c >= '0' && c <= '9'
        || c == '-'
        || c == '.'
        || c == '_'
        || c == '~';
  }

  private static boolean sound(String path) {
    int start = 1;
    for (int i = 1; i <= path.length(); i++) {
      char c = i == path.length() ? '/' : path.charAt(i);
      if (c <= ' ' || c == '\\' || c >= 0x7f || c == '#') {
        return false;
      }
      if (c == '/') {
        int length = i - start;
        boolean last = i == path.length();
        if (length == 0 && !last || dots(path, start, length)) {
          return false;
        }
        start = i + 1;
      }
    }
    return true;
  }

  private static boolean dots(String path, int start, int length) {
    return length == 1 && path.charAt(start) == '.'
        || length == 2 && path.charAt(start) == '.' && path.charAt(start + 1) == '.';
  }
}
