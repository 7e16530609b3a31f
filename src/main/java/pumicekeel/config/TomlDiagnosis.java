package pumicekeel.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import java.io.IOException;
import java.io.Reader;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the syntax errors of a text that is not valid TOML. The library stops at the first error; parsing resumes at the next
 * table header after it, as compilers do, so that one pass reports several.
 */
final class TomlDiagnosis {

  /** Later faults are mostly consequences of earlier ones, which have to be fixed first. */
  private static final int MAX_FAULTS = 20;

  /** The library's messages quote the offending text at any length. */
  private static final int MAX_MESSAGE_CHARS = 160;
  /** Length of the date in a date-time; the parser may have rewritten the separator after it. */
  private static final int DATE_CHARS = 10;

  private static final String KEY = "TOML";
  /** Where parsing resumes: a table header at the start of a line, not the bracket of a nested array. */
  private static final Pattern HEADER =
      Pattern.compile("^\\[\\[?[ \\t]*[A-Za-z_\"'-]", Pattern.MULTILINE);
  /** Messages of faults that the library reports only after it has read the following token. */
  private static final List<String> REPORTED_AFTER_NEXT_TOKEN =
      List.of("Unexpected token", "Duplicate key", "Invalid number representation");
  /** Messages of faults about a key that was defined before. */
  private static final List<String> DUPLICATE_KEY_MESSAGES =
      List.of("Duplicate key", "Table redefined");

  private TomlDiagnosis() {}

  /** Returns the faults in the order of their lines, at least one. */
  static List<Fault> of(String text) {
    List<Fault> faults = new ArrayList<>();
    int linesBefore = 0;
    String rest = text;
    while (rest != null && faults.size() < MAX_FAULTS) {
      Fault fault = firstFault(rest);
      if (fault == null) {
        break;
      }
      faults.add(new Fault(linesBefore + fault.line(), fault.key(), fault.expected()));
      int next = headerAfter(rest, fault.line());
      linesBefore += next < 0 ? 0 : linesBefore(rest, next);
      rest = next < 0 ? null : rest.substring(next);
    }
    return faults;
  }

  /** Returns the first fault of a text, or null. */
  private static Fault firstFault(String text) {
    LineReader reader = new LineReader(text);
    try {
      TomlDocument.parse(reader);
      return null;
    } catch (TomlDocument.NestingException e) {
      return nestingFault(KeyLines.of(text).tooDeepLine());
    } catch (StreamConstraintsException e) {
      return nestingFault(reader.line());
    } catch (JsonProcessingException e) {
      return fromParserException(text, e, reader.line());
    } catch (DateTimeParseException e) {
      return fault(lineOfDate(text, reader.line(), e.getParsedString()), "an existing date");
    } catch (IOException | RuntimeException | AssertionError e) {
      return fault(reader.line(), "text that can be read");
    }
  }

  private static Fault fromParserException(String text, JsonProcessingException e, int lineRead) {
    String message = e.getOriginalMessage();
    KeyLines.DuplicateKey duplicate = DUPLICATE_KEY_MESSAGES.stream().anyMatch(message::startsWith)
        ? KeyLines.of(text).duplicateKey()
        : null;
    if (duplicate != null) {
      return new Fault(
          duplicate.line(),
          duplicate.path(),
          "expected each key once, this one stands on line " + duplicate.firstLine() + " already");
    }
    JsonLocation at = e.getLocation();
    if (at == null) {
      return fault(lineRead, message);
    }
    boolean reportedLate = REPORTED_AFTER_NEXT_TOKEN.stream().anyMatch(message::startsWith);
    return fault(
        reportedLate ? lineOfTokenBefore(text, at.getLineNr(), at.getColumnNr()) : at.getLineNr(),
        message);
  }

  private static Fault nestingFault(int line) {
    return fault(line, "less nesting, at most " + TomlDocument.MAX_NESTING + " deep");
  }

  private static Fault fault(int line, String why) {
    String cut =
        why.length() > MAX_MESSAGE_CHARS ? why.substring(0, MAX_MESSAGE_CHARS) + "..." : why;
    return new Fault(line, KEY, "expected TOML 1.0: " + cut);
  }

  /** Returns the line of the last token before a position: the position's own line if a token precedes it there. */
  private static int lineOfTokenBefore(String text, int line, int column) {
    String[] lines = text.split("\n", line + 1);
    String own = line > lines.length ? "" : lines[line - 1];
    if (!own.substring(0, Math.min(own.length(), column - 1)).isBlank()) {
      return line;
    }
    for (int i = Math.min(line - 1, lines.length) - 1; i >= 0; i--) {
      String content = lines[i].strip();
      if (!content.isEmpty() && !content.startsWith("#")) {
        return i + 1;
      }
    }
    return line;
  }

  /** Returns the line of a date, which is reported after its following token: the last line read or one before it. */
  private static int lineOfDate(String text, int lineRead, String date) {
    String start = date.substring(0, Math.min(date.length(), DATE_CHARS));
    String last = text.split("\n", lineRead + 1)[lineRead - 1];
    return last.contains(start) ? lineRead : lineOfTokenBefore(text, lineRead, 1);
  }

  /** Returns the offset of the first header after a line, or -1. */
  private static int headerAfter(String text, int line) {
    int at = 0;
    for (int i = 0; i < line && at >= 0; i++) {
      at = text.indexOf('\n', at) + 1;
      if (at == 0) {
        return -1;
      }
    }
    Matcher header = HEADER.matcher(text);
    return header.find(at) ? header.start() : -1;
  }

  private static int linesBefore(String text, int end) {
    return (int) text.substring(0, end).chars().filter(c -> c == '\n').count();
  }

  /** Supplies one line at a time: an error that the library reports without a location is on the last line supplied. */
  private static final class LineReader extends Reader {
    private final String text;
    private int at;
    private int line;

    private LineReader(String text) {
      this.text = text;
    }

    /** Returns the number of the line supplied last, from 1. */
    int line() {
      return Math.max(1, line);
    }

    @Override
    public int read(char[] out, int from, int length) {
      if (at == text.length()) {
        return -1;
      }
      if (at == 0 || text.charAt(at - 1) == '\n') {
        line++;
      }
      int end = text.indexOf('\n', at);
      int size = Math.min(length, (end < 0 ? text.length() : end + 1) - at);
      text.getChars(at, at + size, out, from);
      at += size;
      return size;
    }

    @Override
    public void close() {
      // There is nothing to close.
    }
  }
}
