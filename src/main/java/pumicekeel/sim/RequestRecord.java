package pumicekeel.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.Balancer.RequestClass;

/** One request of {@link ModuleSim}: its attempts, where it ran, and its final answer. */
final class RequestRecord {

  /** One attempt of a request. */
  static final class Attempt {
    final SimulatedUpstream upstream;
    /** The instance has an outcome for the attempt. */
    boolean ended;

    Attempt(SimulatedUpstream upstream) {
      this.upstream = upstream;
    }
  }

  final RequestClass type;
  final long deadline;
  final List<Attempt> attempts = new ArrayList<>();
  /** Time of its first run in each cell. */
  final Map<Integer, Long> ranAt = new HashMap<>();

  int runs;
  boolean answered;
  /** An upstream's answer was forwarded to the client; the module is notified of it shortly afterwards. */
  boolean served;

  boolean refused;

  RequestRecord(RequestClass type, long deadline) {
    this.type = type;
    this.deadline = deadline;
  }
}
