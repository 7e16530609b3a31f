package pumicekeel.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import pumicekeel.config.OperatorFile;
import pumicekeel.node.DeliveredOperator;

/** Reads a file for publication and checks it like a control machine does. */
final class ConfigFile {

  private ConfigFile() {}

  /** Returns the text, or null if it is invalid, after printing its faults. */
  static String read(Path file, PrintWriter err) {
    String text;
    try {
      text = OperatorFile.read(file);
    } catch (OperatorFile.UnreadableFileException e) {
      err.println(file + ":1: file: " + e.getMessage());
      return null;
    }
    List<String> faults = DeliveredOperator.faults(file.toString(), text);
    faults.forEach(err::println);
    return faults.isEmpty() ? text : null;
  }
}
