package pumicekeel.node;

import pumicekeel.config.Configuration;
import pumicekeel.config.Operator;

/** How much room the process has, by the platform's figures and the operator's. */
record Rooms(int clientSockets, int upstreamSockets, long openRequests, long bodyBytes) {

  /** Shares of the sockets for clients and for upstreams; the rest is for discovery and the process itself. */
  private static final double CLIENT_SHARE = 0.45;

  private static final double UPSTREAM_SHARE = 0.4;
  /**
   * The least number of descriptors that neither clients nor upstreams get: 12 that the virtual machine holds, 16 connections that
   * one round of accepts may bring beyond the limit, and one each for lists, operators' calls and files that are read again.
   */
  private static final int KEPT_ASIDE = 40;
  /** Bodies in all, where the file says nothing: a quarter of the smallest heap in service. */
  private static final long BODY_BYTES = 16L << 20;

  static int clientSockets(Configuration configuration) {
    return part(configuration.sockets(), CLIENT_SHARE);
  }

  static int upstreamSockets(Configuration configuration) {
    return part(configuration.sockets(), UPSTREAM_SHARE);
  }

  /** A share of all sockets, or less, so that enough is kept aside; of very few sockets at most half are kept. */
  private static int part(int sockets, double share) {
    int most = Math.max(sockets - KEPT_ASIDE, sockets / 2);
    return (int) Math.min(sockets * share, most * share / (CLIENT_SHARE + UPSTREAM_SHARE));
  }

  static Rooms of(Configuration configuration, Operator.Process process) {
    int clients = process.clientSockets() == null
        ? clientSockets(configuration)
        : process.clientSockets().intValue();
    int upstreams = process.upstreamSockets() == null
        ? upstreamSockets(configuration)
        : process.upstreamSockets().intValue();
    // A connection carries one request at a time.
    long open = process.openRequests() == null
        ? Math.min(clients, configuration.settings().limits().maxOpen())
        : process.openRequests();
    if (clients + upstreams >= configuration.sockets()) {
      throw new IllegalArgumentException(
          "process: expected client-sockets and upstream-sockets below the "
              + configuration.sockets() + " sockets that the process may hold, got "
              + (clients + upstreams));
    }
    return new Rooms(
        clients, upstreams, open, process.bodyBytes() == null ? BODY_BYTES : process.bodyBytes());
  }
}
