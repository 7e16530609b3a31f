package pumicekeel.upstream.jsonrpc;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import pumicekeel.upstream.UpstreamAttempt;
import pumicekeel.upstream.UpstreamLink;

/** The connections to one server. A call uses the one with the fewest open calls, and a new one only if all are full. */
final class RpcLink implements UpstreamLink {

  private final RpcLinks links;
  private final InetSocketAddress address;
  private final List<RpcConnection> connections = new ArrayList<>(1);
  private boolean closed;

  RpcLink(RpcLinks links, InetSocketAddress address) {
    this.links = links;
    this.address = address;
  }

  @Override
  public InetSocketAddress address() {
    return address;
  }

  @Override
  public UpstreamAttempt attempt(
      int number, long upstream, long decidedAt, UpstreamAttempt.Observer observer) {
    return new RpcAttempt(number, upstream, decidedAt, this, observer);
  }

  ServerSettings settings() {
    return links.settings();
  }

  /** Returns a connection with capacity for a call, possibly still connecting; null if none can be opened. */
  RpcConnection acquire() {
    RpcConnection best = null;
    for (RpcConnection c : List.copyOf(connections)) {
      if (c.acceptsCalls() && (best == null || c.callCount() < best.callCount())) {
        best = c;
      }
    }
    if (best == null) {
      best = links.connect(this);
      if (best != null && !best.isClosed()) {
        connections.add(best);
      }
    }
    return best;
  }

  void ended(RpcConnection connection) {
    connections.remove(connection);
  }

  RpcConnection longestIdle() {
    RpcConnection oldest = null;
    for (RpcConnection c : connections) {
      if (c.idle() && (oldest == null || c.idleSince() - oldest.idleSince() < 0)) {
        oldest = c;
      }
    }
    return oldest;
  }

  void closeIdleSince(long before) {
    List.copyOf(connections).stream()
        .filter(c -> c.idle() && c.idleSince() - before <= 0)
        .forEach(RpcConnection::close);
  }

  boolean isClosed() {
    return closed;
  }

  @Override
  public void close() {
    closed = true;
    List.copyOf(connections).forEach(RpcConnection::retire);
    links.forget(this);
  }
}
