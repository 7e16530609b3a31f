package pumicekeel.node;

import io.netty.buffer.ByteBuf;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.Status;
import pumicekeel.call.Answer;
import pumicekeel.call.AnswerStart;
import pumicekeel.call.BodySink;
import pumicekeel.call.Client;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.ClientRequest.InvalidRequest;
import pumicekeel.call.FlowControl;
import pumicekeel.core.AttemptLog;
import pumicekeel.core.BalancerCore;
import pumicekeel.core.RequestHandle;
import pumicekeel.discovery.HostList;
import pumicekeel.journal.Entry.Told;
import pumicekeel.pool.RequestCounters.End;
import pumicekeel.route.Route;

/** One request from its head to its final answer, under the generation of pools that admitted it. */
final class AdmittedRequest implements RequestHandle, Client, AttemptLog {

  private final ServicePools pools;
  private final Route route;
  /** Whether the request has to stay in its pool, because that may have run an earlier one with the same idempotency key. */
  private final boolean pinned;

  private final long startedAt;
  private ServicePool pool;
  /** Body memory reserved at the pool. */
  private long reservedBytes;

  private ClientRequest request;
  private Client client;
  private long acceptedAt;
  /** Whether it waits in the fair queue. */
  private boolean queued;

  /** Whether its idempotency key is recorded as one that the pool may have run. */
  private boolean keyRecorded;

  private boolean finished;
  /** Whether the journal has entries of this request. */
  private boolean recorded;

  /** Creates a request that is already counted among the pool's open requests. */
  AdmittedRequest(ServicePools pools, Route route, ServicePool pool, boolean pinned, long now) {
    this.pools = pools;
    this.route = route;
    this.pool = pool;
    this.pinned = pinned;
    startedAt = now;
  }

  @Override
  public Settings settings() {
    return pool.settings();
  }

  @Override
  public Settings previousSettings() {
    return pool.core().previousSettings();
  }

  @Override
  public boolean reserveBody(int more) {
    if (!pool.body.tryAcquire(more)) {
      pools.counters().countPoolFull();
      return false;
    }
    reservedBytes += more;
    return true;
  }

  @Override
  public boolean submit(ClientRequest accepted, Client recipient) throws InvalidRequest {
    String reason = pool.objection(accepted);
    if (reason != null) {
      throw new InvalidRequest(400, reason);
    }
    if (!pools.open(accepted.id())) {
      return false;
    }
    request = accepted;
    client = recipient;
    acceptedAt = pools.now();
    queued = true;
    if (!pools.offer(pool, this::begin)) {
      refused(pools.retryAfter(pool));
    }
    return true;
  }

  /** Called when the fair queue reaches this request. */
  private void begin() {
    if (finished) {
      return;
    }
    queued = false;
    send(request.withTimeLeft(request.leftNanos() - (pools.now() - acceptedAt)));
  }

  private void send(ClientRequest sent) {
    if (sent.type().effect() == Effect.KEYED && sent.idempotencyKey() != null) {
      pools.recordHome(sent, pool);
      keyRecorded = true;
    }
    if (!pools.isJournaled(sent, pool) ? !pool.core().submit(sent, this) : !record(sent)) {
      // A request with this id ended just before and one of its attempts is still in flight: this
      // one has not run.
      refused(pools.retryAfter(pool));
    }
  }

  /** Submits a journalled request with the earlier attempts of its key; refuses it while the journal cannot be written. */
  private boolean record(ClientRequest sent) {
    long wait = pools.journal().retryAfterNanos();
    if (wait > 0) {
      refused(pools.cappedRetryAfter(pool, wait));
      return true;
    }
    return pool.core().submit(sent, this, pools.journal().earlier(sent), this);
  }

  @Override
  public void beforeAttempt(
      ClientRequest sent, int attempt, HostList.Host upstream, Runnable proceed, Runnable cancel) {
    recorded = true;
    pools.journal().before(sent, pool.home(), attempt, upstream, proceed, cancel);
  }

  @Override
  public void requestWritten(ClientRequest sent, int attempt) {
    pools.journal().written(sent, attempt);
  }

  @Override
  public void attemptEnded(ClientRequest sent, int attempt, Status status) {
    pools.journal().ended(sent, attempt, status);
  }

  private void recordOutcome(Told outcome) {
    if (recorded) {
      pools.journal().answered(request, outcome);
    }
  }

  /** Moves to the route's fallback pool if the first has no ready upstream and no attempt may have run. */
  @Override
  public boolean handOver(long leftNanos) {
    ServicePool next =
        pinned || pool.core().readyUpstreams() > 0 ? null : pools.fallbackOf(route, pool);
    RequestClass type = next == null ? null : next.equivalentClass(request.type());
    if (type == null
        || next.objection(request.withType(type)) != null
        || !next.open.tryAcquire(1)) {
      return false;
    }
    if (!next.body.tryAcquire(reservedBytes)) {
      next.open.release(1);
      return false;
    }
    forgetHome();
    releaseCapacity();
    pool = next;
    request = request.withType(type);
    send(request.withTimeLeft(leftNanos + BalancerCore.ANSWER_MARGIN_NANOS));
    return true;
  }

  private void forgetHome() {
    if (keyRecorded) {
      pools.forgetHome(request);
      keyRecorded = false;
    }
  }

  @Override
  public boolean isConnected() {
    return client.isConnected();
  }

  @Override
  public void served(Answer answer) {
    finish(End.SERVED);
    client.served(answer);
    recordOutcome(Told.SERVED);
  }

  /** A streamed answer ends when its last piece is written or when it is cut off. */
  @Override
  public BodySink beginStream(AnswerStart start, FlowControl source) {
    BodySink recipient = client.beginStream(start, source);
    return recipient == null
        ? null
        : new BodySink() {
          @Override
          public void onChunk(ByteBuf bytes) {
            recipient.onChunk(bytes);
          }

          @Override
          public void onComplete() {
            finish(End.SERVED);
            recipient.onComplete();
            recordOutcome(Told.SERVED);
          }

          @Override
          public void onTruncated() {
            finish(End.FAILED);
            recipient.onTruncated();
            recordOutcome(Told.FAILED);
          }
        };
  }

  @Override
  public void refused(long retryAfterNanos) {
    finish(End.REFUSED);
    if (request.type().dedupScope() != DedupScope.ALL || queued) {
      // Here a refusal proves that nothing ran, so the key may go to any pool.
      forgetHome();
    }
    client.refused(retryAfterNanos);
    recordOutcome(Told.REFUSED);
  }

  @Override
  public void failed() {
    finish(End.FAILED);
    client.failed();
    recordOutcome(Told.FAILED);
  }

  @Override
  public void clientDisconnected(String id) {
    boolean wasQueued = queued;
    finish(End.LEFT);
    recordOutcome(Told.LEFT);
    if (!wasQueued) {
      pool.core().clientDisconnected(id);
    }
  }

  @Override
  public void timeUp(String id) {
    if (queued) {
      refused(pools.retryAfter(pool));
    } else {
      pool.core().timeUp(id);
    }
  }

  private void finish(End end) {
    if (!finished) {
      finished = true;
      pools.close(request.id());
      pools.counters().countEnd(pool.name(), request.type().name(), end);
      pool.residenceTime().record(pools.now() - startedAt);
    }
  }

  @Override
  public void release() {
    finished = true;
    releaseCapacity();
  }

  private void releaseCapacity() {
    pool.open.release(1);
    pool.body.release(reservedBytes);
  }
}
