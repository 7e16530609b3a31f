package pumicekeel.front.jsonrpc;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pumicekeel.jsonrpc.JsonPointer;
import pumicekeel.jsonrpc.JsonPointerSet;
import pumicekeel.jsonrpc.JsonPointerSet.Found;
import pumicekeel.jsonrpc.JsonPointerSet.Kind;

/** Maps a method of a listener to a request class, and its params to the other fields of a request. */
public final class MethodMapping {

  /** The fields of a request that a mapping can provide. */
  public enum Part {
    TENANT,
    SESSION_KEY,
    IDEMPOTENCY_KEY,
    TIME_LEFT_MS,
    WORK_HINT_US,
    PATH
  }

  /** The source of a field. */
  public sealed interface Source permits Constant, At {}

  /** A fixed value. */
  public record Constant(String value) implements Source {}

  /** The value at a pointer into the params; it may be absent if {@code optional}. */
  public record At(JsonPointer pointer, boolean optional) implements Source {}

  /** A part of the path when a call is forwarded as an HTTP request: literal text, or a value by pointer. */
  public sealed interface PathPart permits Text, Value {}

  /** Literal text. */
  public record Text(String text) implements PathPart {}

  /** A value of the params, percent-encoded. */
  public record Value(JsonPointer pointer) implements PathPart {}

  /** Thrown for params that lack what the settings require; the message names the pointer. */
  public static final class BadParams extends Exception {
    private static final long serialVersionUID = 1L;

    /** Has no stack trace, as clients can cause it at a high rate. */
    BadParams(String what) {
      super(what, null, false, false);
    }
  }

  /** The fields of one call; {@code timeLeftMillis} and {@code workHintMicros} are -1 if absent. */
  public record CallFields(
      String tenant,
      String sessionKey,
      String idempotencyKey,
      long timeLeftMillis,
      long workHintMicros,
      String uri) {}

  /** Upper bound that can't overflow in nanoseconds. */
  static final long MAX_NUMBER = 1_000_000_000L;
  /** Keys and names are stored while a request is open, and longer for keyed requests. */
  static final int MAX_TEXT_LENGTH = 256;

  private final String method;
  private final String className;
  private final String host;
  private final Map<Part, Source> sources;
  private final List<PathPart> path;
  private final JsonPointerSet pointers;
  private final List<JsonPointer> order;

  /** Creates a mapping; an empty {@code path} means the default path of the class. */
  public MethodMapping(
      String method,
      String className,
      String host,
      Map<Part, Source> sources,
      List<PathPart> path) {
    this.method = method;
    this.className = className;
    this.host = host;
    this.sources = Map.copyOf(sources);
    this.path = List.copyOf(path);
    order = new ArrayList<>();
    for (Part part : Part.values()) {
      if (sources.get(part) instanceof At at) {
        order.add(at.pointer());
      }
    }
    path.forEach(p -> {
      if (p instanceof Value value) {
        order.add(value.pointer());
      }
    });
    pointers = new JsonPointerSet(order);
  }

  public String method() {
    return method;
  }

  public String className() {
    return className;
  }

  public String host() {
    return host;
  }

  /** Returns whether the mapping provides a field. */
  public boolean states(Part part) {
    return sources.containsKey(part);
  }

  /** Returns the source of a field for use in error messages. */
  public String describeSource(Part part) {
    return sources.get(part) instanceof At at
        ? at.pointer().toString()
        : "no pointer for it in the settings";
  }

  /** Reads the params of a call; null means none. */
  public CallFields read(byte[] params) throws BadParams {
    Found[] found = pointers.resolve(params);
    int[] next = {0};
    String tenant = text(Part.TENANT, found, next);
    String session = text(Part.SESSION_KEY, found, next);
    String key = text(Part.IDEMPOTENCY_KEY, found, next);
    long left = number(Part.TIME_LEFT_MS, found, next);
    long hint = number(Part.WORK_HINT_US, found, next);
    return new CallFields(tenant, session, key, left, hint, uri(found, next));
  }

  private String text(Part part, Found[] found, int[] next) throws BadParams {
    Source source = sources.get(part);
    if (source == null) {
      return null;
    }
    if (source instanceof Constant constant) {
      return constant.value();
    }
    At at = (At) source;
    Found f = found[next[0]++];
    if (f.kind() == Kind.ABSENT && at.optional()) {
      return null;
    }
    // Integers are accepted as keys; 1.0 would be a different key than 1, so other numbers are not.
    if (f.kind() == Kind.NUMBER && f.text().matches("-?[0-9]{1,20}")) {
      return f.text();
    }
    if (f.kind() != Kind.STRING
        || f.text().isEmpty()
        || f.text().length() > MAX_TEXT_LENGTH
        || !printable(f.text())) {
      throw new BadParams(at.pointer() + ": expected a string of 1 to " + MAX_TEXT_LENGTH
          + " printable characters or a whole number, got " + name(f));
    }
    return f.text();
  }

  /** Keys are copied unchanged into headers and logs. */
  private static boolean printable(String text) {
    return text.chars().allMatch(c -> c >= 0x20 && c < 0x7f);
  }

  private long number(Part part, Found[] found, int[] next) throws BadParams {
    Source source = sources.get(part);
    if (source == null) {
      return -1;
    }
    if (source instanceof Constant constant) {
      return Long.parseLong(constant.value());
    }
    At at = (At) source;
    Found f = found[next[0]++];
    if (f.kind() == Kind.ABSENT && at.optional()) {
      return -1;
    }
    if (f.kind() != Kind.NUMBER || !f.text().matches("[0-9]{1,12}")) {
      throw new BadParams(at.pointer() + ": expected a whole number from 0 on, got " + name(f));
    }
    return Math.min(MAX_NUMBER, Long.parseLong(f.text()));
  }

  private String uri(Found[] found, int[] next) throws BadParams {
    if (path.isEmpty()) {
      return null;
    }
    StringBuilder out = new StringBuilder();
    for (PathPart piece : path) {
      if (piece instanceof Text text) {
        out.append(text.text());
        continue;
      }
      Found f = found[next[0]++];
      boolean usable = f.kind() == Kind.STRING
              && !f.text().isEmpty()
              && !f.text().equals(".")
              && !f.text().equals("..")
          || f.kind() == Kind.NUMBER;
      if (!usable || f.text().length() > MAX_TEXT_LENGTH) {
        throw new BadParams(((Value) piece).pointer()
            + ": expected a string or a number for the path, got " + name(f));
      }
      out.append(percentEncoded(f.text()));
    }
    return out.toString();
  }

  static String percentEncoded(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  private static String name(Found f) {
    return switch (f.kind()) {
      case ABSENT -> "nothing";
      case STRING -> f.text().isEmpty() ? "an empty string" : "another string";
      case NUMBER -> "a number";
      case BOOLEAN -> "a boolean";
      case NULL -> "null";
      case OBJECT -> "an object";
      case ARRAY -> "an array";
    };
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof MethodMapping m
        && m.method.equals(method)
        && m.className.equals(className)
        && java.util.Objects.equals(m.host, host)
        && m.sources.equals(sources)
        && m.path.equals(path);
  }

  @Override
  public int hashCode() {
    return method.hashCode();
  }
}
