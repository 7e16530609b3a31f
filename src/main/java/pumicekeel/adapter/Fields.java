package pumicekeel.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON object with checked access to its fields. */
public final class Fields {

  private static final JsonFactory JSON = new JsonFactory();

  private final String path;
  private final Map<?, ?> values;

  Fields(String path, Map<?, ?> values) {
    this.path = path;
    this.values = values;
  }

  /** Parses a text that contains exactly one JSON object. */
  public static Fields parse(String path, String text) throws IOException {
    try (JsonParser parser = JSON.createParser(text)) {
      if (parser.nextToken() == null) {
        throw new WireException("expected a " + path + ", got an empty line");
      }
      Object value = read(parser);
      if (parser.nextToken() != null) {
        throw new WireException("expected one value a line, got more");
      }
      return object(path, value);
    }
  }

  /** Reads the value that starts at the parser's current token. */
  static Object read(JsonParser in) throws IOException {
    JsonToken token = in.currentToken();
    switch (token) {
      case START_OBJECT -> {
        Map<String, Object> object = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
          String name = in.currentName();
          in.nextToken();
          object.put(name, read(in));
        }
        return object;
      }
      case START_ARRAY -> {
        List<Object> array = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          array.add(read(in));
        }
        return array;
      }
      case VALUE_STRING -> {
        return in.getText();
      }
      case VALUE_NUMBER_INT -> {
        if (in.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
          throw new WireException("number " + in.getText() + " does not fit 64 bits");
        }
        return in.getLongValue();
      }
      case VALUE_NUMBER_FLOAT -> {
        return in.getDoubleValue();
      }
      case VALUE_TRUE, VALUE_FALSE -> {
        return in.getBooleanValue();
      }
      default -> {
        return null;
      }
    }
  }

  /** Casts a value to an object, or throws an exception that names what was expected. */
  static Fields object(String path, Object value) {
    if (value instanceof Map<?, ?> map) {
      return new Fields(path, map);
    }
    throw mismatch(path, "an object", value);
  }

  private static WireException mismatch(String path, String expected, Object value) {
    return new WireException("field " + path + ": expected " + expected + ", got "
        + (value == null
            ? "nothing"
            : value instanceof String ? "\"" + value + "\"" : value.toString()));
  }

  private WireException mismatch(String name, String expected) {
    return mismatch(path + "." + name, expected, values.get(name));
  }

  /** Returns the values as parsed: objects are maps, arrays are lists. */
  public Map<?, ?> values() {
    return values;
  }

  String path() {
    return path;
  }

  public boolean has(String name) {
    return values.get(name) != null;
  }

  /** Returns a mandatory integer. */
  public long integer(String name) {
    if (values.get(name) instanceof Long number) {
      return number;
    }
    throw mismatch(name, "a whole number");
  }

  public long integer(String name, long defaultValue) {
    return has(name) ? integer(name) : defaultValue;
  }

  public double number(String name, double defaultValue) {
    if (!has(name)) {
      return defaultValue;
    }
    if (values.get(name) instanceof Number number) {
      return number.doubleValue();
    }
    throw mismatch(name, "a number");
  }

  boolean bool(String name) {
    if (values.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw mismatch(name, "true or false");
  }

  public boolean bool(String name, boolean defaultValue) {
    return has(name) ? bool(name) : defaultValue;
  }

  public String text(String name) {
    if (values.get(name) instanceof String text) {
      return text;
    }
    throw mismatch(name, "a text");
  }

  public String text(String name, String defaultValue) {
    return has(name) ? text(name) : defaultValue;
  }

  /** Returns a nested object; an empty one if absent. */
  public Fields nested(String name) {
    return has(name)
        ? object(path + "." + name, values.get(name))
        : new Fields(path + "." + name, Map.of());
  }

  /** Returns a mandatory array of objects. */
  public List<Fields> objects(String name) {
    if (!(values.get(name) instanceof List<?> list)) {
      throw mismatch(name, "an array");
    }
    List<Fields> out = new ArrayList<>(list.size());
    for (int i = 0; i < list.size(); i++) {
      out.add(object(path + "." + name + "[" + i + "]", list.get(i)));
    }
    return out;
  }

  /** Returns the value that {@code choices} maps the string to; any other string is an error. */
  public <T> T choice(String name, Map<String, T> choices) {
    T choice = choices.get(text(name));
    if (choice == null) {
      throw mismatch(name, "one of " + new java.util.TreeSet<>(choices.keySet()));
    }
    return choice;
  }

  <T> T choice(String name, Map<String, T> choices, T defaultValue) {
    return has(name) ? choice(name, choices) : defaultValue;
  }

  /** Returns the numbers of a load report by name and ignores anything else; empty if absent. */
  Map<String, Double> load(String name) {
    if (!has(name)) {
      return Map.of();
    }
    Map<String, Double> out = new LinkedHashMap<>();
    for (Map.Entry<?, ?> entry : nested(name).values.entrySet()) {
      if (entry.getValue() instanceof Number number) {
        out.put((String) entry.getKey(), number.doubleValue());
      }
    }
    return out;
  }
}
