package pumicekeel.core;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.PriorAttempt;
import pumicekeel.call.Client;
import pumicekeel.call.ClientRequest;
import pumicekeel.upstream.UpstreamAttempt;

/** A request in the table: until it has its final answer and each of its attempts has ended. */
public final class OpenRequest {

  public final ClientRequest request;
  public final Client client;
  /** When the module has to have answered, by the balancer's clock. */
  public long deadline;

  /** When its client's own time is up; of one whose body still comes, as if that had come by now. */
  public long clientDeadline;

  public final List<UpstreamAttempt> attempts = new ArrayList<>(1);
  public ScheduledFuture<?> deadlineTimer;
  public boolean ended;
  /** The attempt whose answer is being passed on; null where none is. */
  UpstreamAttempt streamingAttempt;
  /** What may have run before this request came; and who keeps a record of it, null for nobody. */
  final List<PriorAttempt> earlierAttempts;

  final AttemptLog attemptLog;

  /** As the settings had it when it came. */
  final int maxAttempts;

  public OpenRequest(
      ClientRequest request,
      Client client,
      long deadline,
      List<PriorAttempt> earlier,
      AttemptLog log,
      int maxAttempts) {
    this.maxAttempts = maxAttempts;
    this.earlierAttempts = earlier;
    this.attemptLog = log;
    this.request = request;
    this.client = client;
    this.deadline = deadline;
  }

  public boolean isComplete() {
    return ended && attempts.stream().noneMatch(UpstreamAttempt::inFlight);
  }

  /** Its body still comes: its time has not begun. */
  public boolean bodyIncomplete() {
    return request.upload() != null && !request.upload().isComplete();
  }

  public boolean mayHaveRun() {
    return !earlierAttempts.isEmpty() || attempts.stream().anyMatch(UpstreamAttempt::mayHaveRun);
  }

  /** Whether a refusal's promise, that trying again is harmless, would be true. */
  public boolean mayRefuse() {
    return request.type().effect() == Effect.SAFE
        || !mayHaveRun()
        || request.type().effect() == Effect.KEYED && request.type().dedupScope() == DedupScope.ALL;
  }

  /** Whether what an earlier attempt may have done is still remembered by its upstream's group. */
  public boolean retryIsSafe(long now) {
    return request.type().effect() == Effect.SAFE
        || earlierAttempts.stream()
                .allMatch(e -> request.type().effect() == Effect.KEYED
                    && now - e.sentAtNanos() < request.type().dedupWindowNanos())
            && attempts.stream()
                .filter(UpstreamAttempt::mayHaveRun)
                .allMatch(a -> request.type().effect() == Effect.KEYED
                    && now - a.sentAt() < request.type().dedupWindowNanos());
  }
}
