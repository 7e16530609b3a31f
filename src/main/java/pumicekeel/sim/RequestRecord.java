package pumicekeel.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.Balancer.RequestClass;

/** One request of {@link ModuleSim}: its attempts, where it ran, and what its client was told. */
final class RequestRecord {

  /** One attempt, until it is over for the module. */
  static final class Attempt {
    final SimulatedUpstream upstream;
    boolean over;

    Attempt(SimulatedUpstream upstream) {
      this.upstream = upstream;
    }
  }

  final RequestClass type;
  final long deadline;
  final List<Attempt> attempts = new ArrayList<>();
  /** When it first ran in each cell. */
  final Map<Integer, Long> ranAt = new HashMap<>();

  int runs;
  boolean answered;
  /** An upstream's answer has gone out, and the module hears of it a moment later. */
  boolean served;

  boolean refused;

  RequestRecord(RequestClass type, long deadline) {
    this.type = type;
    this.deadline = deadline;
  }
}
