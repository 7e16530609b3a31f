package pumicekeel.route;

/**
 * Normalizes the host of a request to the form that routes are compared with: lower case, without a port, without the
 * root's trailing dot (RFC 9110 section 4.2.3, RFC 3986 section 3.2.2). An IPv6 literal keeps its brackets.
 */
public final class HostName {

  /** Maximum length of a host name (RFC 1035 section 2.3.4); also leaves space for the brackets of a literal. */
  private static final int MAX_CHARS = 255;

  private HostName() {}

  /** Returns the canonical host; null if the text is empty, has user information or has characters that no host may have. */
  public static String of(String authority) {
    if (authority == null) {
      return null;
    }
    int end = endOfHost(authority);
    if (end <= 0 || end > MAX_CHARS || !portIsValid(authority, end)) {
      return null;
    }
    boolean literal = authority.charAt(0) == '[';
    if (!literal && authority.charAt(end - 1) == '.') {
      end--;
    }
    boolean canonical = end == authority.length();
    for (int i = 0; i < end; i++) {
      char c = authority.charAt(i);
      if (!(literal ? isLiteralChar(c) : isNameChar(c))
          || c == '.' && emptyLabel(authority, i, end)) {
        return null;
      }
      canonical &= c < 'A' || c > 'Z';
    }
    return end == 0 ? null : canonical ? authority : lower(authority, end);
  }

  /** Lower-cases ASCII only; String.toLowerCase depends on the default locale. */
  private static String lower(String text, int end) {
    char[] out = new char[end];
    for (int i = 0; i < end; i++) {
      char c = text.charAt(i);
      out[i] = c >= 'A' && c <= 'Z' ? (char) (c + 32) : c;
    }
    return new String(out);
  }

  private static int endOfHost(String authority) {
    if (authority.startsWith("[")) {
      return authority.indexOf(']') + 1;
    }
    int colon = authority.indexOf(':');
    return colon < 0 ? authority.length() : colon;
  }

  private static boolean portIsValid(String authority, int end) {
    if (end == authority.length()) {
      return true;
    }
    if (authority.charAt(end) != ':' || authority.length() - end > 6) {
      return false;
    }
    int port = 0;
    for (int i = end + 1; i < authority.length(); i++) {
      int digit = authority.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        return false;
      }
      port = port * 10 + digit;
    }
    return port <= 65_535;
  }

  private static boolean emptyLabel(String text, int at, int end) {
    return at == 0 || at + 1 < end && text.charAt(at + 1) == '.';
  }

  private static boolean isNameChar(char c) {
    return c >= 'a' && c <= 'z'
        || c >= 'A' && c <= 'Z'
        || c >= '0' && c <= '9'
        || c == '-'
        || c == '.'
        || c == '_';
  }

  private static boolean isLiteralChar(char c) {
    return c >= 'a' && c <= 'f'
        || c >= 'A' && c <= 'F'
        || c >= '0' && c <= '9'
        || c == ':'
        || c == '.'
        || c == '['
        || c == ']';
  }
}
