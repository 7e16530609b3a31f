package pumicekeel.node;

import java.util.ArrayList;
import java.util.List;
import pumicekeel.config.Fault;
import pumicekeel.config.Operator;
import pumicekeel.config.OperatorReader;

/**
 * Reads a delivered configuration: an operator file without what belongs to one process. {@code [process]}, {@code [journal]}, {@code
 * [peers]} and {@code [control]} count at a start only and differ between processes, so a delivered text may not have them: a setting that
 * looks published must be in force.
 */
public final class DeliveredOperator {

  /** What a text that has no file is called in its faults. */
  public static final String DELIVERED = "configuration";

  private DeliveredOperator() {}

  /** What a text came to: an operator, or faults, a line each. */
  record Result(Operator operator, List<String> faults) {}

  /** Every fault of a text that is to be published, as {@code FILE:LINE: KEY: what was expected}. */
  public static List<String> faults(String file, String text) {
    return read(file, text).faults();
  }

  private static Result read(String file, String text) {
    OperatorReader.Result result = OperatorReader.read(text);
    if (result.operator() == null) {
      return new Result(null, result.faults().stream().map(f -> f.in(file)).toList());
    }
    List<String> faults = new ArrayList<>();
    Operator operator = result.operator();
    Operator.Process process = operator.process();
    refuse(faults, file, "process", !process.equals(new Operator.Process(null, null, null, null)));
    refuse(faults, file, "journal", operator.journal() != null);
    refuse(faults, file, "peers", !operator.peers().addresses().isEmpty());
    refuse(faults, file, "control", operator.control() != null);
    return new Result(faults.isEmpty() ? operator : null, faults);
  }

  private static void refuse(List<String> faults, String file, String table, boolean isThere) {
    if (isThere) {
      faults.add(new Fault(
              1,
              table,
              "expected only in the operator file of each process, not in a"
                  + " delivered configuration")
          .in(file));
    }
  }

  /** Reads a text for a process whose own file says the rest. */
  static Result read(String text, Operator local) {
    Result delivered = read(DELIVERED, text);
    if (delivered.operator() == null) {
      return delivered;
    }
    Operator next = delivered.operator();
    Operator merged = new Operator(
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
