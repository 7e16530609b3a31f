package pumicekeel.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A table of a TOML file with checked access to its keys. Each fault is recorded and reading continues with the default, so
 * that one pass reports all faults; {@link #reportUnknownKeys} reports the keys that were never read.
 */
public final class Section {

  private final TomlDocument document;
  private final Map<String, ?> table;
  private final KeyPath path;
  private final List<Fault> faults;
  private final Set<String> known = new TreeSet<>();

  private Section(TomlDocument document, Map<String, ?> table, KeyPath path, List<Fault> faults) {
    this.document = document;
    this.table = table;
    this.path = path;
    this.faults = faults;
  }

  /** Parses a file's text to its root table; adds the faults and returns null if it is not valid TOML. */
  public static Section parse(String text, List<Fault> faults) {
    TomlDocument document = TomlDocument.parse(text, faults);
    return document == null ? null : new Section(document, document.root(), KeyPath.ROOT, faults);
  }

  /** Returns the keys of the table. */
  public Set<String> keys() {
    known.addAll(table.keySet());
    return Collections.unmodifiableSet(table.keySet());
  }

  /** Returns the line of the table itself. */
  int line() {
    return document.lineOf(path);
  }

  public void addFault(String key, String expected) {
    KeyPath at = path.key(key);
    faults.add(new Fault(document.lineOf(at), at.toString(), expected));
  }

  private Object value(String key) {
    known.add(key);
    return table.get(key);
  }

  /** Returns whether a key holds a value of this type. */
  boolean holds(String key, Class<?> kind) {
    return kind.isInstance(value(key));
  }

  public boolean has(String key) {
    return value(key) != null;
  }

  private static String shown(Object value) {
    String text = value instanceof String
        ? "\"" + value + "\""
        : value instanceof Map
            ? "a table"
            : value instanceof List ? "an array" : String.valueOf(value);
    return text.length() > 80 ? text.substring(0, 80) + "..." : text;
  }

  private void mismatch(String key, String expected, Object got) {
    addFault(key, "expected " + expected + ", got " + shown(got));
  }

  public String text(String key, String defaultValue) {
    Object value = value(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof String text && !text.isBlank()) {
      return text;
    }
    mismatch(key, "a text", value);
    return defaultValue;
  }

  /** Returns a mandatory string. */
  public String requiredText(String key, String what) {
    if (!has(key)) {
      addFault(key, "expected " + what + ", got nothing");
      return null;
    }
    return text(key, null);
  }

  public Long integer(String key, long min, long max) {
    Object value = value(key);
    if (value == null) {
      return null;
    }
    if (value instanceof Long number && number >= min && number <= max) {
      return number;
    }
    mismatch(key, "a whole number from " + min + " to " + max, value);
    return null;
  }

  public Double number(String key, double min, double max) {
    Object value = value(key);
    if (value == null) {
      return null;
    }
    if (value instanceof Number number
        && number.doubleValue() >= min
        && number.doubleValue() <= max) {
      return number.doubleValue();
    }
    mismatch(key, "a number from " + plain(min) + " to " + plain(max), value);
    return null;
  }

  private static String plain(double number) {
    return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
  }

  public Boolean bool(String key) {
    Object value = value(key);
    if (value == null || value instanceof Boolean) {
      return (Boolean) value;
    }
    mismatch(key, "true or false", value);
    return null;
  }

  <T> T choice(String key, Map<String, T> choices) {
    Object value = value(key);
    T choice = value instanceof String text ? choices.get(text) : null;
    if (value != null && choice == null) {
      mismatch(key, "one of " + String.join(", ", new TreeSet<>(choices.keySet())), value);
    }
    return choice;
  }

  /** Returns a string or an array of strings as a list; null if absent. */
  public List<String> textList(String key) {
    Object value = value(key);
    if (value == null) {
      return null;
    }
    List<String> out = new ArrayList<>();
    if (value instanceof String one) {
      out.add(one);
    } else if (value instanceof List<?> array && !array.isEmpty()) {
      for (int i = 0; i < array.size(); i++) {
        if (array.get(i) instanceof String text) {
          out.add(text);
        } else {
          mismatch(key, "texts", array.get(i));
        }
      }
    } else {
      mismatch(key, "a text or an array of texts", value);
    }
    return out;
  }

  /** Returns an array of numbers; empty and a fault if there is none. */
  public List<Double> numbers(String key) {
    List<Double> out = new ArrayList<>();
    if (!(value(key) instanceof List<?> array)) {
      mismatch(key, "an array of numbers", value(key));
      return out;
    }
    for (int i = 0; i < array.size(); i++) {
      if (array.get(i) instanceof Number number && Double.isFinite(number.doubleValue())) {
        out.add(number.doubleValue());
      } else {
        mismatch(key, "numbers", array.get(i));
      }
    }
    return out;
  }

  /** Returns an array of integers; null if absent. */
  public List<Integer> integers(String key, int min, int max) {
    Object value = value(key);
    if (value == null) {
      return null;
    }
    List<Integer> out = new ArrayList<>();
    if (!(value instanceof List<?> array)) {
      mismatch(key, "an array of whole numbers", value);
      return out;
    }
    for (int i = 0; i < array.size(); i++) {
      if (array.get(i) instanceof Long number && number >= min && number <= max) {
        out.add(number.intValue());
      } else {
        mismatch(key, "whole numbers from " + min + " to " + max, array.get(i));
      }
    }
    return out;
  }

  /** Safe, as every key of a document's tables is a string. */
  @SuppressWarnings("unchecked")
  private static Map<String, ?> tableOf(Map<?, ?> table) {
    return (Map<String, ?>) table;
  }

  /** Returns a table; an empty one if absent. */
  Section tableOrEmpty(String key) {
    Section inner = table(key);
    return inner == null ? new Section(document, Map.of(), path.key(key), faults) : inner;
  }

  /** Returns a table; null if absent. */
  public Section table(String key) {
    Object value = value(key);
    if (value instanceof Map<?, ?> inner) {
      return new Section(document, tableOf(inner), path.key(key), faults);
    }
    if (value != null) {
      mismatch(key, "a table", value);
    }
    return null;
  }

  /** Returns the tables of a table by name, in the order of the file. */
  Map<String, Section> tablesByName(String key) {
    Map<String, Section> out = new LinkedHashMap<>();
    Section outer = table(key);
    if (outer != null) {
      for (String name : outer.table.keySet()) {
        Section inner = outer.table(name);
        if (inner != null) {
          out.put(name, inner);
        }
      }
    }
    return out;
  }

  /** Returns the keys and string values of a table such as {@code headers}. */
  Map<String, String> textTable(String key) {
    Map<String, String> out = new LinkedHashMap<>();
    Section inner = table(key);
    if (inner != null) {
      for (String name : inner.table.keySet()) {
        String text = inner.text(name, null);
        if (text != null) {
          out.put(name, text);
        }
      }
    }
    return out;
  }

  /** Returns an array of tables; empty if absent. */
  public List<Section> tables(String key) {
    List<Section> out = new ArrayList<>();
    Object value = value(key);
    if (value instanceof List<?> array) {
      for (int i = 0; i < array.size(); i++) {
        if (array.get(i) instanceof Map<?, ?> inner) {
          out.add(new Section(document, tableOf(inner), path.key(key).element(i), faults));
        } else {
          mismatch(key, "tables", array.get(i));
        }
      }
    } else if (value != null) {
      mismatch(key, "an array of tables", value);
    }
    return out;
  }

  /** Reports each key that was never read, with the most similar known key. */
  public void reportUnknownKeys() {
    for (String key : table.keySet()) {
      if (!known.contains(key)) {
        addFault(
            key,
            "unknown key" + (known.isEmpty() ? "" : ", the nearest known one is " + nearest(key)));
      }
    }
  }

  private String nearest(String key) {
    String best = "";
    int min = Integer.MAX_VALUE;
    for (String candidate : known) {
      int distance = distance(key, candidate);
      if (distance < min) {
        min = distance;
        best = candidate;
      }
    }
    return best;
  }

  /** Returns the Levenshtein distance; long keys are cut to bound the work. */
  private static int distance(String one, String other) {
    String a = one.length() > 64 ? one.substring(0, 64) : one;
    int[] row = new int[other.length() + 1];
    for (int j = 0; j < row.length; j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j < row.length; j++) {
        int change = diagonal + (a.charAt(i - 1) == other.charAt(j - 1) ? 0 : 1);
        diagonal = row[j];
        row[j] = Math.min(change, Math.min(row[j], row[j - 1]) + 1);
      }
    }
    return row[row.length - 1];
  }
}
