package pumicekeel.delivery.control;

import java.util.List;

/** Checks a whole configuration before a control machine keeps it. */
@FunctionalInterface
public interface TextCheck {

  /** Every fault of a text, a line each; empty where it may be published. May take long. */
  List<String> faults(String text);
}
