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
    /** Whether the instance has an outcome for the attempt. */
    boolean ended;

    Attempt(SimulatedUpstream upstream) {
      this.upstream = upstream;
    }
  }

  final RequestClass requestClass;
  final long deadline;
  final List<Attempt> attempts = new ArrayList<>();
  /** Time of its first run in each cell. */
  final Map<Integer, Long> ranAt = new HashMap<>();

  /** Number of attempts that started to run at an upstream. */
  int runs;

  /** Whether the client has its final answer. */
  boolean answered;
  /** Whether an upstream's answer was forwarded to the client; the module is notified of it shortly afterwards. */
  boolean served;

  /** Whether the final answer is a refusal. */
  boolean refused;

  RequestRecord(RequestClass requestClass, long deadline) {
    this.requestClass = requestClass;
    this.deadline = deadline;
  }
}
