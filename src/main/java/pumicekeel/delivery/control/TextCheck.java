package pumicekeel.delivery.control;

import java.util.List;

/** Checks a whole configuration before a control machine keeps it. */
@FunctionalInterface
public interface TextCheck {

  /** Returns every fault of a text, one line each; empty if it may be published. May take long. */
  List<String> faults(String text);
}
