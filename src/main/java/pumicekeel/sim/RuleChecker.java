package pumicekeel.sim;

import static pumicekeel.sim.ModuleSimSettings.DEDUP;
import static pumicekeel.sim.ModuleSimSettings.MS;
import static pumicekeel.sim.ModuleSimSettings.MULTIPLE;
import static pumicekeel.sim.ModuleSimSettings.SECOND;
import static pumicekeel.sim.ModuleSimSettings.WARM;
import static pumicekeel.sim.ModuleSimSettings.WINDOW;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import pumicekeel.Balancer.Effect;

/**
 * Checks the rules on what reaches the upstreams and the clients of {@link ModuleSim}: exactly one final answer a request, no effect
 * twice, nothing after a refusal, and no cold upstream overloaded. The first violation is kept.
 */
final class RuleChecker {

  private final EventQueue queue;
  private final List<RequestRecord> requests = new ArrayList<>();
  private long served;
  private String fault;

  RuleChecker(EventQueue queue) {
    this.queue = queue;
  }

  /** Notes a violation where there is one. */
  void fault(boolean broken, String what) {
    fault = broken && fault == null ? what + " at " + queue.now() / MS + " ms" : fault;
  }

  /** The first violation; null while all rules hold. */
  String fault() {
    return fault;
  }

  void add(RequestRecord request) {
    requests.add(request);
  }

  void served() {
    served++;
  }

  long requestCount() {
    return requests.size();
  }

  long servedCount() {
    return served;
  }

  /** An attempt of a request begins to run in a cell. */
  void ran(RequestRecord request, int cell) {
    Effect effect = request.type.effect();
    request.runs++;
    fault(request.refused && effect != Effect.SAFE, "ran after a refusal");
    if (effect == Effect.UNSAFE) {
      fault(request.runs > 1, "an unsafe request ran twice");
    } else if (effect == Effect.KEYED) {
      ranKeyed(request, cell);
    }
  }

  private void ranKeyed(RequestRecord request, int cell) {
    Long before = request.ranAt.get(cell);
    fault(!request.ranAt.isEmpty() && before == null, "a keyed request ran in two cells");
    fault(
        before != null && queue.now() - before > DEDUP + 2 * MS,
        "a keyed request ran again when its cell had forgotten it");
    request.ranAt.putIfAbsent(cell, queue.now());
  }

  /** Checks what is known only at the end; {@code capacity} is an upstream's, in requests a second. */
  void end(Collection<SimulatedUpstream> upstreams, double capacity) {
    for (RequestRecord request : requests) {
      fault(!request.answered, "a request without an answer");
      fault(
          request.refused && request.runs > 0 && request.type.effect() != Effect.SAFE,
          "refused, and had run");
    }
    upstreams.forEach(upstream -> checkCold(upstream, capacity));
  }

  /** The budget in any window is a multiple of the capacity at its start, and a little for chance. */
  private void checkCold(SimulatedUpstream upstream, double capacity) {
    for (int i = 0; upstream.startedAt > 0 && i < upstream.sends.size(); i++) {
      double budget = budget(upstream, upstream.sends.get(i), capacity);
      long sent = upstream.sendsInWindow(upstream.sends.get(i));
      fault(
          sent > budget + 3 * Math.sqrt(budget),
          "a cold upstream got " + sent + " of " + (long) budget + " in a window");
    }
  }

  private static double budget(SimulatedUpstream upstream, long from, double capacity) {
    return MULTIPLE * upstream.warmth(from) * capacity * WINDOW / SECOND;
  }

  /** The largest part of a cold upstream's budget that was used in a window. */
  static double coldShare(Collection<SimulatedUpstream> upstreams, double capacity) {
    double max = 0;
    for (SimulatedUpstream upstream : upstreams) {
      for (int i = 0; upstream.startedAt > 0 && i < upstream.sends.size(); i++) {
        long from = upstream.sends.get(i);
        if (from < upstream.startedAt + WARM) {
          max = Math.max(max, upstream.sendsInWindow(from) / budget(upstream, from, capacity));
        }
      }
    }
    return max;
  }
}
