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
import pumicekeel.call.ClientRequest.Bad;
import pumicekeel.call.Flow;
import pumicekeel.core.AttemptLog;
import pumicekeel.core.BalancerCore;
import pumicekeel.core.RequestHandle;
import pumicekeel.discovery.HostList;
import pumicekeel.journal.Entry.Told;
import pumicekeel.pool.RequestCounters.End;
import pumicekeel.route.Route;

/** One request on its way through the pools: from its head to its final answer, under the generation that took it. */
final class Admission implements RequestHandle, Client, AttemptLog {

  private final Services services;
  private final Route route;
  /** Whether an earlier request of the same idempotency key holds this one to its pool. */
  private final boolean bound;

  private final long enteredAt;
  private ServicePool pool;
  private long bytes;
  private ClientRequest request;
  private Client client;
  private long takenAt;
  private boolean waits;
  /** Its key is noted as one that the pool may run. */
  private boolean noted;

  private boolean over;
  /** Something of it is in the journal. */
  private boolean recorded;

  /** A request whose place among the pool's open ones is taken already. */
  Admission(Services services, Route route, ServicePool pool, boolean bound, long now) {
    this.services = services;
    this.route = route;
    this.pool = pool;
    this.bound = bound;
    enteredAt = now;
  }

  @Override
  public Settings settings() {
    return pool.settings();
  }

  @Override
  public Settings formerSettings() {
    return pool.core().formerSettings();
  }

  @Override
  public boolean reserveBody(int more) {
    if (!pool.body.tryAcquire(more)) {
      services.counters().countPoolFull();
      return false;
    }
    bytes += more;
    return true;
  }

  @Override
  public boolean submit(ClientRequest taken, Client to) throws Bad {
    String why = pool.objection(taken);
    if (why != null) {
      throw new Bad(400, why);
    }
    if (!services.open(taken.id())) {
      return false;
    }
    request = taken;
    client = to;
    takenAt = services.now();
    waits = true;
    if (!services.offer(pool, this::begin)) {
      refused(services.retryAfter(pool));
    }
    return true;
  }

  /** Its turn has come. */
  private void begin() {
    if (over) {
      return;
    }
    waits = false;
    send(request.withLeft(request.leftNanos() - (services.now() - takenAt)));
  }

  private void send(ClientRequest now) {
    if (now.type().effect() == Effect.KEYED && now.idempotencyKey() != null) {
      services.noteHome(now, pool);
      noted = true;
    }
    if (!services.records(now, pool) ? !pool.core().take(now, this) : !record(now)) {
      // The id ended here a moment ago and an attempt of it is still out: nothing of this one ran.
      refused(services.retryAfter(pool));
    }
  }

  /** Takes a request whose attempts go on record: not at all while they can't, and only where earlier ones let it. */
  private boolean record(ClientRequest now) {
    long wait = services.journal().refusesFor();
    if (wait > 0) {
      refused(services.longest(pool, wait));
      return true;
    }
    return pool.core().take(now, this, services.journal().earlier(now), this);
  }

  @Override
  public void before(
      ClientRequest of, int attempt, HostList.Host upstream, Runnable go, Runnable never) {
    recorded = true;
    services.journal().before(of, pool.home(), attempt, upstream, go, never);
  }

  @Override
  public void written(ClientRequest of, int attempt) {
    services.journal().written(of, attempt);
  }

  @Override
  public void ended(ClientRequest of, int attempt, Status status) {
    services.journal().ended(of, attempt, status);
  }

  private void note(Told told) {
    if (recorded) {
      services.journal().answered(request, told);
    }
  }

  /** Goes to the route's second pool where the first has no upstream that is ready, and nothing may have run. */
  @Override
  public boolean handOver(long leftNanos) {
    ServicePool next = bound || pool.core().ready() > 0 ? null : services.fallbackOf(route, pool);
    RequestClass type = next == null ? null : next.classLike(request.type());
    if (type == null
        || next.objection(request.withType(type)) != null
        || !next.open.tryAcquire(1)) {
      return false;
    }
    if (!next.body.tryAcquire(bytes)) {
      next.open.release(1);
      return false;
    }
    forgetHome();
    giveBack();
    pool = next;
    request = request.withType(type);
    send(request.withLeft(leftNanos + BalancerCore.ANSWER_MARGIN_NANOS));
    return true;
  }

  private void forgetHome() {
    if (noted) {
      services.forgetHome(request);
      noted = false;
    }
  }

  @Override
  public boolean here() {
    return client.here();
  }

  @Override
  public void served(Answer answer) {
    end(End.SERVED);
    client.served(answer);
    note(Told.SERVED);
  }

  /** An answer that is passed on has ended when its last piece is out, or is cut. */
  @Override
  public BodySink begin(AnswerStart start, Flow source) {
    BodySink to = client.begin(start, source);
    return to == null
        ? null
        : new BodySink() {
          @Override
          public void piece(ByteBuf bytes) {
            to.piece(bytes);
          }

          @Override
          public void whole() {
            end(End.SERVED);
            to.whole();
            note(Told.SERVED);
          }

          @Override
          public void cut() {
            end(End.FAILED);
            to.cut();
            note(Told.FAILED);
          }
        };
  }

  @Override
  public void refused(long retryAfterNanos) {
    end(End.REFUSED);
    if (request.type().dedupScope() != DedupScope.ALL || waits) {
      // A refusal proves here that nothing ran: the key is free to go anywhere.
      forgetHome();
    }
    client.refused(retryAfterNanos);
    note(Told.REFUSED);
  }

  @Override
  public void failed() {
    end(End.FAILED);
    client.failed();
    note(Told.FAILED);
  }

  @Override
  public void clientGone(String id) {
    boolean waited = waits;
    end(End.LEFT);
    note(Told.LEFT);
    if (!waited) {
      pool.core().clientGone(id);
    }
  }

  private void end(End how) {
    if (!over) {
      over = true;
      services.close(request.id());
      services.counters().countEnd(pool.name(), request.type().name(), how);
      pool.residenceTime().record(services.now() - enteredAt);
    }
  }

  @Override
  public void release() {
    over = true;
    giveBack();
  }

  private void giveBack() {
    pool.open.release(1);
    pool.body.release(bytes);
  }
}
