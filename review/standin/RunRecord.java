import java.io.Closeable;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each thing seen, with the milliseconds since the start. */
final class RunRecord implements Closeable {
  private final PrintWriter out;
  private final long startedAt = System.nanoTime();

  RunRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the seconds since the start. */
  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  void add(String text) {
    synchronized (out) {
      out.printf(Locale.ROOT, "%9.1f ms  %s%n", seconds() * 1000, text);
    }
  }

  /** Adds a line and shows it on standard output. */
  void say(String text) {
    add(text);
    System.out.printf(Locale.ROOT, "%7.1f s  %s%n", seconds(), text);
  }

  @Override
  public void close() {
    out.close();
  }
}
