package pumicekeel.node;

import java.util.ArrayList;
import java.util.List;
import pumicekeel.config.Fault;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.config.OperatorReader;

/**
 * Reads a delivered configuration: an operator file without the tables that belong to one process. {@code [process]}, {@code [journal]},
 * {@code [peers]} and {@code [control]} are read at the start only and differ between processes. A delivered text that has them is refused:
 * otherwise a setting could appear published without being in force.
 */
public final class DeliveredOperator {

  /** Name used in place of a file name in the faults of a delivered text. */
  public static final String DELIVERED = "configuration";

  private DeliveredOperator() {}

  /** The outcome of reading a text: an operator, or faults of one line each. */
  record Result(OperatorConfiguration operator, List<String> faults) {}

  /** Returns every fault of a text to be published, as {@code FILE:LINE: KEY: what was expected}. */
  public static List<String> faults(String file, String text) {
    return read(file, text).faults();
  }

  private static Result read(String file, String text) {
    OperatorReader.Result result = OperatorReader.read(text);
    if (result.operator() == null) {
      return new Result(null, result.faults().stream().map(f -> f.in(file)).toList());
    }
    List<String> faults = new ArrayList<>();
    OperatorConfiguration operator = result.operator();
    OperatorConfiguration.Process process = operator.process();
    refuse(
        faults,
        file,
        "process",
        !process.equals(new OperatorConfiguration.Process(null, null, null, null)));
    refuse(faults, file, "journal", operator.journal() != null);
    refuse(faults, file, "peers", !operator.peers().addresses().isEmpty());
    refuse(faults, file, "control", operator.control() != null);
    return new Result(faults.isEmpty() ? operator : null, faults);
  }

  private static void refuse(List<String> faults, String file, String table, boolean present) {
    if (present) {
      faults.add(new Fault(
              1,
              table,
              "expected only in the operator file of each process, not in a"
                  + " delivered configuration")
          .in(file));
    }
  }

  /** Reads a delivered text and adds the process's own tables from its local operator file. */
  static Result read(String text, OperatorConfiguration local) {
    Result delivered = read(DELIVERED, text);
    if (delivered.operator() == null) {
      return delivered;
    }
    OperatorConfiguration next = delivered.operator();
    OperatorConfiguration merged = new OperatorConfiguration(
        local.process(),
        next.listeners(),
        next.sources(),
        next.pools(),
        next.routes(),
        local.journal(),
        local.peers(),
        local.control());
    return new Result(merged, List.of());
  }
}
