package pumicekeel;

import java.util.ArrayList;
import java.util.List;

/** A request that has no final answer yet or has attempts in flight. */
final class PendingRequest {
  final Balancer.Request request;
  final Balancer.RequestClass type;
  /** When it arrived completely; until then, when it was admitted. */
  long arrived;

  long deadline;
  /** The time by which an answer that has begun has to be complete. */
  long answerDeadline;
  /** Whether its body is still arriving, so that no upstream works on it. */
  boolean bodyPending;
  /** Whether its body was not kept and cannot be sent again. */
  boolean bodyConsumed;

  /** Whether it is over its tenant's quota. */
  final boolean excess;
  /** The window of all work inside quotas, or of all work over quotas. */
  final Window quotaGroup;

  final Window endpoint;
  final Window key;
  /** Its hinted work in mean requests; 1 without a hint. */
  final double load;
  /** The limit on attempts when it arrived. */
  final int maxAttempts;

  final List<Attempt> attempts = new ArrayList<>(1);
  /** The number of its attempts in flight. */
  int inFlight;

  boolean ended;
  boolean streaming;

  PendingRequest(
      Balancer.Request request,
      Balancer.RequestClass type,
      long arrived,
      boolean excess,
      Window quotaGroup,
      Window endpoint,
      Window key,
      double load,
      int maxAttempts) {
    this.request = request;
    deadline = request.deadlineNanos();
    answerDeadline = deadline;
    bodyPending = request.bodyPending();
    this.type = type;
    this.arrived = arrived;
    this.excess = excess;
    this.quotaGroup = quotaGroup;
    this.endpoint = endpoint;
    this.key = key;
    this.load = load;
    this.maxAttempts = maxAttempts;
  }

  /** Returns whether an upstream would deduplicate this request against all prior attempts that may have run. */
  boolean priorAttemptsAllow(Balancer.ListedUpstream upstream, long now) {
    for (Balancer.PriorAttempt e : request.priorAttempts()) {
      if (!type.dedupScope().covers(e.zone(), e.cell(), upstream)
          || now - e.sentAtNanos() >= type.dedupWindowNanos()) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether no upstream may receive it again: it is unsafe and may have run, or a deduplication window is over. */
  boolean mayNotBeSentAgain(long now) {
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

  /** Returns the time by which it needs its final answer: later while an answer arrives. */
  long finalDeadline() {
    for (Attempt a : attempts) {
      if (a.inFlight && a.arriving) {
        return Math.max(deadline, answerDeadline);
      }
    }
    return deadline;
  }

  /** Returns whether an attempt is in flight, and the answer of each such attempt is suspected to have stopped. */
  boolean onlySuspectedInFlight() {
    for (Attempt a : attempts) {
      if (a.inFlight && !a.suspected) {
        return false;
      }
    }
    return inFlight > 0;
  }

  /** Returns the number of the first attempt in flight; there has to be one. */
  int firstInFlight() {
    int i = 0;
    while (!attempts.get(i).inFlight) {
      i++;
    }
    return i;
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
