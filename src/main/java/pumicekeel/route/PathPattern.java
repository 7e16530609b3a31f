package pumicekeel.route;

import java.util.List;

/**
 * The path condition of a route. Prefixes and templates match whole segments: the prefix {@code /quote} matches
 * {@code /quote} and {@code /quote/7} but not {@code /quotes}.
 */
public record PathPattern(Kind kind, String text, List<String> segments) {

  /** How the pattern matches. */
  public enum Kind {
    ANY,
    EXACT,
    PREFIX,
    TEMPLATE
  }

  /** A template segment that matches any one non-empty segment. */
  static final String WILDCARD = "{}";
  /** Maximum number of segments, more than the patterns of any service have; bounds the recursion of an index lookup. */
  public static final int MAX_SEGMENTS = 32;
  /** Matches every path. */
  public static final PathPattern ANY = new PathPattern(Kind.ANY, "", List.of());

  /** Parses a pattern; the IllegalArgumentException for an invalid one says what was expected. */
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
    if (segments.size() > MAX_SEGMENTS) {
      throw new IllegalArgumentException("at most " + MAX_SEGMENTS + " segments");
    }
    if (template) {
      segments = segments.stream()
          .map(s -> s.startsWith("{") && s.endsWith("}") ? WILDCARD : s)
          .toList();
      if (segments.stream()
          .anyMatch(s -> !s.equals(WILDCARD) && (s.contains("{") || s.contains("}")))) {
        throw new IllegalArgumentException("{name} for a whole segment, not for a part of one");
      }
    }
    return new PathPattern(kind, text, segments);
  }

  /** Returns no segments for "/"; as an exact path it has one empty segment, which the index adds. */
  private static List<String> segments(String text) {
    return text.equals("/") ? List.of() : List.of(text.substring(1).split("/", -1));
  }

  /** Returns whether a path normalized by {@link RequestPath} matches. */
  public boolean matches(String path) {
    return switch (kind) {
      case ANY -> true;
      case EXACT -> path.equals(text);
      case PREFIX ->
        path.equals(text)
            || segments.isEmpty()
            || path.startsWith("/" + String.join("/", segments)) && endsAtBoundary(path);
      case TEMPLATE -> matchesTemplate(path);
    };
  }

  private boolean endsAtBoundary(String path) {
    int length = 1 + String.join("/", segments).length();
    return path.length() == length || path.charAt(length) == '/';
  }

  private boolean matchesTemplate(String path) {
    List<String> sent = segments(path);
    if (sent.size() != segments.size()) {
      return false;
    }
    for (int i = 0; i < sent.size(); i++) {
      boolean wildcard = segments.get(i).equals(WILDCARD);
      if (wildcard ? sent.get(i).isEmpty() : !segments.get(i).equals(sent.get(i))) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether every path that matches the other pattern matches this one too. */
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
      String otherSegment = other.segments.get(i);
      if (segments.get(i).equals(WILDCARD)
          ? otherSegment.isEmpty()
          : !segments.get(i).equals(otherSegment)) {
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
