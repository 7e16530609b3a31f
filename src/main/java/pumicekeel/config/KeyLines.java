package pumicekeel.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Line numbers of all keys and array elements of a TOML text. The scan only finds where values begin and assumes valid TOML:
 * it stops at a syntax error, and keys after that have no line of their own. Quoted keys are compared as written, so a key
 * with escapes is reported with the line of its table.
 */
final class KeyLines {

  /** A key that is defined twice: its path, its line and the line of the first definition. */
  record DuplicateKey(String path, int line, int firstLine) {}

  /** A value and, for a table or an array, its children. */
  private static final class Entry {
    private final int line;
    private final int depth;
    private final Map<String, Entry> keys = new HashMap<>(2);
    private final List<Entry> elements = new ArrayList<>(0);
    /** Whether a header or a value defines it, not only a part of a dotted key. */
    private boolean defined;

    private Entry(int line, int depth) {
      this.line = line;
      this.depth = depth;
    }
  }

  private static final char END_OF_TEXT = '\0';

  private final String text;
  private final Entry root = new Entry(1, 0);
  private int at;
  private int line = 1;
  private boolean malformed;
  private int tooDeepLine;
  private DuplicateKey duplicate;

  private KeyLines(String text) {
    this.text = text;
  }

  /** Scans a whole text. */
  static KeyLines of(String text) {
    KeyLines lines = new KeyLines(text);
    lines.document();
    return lines;
  }

  /** Returns the line of the value at a path, or of its nearest enclosing value that exists. */
  int lineOf(KeyPath path) {
    for (KeyPath p = path; p != null; p = p.parent()) {
      Entry entry = find(p);
      if (entry != null) {
        return entry.line;
      }
    }
    return root.line;
  }

  /** Returns the first line on which a value is nested too deeply; 1 if there is none. */
  int tooDeepLine() {
    return Math.max(1, tooDeepLine);
  }

  /** Returns the first key that is defined twice, or null. */
  DuplicateKey duplicateKey() {
    return duplicate;
  }

  private Entry find(KeyPath path) {
    if (path.parent() == null) {
      return root;
    }
    Entry outer = find(path.parent());
    if (outer == null) {
      return null;
    }
    if (path.key() != null) {
      return outer.keys.get(path.key());
    }
    return path.index() < outer.elements.size() ? outer.elements.get(path.index()) : null;
  }

  // Statements

  private void document() {
    Entry table = root;
    skipBlank();
    while (!malformed && at < text.length()) {
      if (peek() == '[') {
        table = header();
      } else {
        keyAndValue(table);
      }
      skipBlank();
    }
  }

  private Entry header() {
    int start = line;
    advance();
    boolean array = consume('[');
    List<String> parts = keyParts();
    malformed |= !consume(']') || array && !consume(']');
    Entry outer = outerOf(root, parts);
    Entry entry = child(outer, parts.get(parts.size() - 1), start);
    if (array) {
      return element(entry, start);
    }
    define(entry, parts, start);
    return entry;
  }

  private void keyAndValue(Entry table) {
    int start = line;
    List<String> parts = keyParts();
    malformed |= !consume('=');
    if (malformed) {
      return;
    }
    Entry entry = child(outerOf(table, parts), parts.get(parts.size() - 1), start);
    define(entry, parts, start);
    value(entry);
  }

  private void define(Entry entry, List<String> parts, int start) {
    if (entry.defined && duplicate == null) {
      duplicate = new DuplicateKey(String.join(".", parts), start, entry.line);
    }
    entry.defined = true;
  }

  /** Returns the table that contains the last part of a dotted key; in an array of tables, its last element. */
  private Entry outerOf(Entry table, List<String> parts) {
    Entry outer = table;
    for (String part : parts.subList(0, parts.size() - 1)) {
      outer = child(outer, part, line);
      if (!outer.elements.isEmpty()) {
        outer = outer.elements.get(outer.elements.size() - 1);
      }
    }
    return outer;
  }

  private Entry child(Entry table, String key, int start) {
    return table.keys.computeIfAbsent(key, k -> entry(start, table.depth + 1));
  }

  private Entry element(Entry array, int start) {
    Entry entry = entry(start, array.depth + 1);
    array.elements.add(entry);
    return entry;
  }

  private Entry entry(int start, int depth) {
    if (depth > TomlDocument.MAX_NESTING && tooDeepLine == 0) {
      tooDeepLine = start;
      // Deeper values are never looked up, and stopping here bounds the stack.
      malformed = true;
    }
    return new Entry(start, depth);
  }

  private List<String> keyParts() {
    List<String> parts = new ArrayList<>();
    do {
      skipSpaces();
      parts.add(keyPart());
      skipSpaces();
    } while (!malformed && consume('.'));
    return parts;
  }

  private String keyPart() {
    int start = at;
    if (peek() == '"' || peek() == '\'') {
      skipText();
      return at - start < 2 ? "" : text.substring(start + 1, at - 1);
    }
    while (isBare(peek())) {
      at++;
    }
    malformed |= at == start;
    return text.substring(start, at);
  }

  private static boolean isBare(char c) {
    return c >= 'a' && c <= 'z'
        || c >= 'A' && c <= 'Z'
        || c >= '0' && c <= '9'
        || c == '-'
        || c == '_';
  }

  // Values

  private void value(Entry entry) {
    skipSpaces();
    switch (peek()) {
      case '"', '\'' -> skipText();
      case '[' -> array(entry);
      case '{' -> inlineTable(entry);
      default -> skipScalar();
    }
  }

  private void array(Entry array) {
    advance();
    skipBlank();
    while (!malformed && !consume(']')) {
      value(element(array, line));
      skipBlank();
      malformed |= !consume(',') && peek() != ']';
      skipBlank();
    }
  }

  private void inlineTable(Entry table) {
    advance();
    skipBlank();
    while (!malformed && !consume('}')) {
      keyAndValue(table);
      skipBlank();
      malformed |= !consume(',') && peek() != '}';
      skipBlank();
    }
  }

  private void skipScalar() {
    while (at < text.length() && ",]}#\n".indexOf(peek()) < 0) {
      at++;
    }
  }

  /** Skips a string of any of TOML's four kinds with its quotes. */
  private void skipText() {
    char quote = peek();
    boolean multiLine = text.startsWith(String.valueOf(quote).repeat(3), at);
    int quotes = multiLine ? 3 : 1;
    at += quotes;
    while (at < text.length() && !closesText(quote, quotes)) {
      if (peek() == '\\' && quote == '"') {
        advance();
      }
      if (!multiLine && peek() == '\n') {
        malformed = true;
        return;
      }
      advance();
    }
    at = Math.min(text.length(), at + quotes);
    while (multiLine && peek() == quote) {
      // Up to two quotes may precede the three that close the string.
      at++;
    }
  }

  private boolean closesText(char quote, int quotes) {
    for (int i = 0; i < quotes; i++) {
      if (at + i >= text.length() || text.charAt(at + i) != quote) {
        return false;
      }
    }
    return true;
  }

  // Characters

  private char peek() {
    return at < text.length() ? text.charAt(at) : END_OF_TEXT;
  }

  private boolean consume(char c) {
    if (at < text.length() && text.charAt(at) == c) {
      at++;
      return true;
    }
    return false;
  }

  private void advance() {
    if (peek() == '\n') {
      line++;
    }
    at = Math.min(text.length(), at + 1);
  }

  private void skipSpaces() {
    while (peek() == ' ' || peek() == '\t') {
      at++;
    }
  }

  /** Skips whitespace, line ends and comments. */
  private void skipBlank() {
    while (at < text.length()) {
      char c = peek();
      if (c == '#') {
        while (at < text.length() && peek() != '\n') {
          at++;
        }
      } else if (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
        advance();
      } else {
        return;
      }
    }
  }
}
