package pumicekeel.upstream.jsonrpc;

import java.util.function.BooleanSupplier;
import pumicekeel.Balancer.Status;
import pumicekeel.call.ClientRequest;
import pumicekeel.upstream.UpstreamAttempt;

/** A call on a connection that others share: when it ends early, the connection goes on without it. */
final class RpcAttempt extends UpstreamAttempt {

  /** As with HTTP: a kept connection that breaks so soon was broken before. */
  private static final long STALE_NANOS = 50_000_000L;

  private final RpcLink link;
  private RpcConnection connection;
  /** Its id there; 0 while it has none. */
  private long id;

  private long framesAtSend;
  private boolean stale;

  RpcAttempt(int number, long upstream, long decidedAt, RpcLink link, Observer ending) {
    super(number, upstream, decidedAt, ending);
    this.link = link;
  }

  @Override
  protected void begin(ClientRequest request, BooleanSupplier maySend) {
    RpcConnection assigned = link.acquire();
    if (assigned == null) {
      end(Status.CONNECT_FAILED, null);
      return;
    }
    connection = assigned;
    assigned.send(this, request, maySend);
  }

  /** It goes out now under this id. */
  void sendStarted(long as) {
    id = as;
    framesAtSend = connection.frames();
    markSending();
  }

  long id() {
    return id;
  }

  long nanosSinceSend() {
    return nanosSinceSent();
  }

  void sendCompleted() {
    notifyWritten();
  }

  @Override
  public boolean stale() {
    return stale;
  }

  @Override
  protected void onEnded(Status how) {
    if (connection == null) {
      return;
    }
    stale = how == Status.RESET
        && connection.wasReusedAndSilent(id, framesAtSend)
        && nanosSinceSent() < STALE_NANOS;
    if (how == Status.TIMEOUT || how == Status.CANCELLED) {
      // By what came since it was sent, not by a clock: its time-out began before its connection
      // did.
      connection.abandon(this, how == Status.TIMEOUT && connection.frames() == framesAtSend);
    }
  }
}
