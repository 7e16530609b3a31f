package pumicekeel.sim;

import static pumicekeel.sim.ModuleSimSettings.COLD_BUDGET_MULTIPLE;
import static pumicekeel.sim.ModuleSimSettings.COLD_WINDOW_NANOS;
import static pumicekeel.sim.ModuleSimSettings.DEDUP_WINDOW_NANOS;
import static pumicekeel.sim.ModuleSimSettings.MS;
import static pumicekeel.sim.ModuleSimSettings.SECOND;
import static pumicekeel.sim.ModuleSimSettings.WARM_AFTER_NANOS;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import pumicekeel.Balancer.Effect;

/**
 * Checks the rules on what reaches the upstreams and the clients of {@link ModuleSim}: exactly one final answer per request, no
 * effect executed twice, nothing executed after a refusal, and no cold upstream overloaded. Keeps the first violation.
 */
final class RuleChecker {

  private final EventQueue queue;
  private final List<RequestRecord> requests = new ArrayList<>();
  private long served;
  private String fault;

  RuleChecker(EventQueue queue) {
    this.queue = queue;
  }

  /** Records a violation if {@code violated} is true and none was recorded before. */
  void recordIf(boolean violated, String violation) {
    fault = violated && fault == null ? violation + " at " + queue.now() / MS + " ms" : fault;
  }

  /** Returns the first violation, or null if there was none. */
  String fault() {
    return fault;
  }

  void add(RequestRecord request) {
    requests.add(request);
  }

  void countServed() {
    served++;
  }

  long requestCount() {
    return requests.size();
  }

  long servedCount() {
    return served;
  }

  /** Checks that an attempt of a request may start to run in a cell. */
  void checkRun(RequestRecord request, int cell) {
    Effect effect = request.requestClass.effect();
    request.runs++;
    recordIf(request.refused && effect != Effect.SAFE, "ran after a refusal");
    if (effect == Effect.UNSAFE) {
      recordIf(request.runs > 1, "an unsafe request ran twice");
    } else if (effect == Effect.KEYED) {
      checkKeyedRun(request, cell);
    }
  }

  private void checkKeyedRun(RequestRecord request, int cell) {
    Long before = request.ranAt.get(cell);
    recordIf(!request.ranAt.isEmpty() && before == null, "a keyed request ran in two cells");
    recordIf(
        before != null && queue.now() - before > DEDUP_WINDOW_NANOS + 2 * MS,
        "a keyed request ran again after the dedup window of its cell");
    request.ranAt.putIfAbsent(cell, queue.now());
  }

  /** Checks what is known only at the end of a run; {@code capacity} is that of an upstream in requests per second. */
  void checkAtEnd(Collection<SimulatedUpstream> upstreams, double capacity) {
    for (RequestRecord request : requests) {
      recordIf(!request.answered, "a request has no final answer");
      recordIf(
          request.refused && request.runs > 0 && request.requestClass.effect() != Effect.SAFE,
          "refused although it had run");
    }
    upstreams.forEach(upstream -> checkCold(upstream, capacity));
  }

  /** Checks that no window exceeds its budget, a multiple of the capacity at its start, plus a margin for random variation. */
  private void checkCold(SimulatedUpstream upstream, double capacity) {
    for (int i = 0; upstream.startedAt > 0 && i < upstream.sends.size(); i++) {
      double budget = budget(upstream, upstream.sends.get(i), capacity);
      long sent = upstream.sendsInWindow(upstream.sends.get(i));
      recordIf(
          sent > budget + 3 * Math.sqrt(budget),
          "a cold upstream got " + sent + " of " + (long) budget
              + " requests that its budget allows in a window");
    }
  }

  private static double budget(SimulatedUpstream upstream, long from, double capacity) {
    return COLD_BUDGET_MULTIPLE * upstream.warmth(from) * capacity * COLD_WINDOW_NANOS / SECOND;
  }

  /** Returns the largest share of a cold upstream's budget that was used in a window. */
  static double coldShare(Collection<SimulatedUpstream> upstreams, double capacity) {
    double max = 0;
    for (SimulatedUpstream upstream : upstreams) {
      for (int i = 0; upstream.startedAt > 0 && i < upstream.sends.size(); i++) {
        long from = upstream.sends.get(i);
        if (from < upstream.startedAt + WARM_AFTER_NANOS) {
          max = Math.max(max, upstream.sendsInWindow(from) / budget(upstream, from, capacity));
        }
      }
    }
    return max;
  }
}
