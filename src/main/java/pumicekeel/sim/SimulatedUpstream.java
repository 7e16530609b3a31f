package pumicekeel.sim;

import java.util.ArrayList;
import java.util.List;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.State;

/** An upstream of {@link ModuleSim}, with the times of the requests that count against its cold budget. */
final class SimulatedUpstream {

  final long id;
  final int cell;
  /** Virtual times of requests from instances that knew of its latest start. */
  final List<Long> sends = new ArrayList<>();
  /** Time of its latest start; 0 if it was warm from the beginning. */
  long startedAt;

  State state = State.READY;
  /** Whether connections to it are refused. */
  boolean down;
  /** Whether it accepts requests and never answers them. */
  boolean hung;

  SimulatedUpstream(long id, int cell) {
    this.id = id;
    this.cell = cell;
  }

  /** Returns its current entry in the list. */
  ListedUpstream listed() {
    return new ListedUpstream(id, "a", cell, state, startedAt, 1);
  }

  /** Returns its warmth at a time, the share of its full capacity. */
  double warmth(long at) {
    return startedAt == 0
        ? 1
        : Math.min(
            1,
            ModuleSimSettings.COLD_FROM
                + (1 - ModuleSimSettings.COLD_FROM)
                    * (at - startedAt)
                    / (double) ModuleSimSettings.WARM_AFTER_NANOS);
  }

  /** Returns the number of requests sent to it in the window that starts at {@code from}. */
  long sendsInWindow(long from) {
    return sends.stream()
        .filter(at -> at >= from && at < from + ModuleSimSettings.COLD_WINDOW_NANOS)
        .count();
  }
}
