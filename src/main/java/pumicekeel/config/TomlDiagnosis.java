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
 * What is wrong with a text that is no TOML. The library stops at the first fault; reading goes on at the next table
 * header behind it, as compilers do, so that one reading finds more than one.
 */
final class TomlDiagnosis {

  /** The first ones are mended first; what comes behind so many is mostly their consequence. */
  private static final int MAX_FAULTS = 20;

  /** The library's messages repeat what they are about, whatever its length. */
  private static final int MAX_MESSAGE_CHARS = 160;
  /** Of a date and time; what stands between the two may have been rewritten. */
  private static final int DATE_CHARS = 10;

  private static final String KEY = "TOML";
  /** Where reading goes on: a header at the start of a line, not the bracket of an array in an array. */
  private static final Pattern HEADER =
      Pattern.compile("^\\[\\[?[ \\t]*[A-Za-z_\"'-]", Pattern.MULTILINE);
  /** Messages of faults that the library notices only after it has read the token behind them. */
  private static final List<String> REPORTED_AFTER_NEXT_TOKEN =
      List.of("Unexpected token", "Duplicate key", "Invalid number representation");
  /** Messages of faults that are about a key which came before. */
  private static final List<String> DUPLICATE_KEY_MESSAGES =
      List.of("Duplicate key", "Table redefined");

  private TomlDiagnosis() {}

  /** The faults in the order of the lines, at least one. */
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

  /** The first fault of a text; null where it has none. */
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
      return fault(lineOfDate(text, reader.line(), e.getParsedString()), "a date that there is");
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

  /** The line of the last token before a place: that place's line where something else stands before it there. */
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

  /** The line of a date, which is noticed after the token behind it: the last line read, or one before it. */
  private static int lineOfDate(String text, int lineRead, String date) {
    String start = date.substring(0, Math.min(date.length(), DATE_CHARS));
    String last = text.split("\n", lineRead + 1)[lineRead - 1];
    return last.contains(start) ? lineRead : lineOfTokenBefore(text, lineRead, 1);
  }

  /** Where the first header behind a line begins; -1 for none. */
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

  /** Hands out one line at a time: what the library breaks at without saying where is on the last one. */
  private static final class LineReader extends Reader {
    private final String text;
    private int at;
    private int line;

    private LineReader(String text) {
      this.text = text;
    }

    /** The line handed out last, from 1. */
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
      // Nothing is held open.
    }
  }
}
