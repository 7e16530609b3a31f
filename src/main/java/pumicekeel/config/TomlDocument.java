package pumicekeel.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import com.fasterxml.jackson.dataformat.toml.TomlReadFeature;
import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A TOML text as plain values: tables as {@code Map<String, Object>} in the order of the file, arrays as
 * {@code List<Object>}, texts as {@code String}, whole numbers as {@code Long} ({@code BigInteger} beyond its range),
 * other numbers as {@code Double}, {@code Boolean}, and dates as those of {@code java.time}.
 *
 * <p>The library's tree carries no lines. They are found by a second reading of the text, made only when a line is asked
 * for, so that a file without faults does not pay for them.
 */
final class TomlDocument {

  /** Tables within tables and arrays; an operator file's own go six deep. Bounds the stack of every walk. */
  static final int MAX_NESTING = 64;

  private static final TomlFactory FACTORY = factory();

  private final String text;
  private final Map<String, Object> root;
  private KeyLines lines;

  private TomlDocument(String text, Map<String, Object> root) {
    this.text = text;
    this.root = root;
  }

  private static TomlFactory factory() {
    // A date is told apart from a text, so that one is not taken for the other.
    TomlFactory factory =
        TomlFactory.builder().enable(TomlReadFeature.PARSE_JAVA_TIME).build();
    factory.setStreamReadConstraints(
        StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build());
    return factory;
  }

  /** Reads a text; null, with the faults noted, where it is no TOML. */
  static TomlDocument parse(String text, List<Fault> faults) {
    try {
      return new TomlDocument(text, parse(new StringReader(text)));
    } catch (IOException | RuntimeException | AssertionError e) {
      faults.addAll(TomlDiagnosis.of(text));
      return null;
    }
  }

  /** The root table; whatever the library throws where the text is no TOML. */
  static Map<String, Object> parse(Reader text) throws IOException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      parser.nextToken();
      return table(parser, new HashMap<>(), 1);
    }
  }

  Map<String, Object> root() {
    return root;
  }

  /** The line of a key or element, from 1; of the nearest table around it where it is absent. */
  int lineOf(KeyPath path) {
    if (lines == null) {
      lines = KeyLines.of(text);
    }
    return lines.lineOf(path);
  }

  /** {@code names} holds each key's name once: most of a large file's keys are the same few. */
  private static Map<String, Object> table(JsonParser parser, Map<String, String> names, int depth)
      throws IOException {
    Map<String, Object> out = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = names.computeIfAbsent(parser.currentName(), n -> n);
      parser.nextToken();
      out.put(name, value(parser, names, depth));
    }
    return out;
  }

  private static List<Object> array(JsonParser parser, Map<String, String> names, int depth)
      throws IOException {
    List<Object> out = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      out.add(value(parser, names, depth));
    }
    return out;
  }

  private static Object value(JsonParser parser, Map<String, String> names, int depth)
      throws IOException {
    if (depth > MAX_NESTING) {
      // The library counts brackets but not the parts of dotted keys.
      throw new NestingException();
    }
    return switch (parser.currentToken()) {
      case START_OBJECT -> table(parser, names, depth + 1);
      case START_ARRAY -> array(parser, names, depth + 1);
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT -> whole(parser);
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> parser.getEmbeddedObject();
    };
  }

  private static Number whole(JsonParser parser) throws IOException {
    return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        ? parser.getBigIntegerValue()
        : (Number) parser.getLongValue();
  }

  /** Dotted keys that go too deep. */
  static final class NestingException extends IOException {
    private static final long serialVersionUID = 1L;

    private NestingException() {
      super("nesting deeper than " + MAX_NESTING);
    }
  }
}
