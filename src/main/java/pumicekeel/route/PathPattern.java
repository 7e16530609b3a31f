package pumicekeel.route;

import java.util.List;

/**
 * What a route asks of the path. A prefix and a template count by whole segments: {@code /quote} takes {@code /quote}
 * and {@code /quote/7} and not {@code /quotes}.
 */
public record PathPattern(Kind kind, String text, List<String> segments) {

  /** How the pattern is compared. */
  public enum Kind {
    ANY,
    EXACT,
    PREFIX,
    TEMPLATE
  }

  /** A segment of a template that takes any one segment. */
  static final String WILD = "{}";
  /** Deeper patterns than any service has; bounds the walk of the index. */
  public static final int MOST_SEGMENTS = 32;
  /** Takes every path. */
  public static final PathPattern ANY = new PathPattern(Kind.ANY, "", List.of());

  /** Makes a pattern; an IllegalArgumentException says what was expected. */
  public static PathPattern of(Kind kind, String text) {
    boolean template = kind == Kind.TEMPLATE;
    String plain = template ? text.replaceAll("\\{[A-Za-z0-9_-]+}", "x") : text;
    if (RequestPath.of(plain) == null
        || !RequestPath.of(plain).equals(plain)
        || plain.indexOf('?') >= 0
        || plain.indexOf('{') >= 0
        || plain.indexOf('}') >= 0) {
      throw new IllegalArgumentException(
          "a path as a request has it, from / on, without .., // or a query"
              + (template ? ", with {name} for a whole segment" : ""));
    }
    List<String> segments = segments(
        kind == Kind.PREFIX && text.length() > 1 && text.endsWith("/")
            ? text.substring(0, text.length() - 1)
            : text);
    if (segments.size() > MOST_SEGMENTS) {
      throw new IllegalArgumentException("at most " + MOST_SEGMENTS + " segments");
    }
    if (template) {
      segments = segments.stream()
          .map(s -> s.startsWith("{") && s.endsWith("}") ? WILD : s)
          .toList();
      if (segments.stream()
          .anyMatch(s -> !s.equals(WILD) && (s.contains("{") || s.contains("}")))) {
        throw new IllegalArgumentException("{name} for a whole segment, not for a part of one");
      }
    }
    return new PathPattern(kind, text, segments);
  }

  /** "/" has no segment as a prefix and one empty one as a path. */
  private static List<String> segments(String text) {
    return text.equals("/") ? List.of() : List.of(text.substring(1).split("/", -1));
  }

  /** Whether a path in {@link RequestPath}'s form is taken. */
  public boolean takes(String path) {
    return switch (kind) {
      case ANY -> true;
      case EXACT -> path.equals(text);
      case PREFIX ->
        path.equals(text)
            || segments.isEmpty()
            || path.startsWith("/" + String.join("/", segments)) && boundary(path);
      case TEMPLATE -> takesTemplate(path);
    };
  }

  private boolean boundary(String path) {
    int length = 1 + String.join("/", segments).length();
    return path.length() == length || path.charAt(length) == '/';
  }

  private boolean takesTemplate(String path) {
    List<String> sent = segments(path);
    if (sent.size() != segments.size()) {
      return false;
    }
    for (int i = 0; i < sent.size(); i++) {
      boolean wild = segments.get(i).equals(WILD);
      if (wild ? sent.get(i).isEmpty() : !segments.get(i).equals(sent.get(i))) {
        return false;
      }
    }
    return true;
  }

  /** Whether every path that the other takes is taken here. */
  boolean covers(PathPattern other) {
    return switch (kind) {
      case ANY -> true;
      case EXACT -> other.kind == Kind.EXACT && other.text.equals(text);
      case PREFIX ->
        segments.isEmpty()
            || other.kind != Kind.ANY
                && other.segments.size() >= segments.size()
                && coversSegments(other);
      case TEMPLATE ->
        (other.kind == Kind.EXACT || other.kind == Kind.TEMPLATE)
            && other.segments.size() == segments.size()
            && coversSegments(other);
    };
  }

  private boolean coversSegments(PathPattern other) {
    for (int i = 0; i < segments.size(); i++) {
      String theirs = other.segments.get(i);
      if (segments.get(i).equals(WILD) ? theirs.isEmpty() : !segments.get(i).equals(theirs)) {
        return false;
      }
    }
    return true;
  }

  @Override
  public String toString() {
    return switch (kind) {
      case ANY -> "any path";
      case EXACT -> "path " + text;
      case PREFIX -> "path-prefix " + text;
      case TEMPLATE -> "path-template " + text;
    };
  }
}
