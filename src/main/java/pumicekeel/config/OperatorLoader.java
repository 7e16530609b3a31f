package pumicekeel.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Reads and checks an operator file; returns one generation of settings or reports every fault. Blocks. */
public final class OperatorLoader {

  /** Thrown for an operator file with faults; none of its settings apply. */
  public static final class InvalidFileException extends IOException {
    private static final long serialVersionUID = 1L;
    private final transient List<String> lines;

    InvalidFileException(List<String> lines) {
      super(lines.get(0) + (lines.size() > 1 ? " (and " + (lines.size() - 1) + " more)" : ""));
      this.lines = lines;
    }

    /** Returns the faults as {@code FILE:LINE: KEY: EXPECTED}, in the order of the file. */
    public List<String> lines() {
      return lines;
    }
  }

  private OperatorLoader() {}

  public static OperatorConfiguration load(Path file) throws InvalidFileException {
    OperatorReader.Result result;
    try {
      result = OperatorReader.read(OperatorFile.read(file));
    } catch (OperatorFile.UnreadableFileException e) {
      throw new InvalidFileException(
          List.of(new Fault(1, "file", e.getMessage()).in(file.toString())));
    }
    if (!result.faults().isEmpty()) {
      throw new InvalidFileException(
          result.faults().stream().map(f -> f.in(file.toString())).toList());
    }
    return result.operator();
  }
}
