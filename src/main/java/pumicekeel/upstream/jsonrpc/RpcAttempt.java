package pumicekeel.upstream.jsonrpc;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import pumicekeel.Balancer.Status;
import pumicekeel.call.ClientRequest;
import pumicekeel.guard.AttemptEnd;
import pumicekeel.upstream.UpstreamAttempt;

/** A call on a shared connection, which stays open when the call ends early. */
final class RpcAttempt extends UpstreamAttempt {

  /** As with HTTP: a reused connection that breaks this soon after a send was broken before. */
  private static final long STALE_NANOS = 50_000_000L;

  private final RpcLink link;
  private RpcConnection connection;
  /** The id of the call on the connection; 0 before it is sent. */
  private long id;

  private long framesAtSend;
  private boolean stale;

  RpcAttempt(int number, long upstream, long decidedAt, RpcLink link, Observer observer) {
    super(number, upstream, decidedAt, observer);
    this.link = link;
  }

  @Override
  protected void begin(ClientRequest request, BooleanSupplier maySend) {
    RpcConnection assigned = link.acquire();
    if (assigned == null) {
      end(AttemptEnd.NOT_CONNECTED, Status.CONNECT_FAILED, null);
      return;
    }
    connection = assigned;
    assigned.send(this, request, maySend);
  }

  /** Records that the call is being sent under this id. */
  void sendStarted(long callId) {
    id = callId;
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
  protected InetSocketAddress address() {
    return link.address();
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
      // Silence is judged by frames received since the send, not by time: the time-out may have
      // started before the connection did.
      connection.abandon(this, how == Status.TIMEOUT && connection.frames() == framesAtSend);
    }
  }
}
