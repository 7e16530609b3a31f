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
 * element of an array of tables stay with their element. Implements only the TOML syntax needed for this: a text that is not
 * valid TOML is split as well, without an error.
 */
final class DocumentSplitter {

  private static final Pattern NAME_LINE =
      Pattern.compile("(?m)^[ \\t]*name[ \\t]*=[ \\t]*(\"[^\"\\n]*\"|'[^'\\n]*')");

  private final String text;
  private final List<Entry> entries = new ArrayList<>();
  private final Map<String, Integer> keyCounts = new HashMap<>();

  private DocumentSplitter(String text) {
    this.text = text;
  }

  /** Returns the entries of a text, which make up the whole text when joined. */
  static List<Entry> split(String text) {
    return new DocumentSplitter(text).split();
  }

  private List<Entry> split() {
    String header = "";
    int start = 0;
    int line = 0;
    while (line < text.length()) {
      int contentStart = skipBlanks(line);
      boolean isHeader = contentStart < text.length() && text.charAt(contentStart) == '[';
      int next = isHeader ? endOfPhysicalLine(contentStart) : endOfLogicalLine(contentStart);
      if (isHeader) {
        String nextHeader = headerAt(contentStart, next);
        if (!belongsTo(nextHeader, header)) {
          add(header, start, line);
          header = nextHeader;
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
    int occurrence = keyCounts.merge(key, 1, Integer::sum);
    entries.add(new Entry(occurrence == 1 ? key : key + " ~" + occurrence, block));
  }

  /** Returns what identifies an element of an array of tables: its name, or the hash of its text if it has none. */
  private static String elementName(String block) {
    Matcher name = NAME_LINE.matcher(block);
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
    String elementPath = pathOf(element);
    String headerPath = pathOf(header);
    return headerPath.length() > elementPath.length()
        && headerPath.startsWith(elementPath)
        && headerPath.charAt(elementPath.length()) == '.';
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
    String tripleQuote = String.valueOf(quote).repeat(3);
    boolean isMultiLine = text.startsWith(tripleQuote, from);
    int i = from + (isMultiLine ? 3 : 1);
    while (i < text.length()) {
      char c = text.charAt(i);
      if (c == '\\' && quote == '"') {
        i += 2;
      } else if (!isMultiLine && (c == quote || c == '\n')) {
        return c == quote ? i + 1 : i;
      } else if (isMultiLine && text.startsWith(tripleQuote, i)) {
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
