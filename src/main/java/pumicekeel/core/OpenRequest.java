package pumicekeel.core;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.PriorAttempt;
import pumicekeel.call.Client;
import pumicekeel.call.ClientRequest;
import pumicekeel.upstream.UpstreamAttempt;

/** A request in the table, from its submission until it has its final answer and all of its attempts have ended. */
public final class OpenRequest {

  public final ClientRequest request;
  public final Client client;
  /** The time by which the module has to answer, by the balancer's clock. */
  public long deadline;

  /** The client's own deadline; while the body is incomplete, as if it had been completed now. */
  public long clientDeadline;

  public final List<UpstreamAttempt> attempts = new ArrayList<>(1);
  /** The upstreams of the attempts, as listed when each was made. */
  private final List<ListedUpstream> upstreams = new ArrayList<>(1);

  public ScheduledFuture<?> deadlineTimer;
  public boolean ended;
  /** The attempt whose answer is being streamed; null for none. */
  UpstreamAttempt streamingAttempt;
  /** Earlier attempts that may have run. */
  final List<PriorAttempt> priorAttempts;

  final AttemptLog attemptLog;

  /** The limit in the settings at the time of submission. */
  final int maxAttempts;

  public OpenRequest(
      ClientRequest request,
      Client client,
      long deadline,
      List<PriorAttempt> priorAttempts,
      AttemptLog log,
      int maxAttempts) {
    this.maxAttempts = maxAttempts;
    this.priorAttempts = priorAttempts;
    this.attemptLog = log;
    this.request = request;
    this.client = client;
    this.deadline = deadline;
  }

  /** Adds an attempt at an upstream. */
  void addAttempt(UpstreamAttempt attempt, ListedUpstream upstream) {
    attempts.add(attempt);
    upstreams.add(upstream);
  }

  /** Returns all attempts under this request's id that may have run, where a repeat could do harm. */
  List<PriorAttempt> harmfulAttempts() {
    if (request.type().effect() == Effect.SAFE) {
      return List.of();
    }
    List<PriorAttempt> harmful = new ArrayList<>(priorAttempts);
    for (UpstreamAttempt attempt : attempts) {
      if (attempt.mayHaveRun()) {
        ListedUpstream upstream = upstreams.get(attempt.number);
        harmful.add(new PriorAttempt(upstream.zone(), upstream.cell(), attempt.sentAt()));
      }
    }
    return harmful;
  }

  /** Returns the attempt in flight whose answer can be passed on and is likeliest to end; {@code due} if there is no better one. */
  UpstreamAttempt likeliestToEnd(UpstreamAttempt due) {
    UpstreamAttempt likeliest = due;
    for (UpstreamAttempt attempt : attempts) {
      boolean better =
          attempt.canPassOn() && (likeliest == null || attempt.isLikelierToEndThan(likeliest));
      likeliest = better ? attempt : likeliest;
    }
    return likeliest;
  }

  public boolean isComplete() {
    return ended && attempts.stream().noneMatch(UpstreamAttempt::inFlight);
  }

  /** Returns whether the body is incomplete, so that the request's time limit has not started. */
  public boolean bodyIncomplete() {
    return request.upload() != null && !request.upload().isComplete();
  }

  public boolean mayHaveRun() {
    return !priorAttempts.isEmpty() || attempts.stream().anyMatch(UpstreamAttempt::mayHaveRun);
  }

  /** Returns whether a refusal, which promises that a retry is harmless, would be correct. */
  public boolean mayRefuse() {
    return request.type().effect() == Effect.SAFE
        || !mayHaveRun()
        || request.type().effect() == Effect.KEYED && request.type().dedupScope() == DedupScope.ALL;
  }

  /**
   * Returns whether a further attempt is harmless: the upstreams still drop repeats, and where only some of them do, the process that
   * would get it is one of them, as far as known.
   */
  boolean repeatIsHarmless(UpstreamAttempt next, long now) {
    boolean anyPlace = request.type().effect() != Effect.KEYED
        || request.type().dedupScope() == DedupScope.ALL
        || !mayHaveRun();
    return retryIsSafe(now)
        && (anyPlace
            || !next.isPlaceUncertain()
                && attempts.stream().noneMatch(a -> a.mayHaveRun() && a.isPlaceUncertain()));
  }

  /** Returns whether the upstream's group still deduplicates whatever earlier attempts may have done. */
  public boolean retryIsSafe(long now) {
    return request.type().effect() == Effect.SAFE
        || priorAttempts.stream()
                .allMatch(e -> request.type().effect() == Effect.KEYED
                    && now - e.sentAtNanos() < request.type().dedupWindowNanos())
            && attempts.stream()
                .filter(UpstreamAttempt::mayHaveRun)
                .allMatch(a -> request.type().effect() == Effect.KEYED
                    && now - a.sentAt() < request.type().dedupWindowNanos());
  }
}
