package pumicekeel;

import java.util.ArrayList;
import java.util.List;

/** A request in hand: until it has its final answer and each of its attempts has ended. */
final class PendingRequest {
  final Balancer.Request request;
  final Balancer.RequestClass type;
  /** When it came; of one that still comes, when it was taken. */
  long arrived;

  long deadline;
  /** Its body still comes: no upstream works on it. */
  boolean coming;
  /** Its body can't be sent again. */
  boolean spent;

  final boolean excess;
  /** All work inside quotas, or all over them. */
  final Window share;

  final Window endpoint;
  final Window key;
  final double load;
  /** As the settings had it when it came. */
  final int maxAttempts;

  final List<Attempt> attempts = new ArrayList<>(1);
  int out;
  boolean ended;
  boolean streaming;

  PendingRequest(
      Balancer.Request request,
      Balancer.RequestClass type,
      long arrived,
      boolean excess,
      Window share,
      Window endpoint,
      Window key,
      double load,
      int maxAttempts) {
    this.request = request;
    deadline = request.deadlineNanos();
    coming = request.bodyPending();
    this.type = type;
    this.arrived = arrived;
    this.excess = excess;
    this.share = share;
    this.endpoint = endpoint;
    this.key = key;
    this.load = load;
    this.maxAttempts = maxAttempts;
  }

  /** Whether what may have run before this request came lets it go to an upstream: one of its group, in time. */
  boolean earlierAllows(Balancer.Listed upstream, long now) {
    for (Balancer.PriorAttempt e : request.priorAttempts()) {
      if (!type.dedupScope().covers(e.zone(), e.cell(), upstream)
          || now - e.sentAtNanos() >= type.dedupWindowNanos()) {
        return false;
      }
    }
    return true;
  }

  /** Whether nothing more may be sent, wherever: it may run once, or nobody drops a repeat any more. */
  boolean mayNotRunAgain(long now) {
    if (type.effect() == Balancer.Effect.UNSAFE) {
      return mayHaveRun();
    }
    for (Balancer.PriorAttempt e : request.priorAttempts()) {
      if (now - e.sentAtNanos() >= type.dedupWindowNanos()) {
        return true;
      }
    }
    return false;
  }

  boolean mayHaveRun() {
    if (!request.priorAttempts().isEmpty()) {
      return true;
    }
    for (Attempt a : attempts) {
      if (a.mayHaveRun) {
        return true;
      }
    }
    return false;
  }
}
