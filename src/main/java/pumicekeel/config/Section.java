package pumicekeel.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A table of a TOML file with checked access to its keys. Every fault is noted and reading goes on with the default, so
 * that one reading finds all of them; {@link #reportUnknownKeys} notes the keys that nobody asked for.
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

  /** The root of a file's text; null, with the faults noted, where it is no TOML. */
  public static Section parse(String text, List<Fault> faults) {
    TomlDocument document = TomlDocument.parse(text, faults);
    return document == null ? null : new Section(document, document.root(), KeyPath.ROOT, faults);
  }

  /** The keys that the table has. */
  public Set<String> keys() {
    known.addAll(table.keySet());
    return Collections.unmodifiableSet(table.keySet());
  }

  /** Where the table itself stands. */
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

  /** Whether a key holds a value of this kind. */
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

  /** A text that has to be there. */
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

  /** One text or an array of them; null where it is absent. */
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

  /** An array of numbers; empty where there is none. */
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

  /** An array of whole numbers; null where it is absent. */
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

  /** Every key of a document's tables is a text. */
  @SuppressWarnings("unchecked")
  private static Map<String, ?> tableOf(Map<?, ?> table) {
    return (Map<String, ?>) table;
  }

  /** A table; an empty one where it is absent. */
  Section tableOrEmpty(String key) {
    Section inner = table(key);
    return inner == null ? new Section(document, Map.of(), path.key(key), faults) : inner;
  }

  /** A table; null where it is absent. */
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

  /** A table of tables, by their names in the order of the file. */
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

  /** The keys and texts of a table such as {@code headers}. */
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

  /** An array of tables; empty where it is absent. */
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

  /** Notes each key that was never asked for, with the nearest one that is known. */
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

  /** Levenshtein distance; keys of files are short, but their length is cut all the same. */
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
