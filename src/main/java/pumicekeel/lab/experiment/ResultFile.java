package pumicekeel.lab.experiment;

import java.io.Closeable;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A file of results, a line each, written as they come. A run that was killed may have left half a line: it is cut off when the file is
 * opened again, and that run is played again. A line that is whole and no result is a mistake, and the file is left alone.
 */
public final class ResultFile implements Closeable {

  private final RandomAccessFile out;
  private final List<Result> before;
  private final boolean cut;

  private ResultFile(RandomAccessFile out, List<Result> before, boolean cut) {
    this.out = out;
    this.before = before;
    this.cut = cut;
  }

  /** Opens a file to go on with, or a new one. */
  public static ResultFile open(Path file) throws IOException {
    byte[] bytes = Files.exists(file) ? Files.readAllBytes(file) : new byte[0];
    int whole = bytes.length;
    while (whole > 0 && bytes[whole - 1] != '\n') {
      whole--;
    }
    List<Result> before = lines(file, new String(bytes, 0, whole, StandardCharsets.UTF_8));
    RandomAccessFile out = new RandomAccessFile(file.toFile(), "rw");
    out.setLength(whole);
    out.seek(whole);
    return new ResultFile(out, before, whole < bytes.length);
  }

  /** Reads all whole lines of a file. */
  public static List<Result> read(Path file) throws IOException {
    if (!Files.isRegularFile(file)) {
      throw new IOException(file + ": expected a file of results, found none");
    }
    String text = Files.readString(file);
    return lines(file, text.substring(0, text.lastIndexOf('\n') + 1));
  }

  private static List<Result> lines(Path file, String text) throws IOException {
    List<Result> out = new ArrayList<>();
    int number = 0;
    for (String line : text.lines().toList()) {
      number++;
      try {
        out.add(Result.of(line));
      } catch (IOException e) {
        throw new IOException(file + ":" + number + ": expected a result: "
            + String.valueOf(e.getMessage()).replace('\n', ' '));
      }
    }
    return out;
  }

  /** What it held when it was opened. */
  public List<Result> before() {
    return before;
  }

  /** Whether half a line was cut off. */
  public boolean cut() {
    return cut;
  }

  /** Adds a line; by one thread at a time. */
  void add(Result result) throws IOException {
    out.write((result.line() + "\n").getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void close() throws IOException {
    out.close();
  }
}
