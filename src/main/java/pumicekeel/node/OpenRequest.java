package pumicekeel.node;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;

/** A request in the table: until it has its final answer and each of its attempts has ended. */
final class OpenRequest {

  final ClientRequest request;
  final Client client;
  /** When the module has to have answered, by the balancer's clock. */
  final long deadline;
  final List<UpstreamAttempt> attempts = new ArrayList<>(1);
  ScheduledFuture<?> guard;
  boolean ended;

  OpenRequest(ClientRequest request, Client client, long deadline) {
    this.request = request;
    this.client = client;
    this.deadline = deadline;
  }

  boolean over() {
    return ended && attempts.stream().noneMatch(UpstreamAttempt::out);
  }

  boolean mayHaveRun() {
    return attempts.stream().anyMatch(UpstreamAttempt::mayHaveRun);
  }

  /** Whether a refusal's promise, that trying again is harmless, would be true. */
  boolean mayRefuse() {
    return request.type().effect() == Effect.SAFE || !mayHaveRun()
        || request.type().effect() == Effect.KEYED && request.type().dedupScope() == DedupScope.ALL;
  }

  /** Whether what an earlier attempt may have done is still remembered by its upstream's group. */
  boolean repeatIsHarmless(long now) {
    return request.type().effect() == Effect.SAFE || attempts.stream().filter(UpstreamAttempt::mayHaveRun)
        .allMatch(a -> request.type().effect() == Effect.KEYED && now - a.sentAt() < request.type().dedupWindowNanos());
  }
}
