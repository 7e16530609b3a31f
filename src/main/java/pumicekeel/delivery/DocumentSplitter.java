package pumicekeel.delivery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pumicekeel.delivery.ConfigurationDocument.Entry;

/**
 * Splits the text of a TOML document at its table headers. Brackets within strings and arrays are not headers, and the sub-tables of an
 * element of an array of tables stay with their element. Implements only the TOML syntax needed for this; any other text is split too.
 */
final class DocumentSplitter {

  private static final Pattern NAME =
      Pattern.compile("(?m)^[ \\t]*name[ \\t]*=[ \\t]*(\"[^\"\\n]*\"|'[^'\\n]*')");

  private final String text;
  private final List<Entry> entries = new ArrayList<>();
  private final Map<String, Integer> uses = new HashMap<>();

  private DocumentSplitter(String text) {
    this.text = text;
  }

  static List<Entry> split(String text) {
    return new DocumentSplitter(text).split();
  }

  private List<Entry> split() {
    String header = "";
    int start = 0;
    int line = 0;
    while (line < text.length()) {
      int first = skipBlanks(line);
      boolean isHeader = first < text.length() && text.charAt(first) == '[';
      int next = isHeader ? endOfPhysicalLine(first) : endOfLogicalLine(first);
      if (isHeader) {
        String found = headerAt(first, next);
        if (!belongsTo(found, header)) {
          add(header, start, line);
          header = found;
          start = line;
        }
      }
      line = next;
    }
    add(header, start, text.length());
    return entries;
  }

  private void add(String header, int start, int end) {
    String block = text.substring(start, end);
    String key = header.startsWith("[[") ? header + " " + elementName(block) : header;
    int use = uses.merge(key, 1, Integer::sum);
    entries.add(new Entry(use == 1 ? key : key + " ~" + use, block));
  }

  /** Returns what identifies an element of an array of tables: its name, or the hash of its text if it has none. */
  private static String elementName(String block) {
    Matcher name = NAME.matcher(block);
    return name.find() ? name.group(1) : Integer.toHexString(block.hashCode());
  }

  /** Returns the header with its brackets. */
  private String headerAt(int from, int lineEnd) {
    int i = from;
    while (i < lineEnd && text.charAt(i) != '#' && text.charAt(i) != '\n') {
      i = isQuote(text.charAt(i)) ? endOfString(i) : i + 1;
    }
    return text.substring(from, Math.min(i, lineEnd)).strip();
  }

  /** Whether a header is that of a sub-table of the element begun by another header. */
  private static boolean belongsTo(String header, String element) {
    if (!element.startsWith("[[")) {
      return false;
    }
    String path = pathOf(element);
    String own = pathOf(header);
    return own.length() > path.length() && own.startsWith(path) && own.charAt(path.length()) == '.';
  }

  /** Returns a header without its brackets. */
  private static String pathOf(String header) {
    int start = 0;
    int end = header.length();
    while (start < end && (header.charAt(start) == '[' || header.charAt(start) == ' ')) {
      start++;
    }
    while (end > start && (header.charAt(end - 1) == ']' || header.charAt(end - 1) == ' ')) {
      end--;
    }
    return header.substring(start, end);
  }

  private int skipBlanks(int from) {
    int i = from;
    while (i < text.length() && (text.charAt(i) == ' ' || text.charAt(i) == '\t')) {
      i++;
    }
    return i;
  }

  private int endOfPhysicalLine(int from) {
    int end = text.indexOf('\n', from);
    return end < 0 ? text.length() : end + 1;
  }

  /** Returns the end of a key-value pair, whose strings and brackets may span lines. */
  private int endOfLogicalLine(int from) {
    int depth = 0;
    int i = from;
    while (i < text.length()) {
      char c = text.charAt(i);
      if (c == '\n' && depth == 0) {
        return i + 1;
      }
      if (c == '[' || c == '{') {
        depth++;
      } else if (c == ']' || c == '}') {
        depth = Math.max(0, depth - 1);
      }
      if (isQuote(c)) {
        i = endOfString(i);
      } else if (c == '#') {
        i = endOfComment(i);
      } else {
        i++;
      }
    }
    return text.length();
  }

  private int endOfComment(int from) {
    int end = text.indexOf('\n', from);
    return end < 0 ? text.length() : end;
  }

  private static boolean isQuote(char c) {
    return c == '"' || c == '\'';
  }

  private int endOfString(int from) {
    char quote = text.charAt(from);
    String longQuote = String.valueOf(quote).repeat(3);
    boolean isLong = text.startsWith(longQuote, from);
    int i = from + (isLong ? 3 : 1);
    while (i < text.length()) {
      char c = text.charAt(i);
      if (c == '\\' && quote == '"') {
        i += 2;
      } else if (!isLong && (c == quote || c == '\n')) {
        return c == quote ? i + 1 : i;
      } else if (isLong && text.startsWith(longQuote, i)) {
        return endOfQuotes(i + 3, quote);
      } else {
        i++;
      }
    }
    return text.length();
  }

  /** Skips up to two quotes directly before the three that end a multi-line string. */
  private int endOfQuotes(int from, char quote) {
    int i = from;
    while (i < text.length() && i < from + 2 && text.charAt(i) == quote) {
      i++;
    }
    return i;
  }
}
