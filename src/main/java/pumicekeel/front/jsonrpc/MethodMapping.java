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

/** What a method of a listener stands for: a class, and where in the params the rest is said. */
public final class MethodMapping {

  /** The parts of a request that a method can state. */
  public enum Part {
    TENANT,
    SESSION_KEY,
    IDEMPOTENCY_KEY,
    TIME_LEFT_MS,
    WORK_HINT_US,
    PATH
  }

  /** Where a part comes from. */
  public sealed interface Source permits Constant, At {}

  /** Always the same. */
  public record Constant(String value) implements Source {}

  /** Where a pointer into the params leads; {@code optional}: it may lead nowhere. */
  public record At(JsonPointer pointer, boolean optional) implements Source {}

  /** A part of the path of the HTTP request that a call becomes: text as it is, or a value by pointer. */
  public sealed interface PathPart permits Text, Value {}

  /** As it is. */
  public record Text(String text) implements PathPart {}

  /** Percent-encoded. */
  public record Value(JsonPointer pointer) implements PathPart {}

  /** Params that don't have what the settings ask for; the words name the pointer. */
  public static final class BadParams extends Exception {
    private static final long serialVersionUID = 1L;

    /** Without a stack trace: clients make these at full speed. */
    BadParams(String what) {
      super(what, null, false, false);
    }
  }

  /** What the params of one call said; {@code leftMillis} and {@code hintMicros} are -1 where nothing did. */
  public record CallFields(
      String tenant,
      String sessionKey,
      String idempotencyKey,
      long timeLeftMillis,
      long workHintMicros,
      String uri) {}

  /** Far from overflow in nanoseconds. */
  static final long MAX_NUMBER = 1_000_000_000L;
  /** Keys and names are kept while a request is open, and longer for keyed ones. */
  static final int MAX_TEXT_LENGTH = 256;

  private final String method;
  private final String className;
  private final String host;
  private final Map<Part, Source> sources;
  private final List<PathPart> path;
  private final JsonPointerSet pointers;
  private final List<JsonPointer> order;

  /** {@code path} is empty for the class's own. */
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

  /** Whether it says where a part comes from. */
  public boolean states(Part part) {
    return sources.containsKey(part);
  }

  /** Where a part comes from, for a message to a person. */
  public String describeSource(Part part) {
    return sources.get(part) instanceof At at
        ? at.pointer().toString()
        : "no pointer for it in the settings";
  }

  /** Reads the params of a call; null stands for none. */
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
    // A whole number is as good a key; 1.0 would be another key than 1, so that is none.
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

  /** Keys go into headers and logs as they are. */
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
