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
 * A file of results with one line each, appended as the runs end. A process that was killed may leave an incomplete last line, which is
 * removed when the file is opened again; its run is repeated. A complete line that is not a result is an error, and the file is not
 * changed.
 */
public final class ResultFile implements Closeable {

  private final RandomAccessFile out;
  private final List<Result> existing;
  private final boolean truncated;

  private ResultFile(RandomAccessFile out, List<Result> existing, boolean truncated) {
    this.out = out;
    this.existing = existing;
    this.truncated = truncated;
  }

  /** Opens an existing file to continue it, or creates a new one. */
  public static ResultFile open(Path file) throws IOException {
    byte[] bytes = Files.exists(file) ? Files.readAllBytes(file) : new byte[0];
    int completeLength = bytes.length;
    while (completeLength > 0 && bytes[completeLength - 1] != '\n') {
      completeLength--;
    }
    List<Result> existing =
        parseLines(file, new String(bytes, 0, completeLength, StandardCharsets.UTF_8));
    RandomAccessFile out = new RandomAccessFile(file.toFile(), "rw");
    out.setLength(completeLength);
    out.seek(completeLength);
    return new ResultFile(out, existing, completeLength < bytes.length);
  }

  /** Reads all complete lines of a file. */
  public static List<Result> read(Path file) throws IOException {
    if (!Files.isRegularFile(file)) {
      throw new IOException(file + ": expected a file of results, found none");
    }
    String text = Files.readString(file);
    return parseLines(file, text.substring(0, text.lastIndexOf('\n') + 1));
  }

  private static List<Result> parseLines(Path file, String text) throws IOException {
    List<Result> out = new ArrayList<>();
    int lineNumber = 0;
    for (String line : text.lines().toList()) {
      lineNumber++;
      try {
        out.add(Result.of(line));
      } catch (IOException e) {
        throw new IOException(file + ":" + lineNumber + ": expected a result: "
            + String.valueOf(e.getMessage()).replace('\n', ' '));
      }
    }
    return out;
  }

  /** Returns the results that the file contained when it was opened. */
  public List<Result> existing() {
    return existing;
  }

  /** Returns whether an incomplete last line was removed. */
  public boolean truncated() {
    return truncated;
  }

  /** Appends a result. Not thread-safe. */
  void add(Result result) throws IOException {
    out.write((result.line() + "\n").getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void close() throws IOException {
    out.close();
  }
}
