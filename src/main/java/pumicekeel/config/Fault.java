package pumicekeel.config;

/** A fault in a file: its line (from 1), its key and what was expected there. */
public record Fault(int line, String key, String expected) implements Comparable<Fault> {

  /** Returns the fault as a single line for operators. */
  public String in(String file) {
    String text = file + ":" + line + ": " + key + ": " + expected;
    return text.replace('\n', ' ').replace('\r', ' ');
  }

  @Override
  public int compareTo(Fault other) {
    return line != other.line ? Integer.compare(line, other.line) : key.compareTo(other.key);
  }
}
