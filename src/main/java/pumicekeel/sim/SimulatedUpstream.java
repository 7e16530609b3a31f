package pumicekeel.sim;

import java.util.ArrayList;
import java.util.List;
import pumicekeel.Balancer.Listed;
import pumicekeel.Balancer.State;

/** An upstream of {@link ModuleSim}, with the sends to it that count for its cold budget. */
final class SimulatedUpstream {

  final long id;
  final int cell;
  /** When instances sent to it that knew of its latest start. */
  final List<Long> sends = new ArrayList<>();
  /** Its latest start; 0 for one that was always warm. */
  long startedAt;

  State state = State.READY;
  /** Refuses connections. */
  boolean down;
  /** Takes requests and never answers. */
  boolean hung;

  SimulatedUpstream(long id, int cell) {
    this.id = id;
    this.cell = cell;
  }

  /** Its line in the list, as it stands now. */
  Listed listed() {
    return new Listed(id, "a", cell, state, startedAt, 1);
  }

  /** The part of its capacity that it has at a time. */
  double warmth(long at) {
    return startedAt == 0
        ? 1
        : Math.min(
            1,
            ModuleSimSettings.COLD_FROM
                + (1 - ModuleSimSettings.COLD_FROM)
                    * (at - startedAt)
                    / (double) ModuleSimSettings.WARM);
  }

  /** Sends in the window that begins at a time. */
  long sendsInWindow(long from) {
    return sends.stream()
        .filter(at -> at >= from && at < from + ModuleSimSettings.WINDOW)
        .count();
  }
}
