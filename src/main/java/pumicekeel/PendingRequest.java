package pumicekeel;

import java.util.ArrayList;
import java.util.List;

/** A request in hand: until it has its final answer and each of its attempts has ended. */
final class PendingRequest {
  final Balancer.Request request;
  final Balancer.RequestClass type;
  final long arrived;
  final boolean excess;
  /** All work inside quotas, or all over them. */
  final Window share;
  final Window endpoint;
  final Window key;
  final double load;
  final List<Attempt> attempts = new ArrayList<>(1);
  int out;
  boolean ended;
  boolean streaming;

  PendingRequest(Balancer.Request request, Balancer.RequestClass type, long arrived, boolean excess, Window share,
      Window endpoint, Window key, double load) {
    this.request = request;
    this.type = type;
    this.arrived = arrived;
    this.excess = excess;
    this.share = share;
    this.endpoint = endpoint;
    this.key = key;
    this.load = load;
  }

  boolean mayHaveRun() {
    for (Attempt a : attempts) {
      if (a.mayHaveRun) {
        return true;
      }
    }
    return false;
  }
}
