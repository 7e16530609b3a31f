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
 * {@code List<Object>}, strings as {@code String}, integers as {@code Long} ({@code BigInteger} beyond its range),
 * other numbers as {@code Double}, booleans as {@code Boolean}, and dates as types of {@code java.time}.
 *
 * <p>The library's tree has no line numbers. They come from a second scan of the text, which runs only when a line is
 * requested, so a file without faults does not pay for it.
 */
final class TomlDocument {

  /** Maximum depth of nested tables and arrays, which bounds the stack of every traversal; operator files use six levels. */
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
    // Dates are parsed as dates, so that they are not treated as strings.
    TomlFactory factory =
        TomlFactory.builder().enable(TomlReadFeature.PARSE_JAVA_TIME).build();
    factory.setStreamReadConstraints(
        StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build());
    return factory;
  }

  /** Parses a text; adds the faults and returns null if it is not valid TOML. */
  static TomlDocument parse(String text, List<Fault> faults) {
    try {
      return new TomlDocument(text, parse(new StringReader(text)));
    } catch (IOException | RuntimeException | AssertionError e) {
      faults.addAll(TomlDiagnosis.of(text));
      return null;
    }
  }

  /** Parses the root table; throws whatever the library throws if the text is not valid TOML. */
  static Map<String, Object> parse(Reader text) throws IOException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      parser.nextToken();
      return table(parser, new HashMap<>(), 1);
    }
  }

  Map<String, Object> root() {
    return root;
  }

  /** Returns the line of a key or element, from 1; for an absent one, the line of the nearest enclosing table. */
  int lineOf(KeyPath path) {
    if (lines == null) {
      lines = KeyLines.of(text);
    }
    return lines.lineOf(path);
  }

  /** Interns key names in {@code names}: most keys of a large file repeat the same few names. */
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
      // The library limits the depth of brackets but not of dotted keys.
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

  /** Thrown for dotted keys that nest too deeply. */
  static final class NestingException extends IOException {
    private static final long serialVersionUID = 1L;

    private NestingException() {
      super("nesting deeper than " + MAX_NESTING);
    }
  }
}
