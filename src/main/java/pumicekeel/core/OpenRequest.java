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
  public long clientUntil;

  public final List<UpstreamAttempt> attempts = new ArrayList<>(1);
  public ScheduledFuture<?> guard;
  public boolean ended;
  /** The attempt whose answer is being passed on; null where none is. */
  UpstreamAttempt streaming;
  /** What may have run before this request came; and who keeps a record of it, null for nobody. */
  final List<PriorAttempt> earlier;

  final AttemptLog log;

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
    this.earlier = earlier;
    this.log = log;
    this.request = request;
    this.client = client;
    this.deadline = deadline;
  }

  public boolean over() {
    return ended && attempts.stream().noneMatch(UpstreamAttempt::out);
  }

  /** Its body still comes: its time has not begun. */
  public boolean coming() {
    return request.upload() != null && !request.upload().isWhole();
  }

  public boolean mayHaveRun() {
    return !earlier.isEmpty() || attempts.stream().anyMatch(UpstreamAttempt::mayHaveRun);
  }

  /** Whether a refusal's promise, that trying again is harmless, would be true. */
  public boolean mayRefuse() {
    return request.type().effect() == Effect.SAFE
        || !mayHaveRun()
        || request.type().effect() == Effect.KEYED && request.type().dedupScope() == DedupScope.ALL;
  }

  /** Whether what an earlier attempt may have done is still remembered by its upstream's group. */
  public boolean repeatIsHarmless(long now) {
    return request.type().effect() == Effect.SAFE
        || earlier.stream()
                .allMatch(e -> request.type().effect() == Effect.KEYED
                    && now - e.sentAtNanos() < request.type().dedupWindowNanos())
            && attempts.stream()
                .filter(UpstreamAttempt::mayHaveRun)
                .allMatch(a -> request.type().effect() == Effect.KEYED
                    && now - a.sentAt() < request.type().dedupWindowNanos());
  }
}
