package pumicekeel.node;

import pumicekeel.config.Configuration;
import pumicekeel.config.OperatorConfiguration;

/** The capacity of the process, from the platform's limits and the operator file. */
record ProcessCapacity(int clientSockets, int upstreamSockets, long openRequests, long bodyBytes) {

  /** Shares of the sockets for clients and upstreams; the rest is for discovery and the process itself. */
  private static final double CLIENT_SHARE = 0.45;

  private static final double UPSTREAM_SHARE = 0.4;
  /**
   * The minimum number of descriptors reserved from clients and upstreams: 12 held by the virtual machine, 16 connections that one
   * round of accepts may add beyond the limit, and one each for lists, operators' calls and files that are reloaded.
   */
  private static final int MIN_RESERVED = 40;
  /** The part of the heap that the connections of clients, and those to upstreams, may take each. */
  private static final int CONNECTIONS_HEAP_DIVISOR = 8;
  /** The heap that an open connection takes at least: its channel, its codec and its handler. */
  private static final long CONNECTION_BYTES = 4 << 10;
  /** Default memory for all bodies: a quarter of the smallest heap in service. */
  private static final long DEFAULT_BODY_BYTES = 16L << 20;

  static int clientSockets(Configuration configuration) {
    return clientSockets(configuration.sockets(), Runtime.getRuntime().maxMemory());
  }

  static int clientSockets(int sockets, long heapBytes) {
    return Math.min(shareOf(sockets, CLIENT_SHARE), connectionsIn(heapBytes));
  }

  static int upstreamSockets(Configuration configuration) {
    return upstreamSockets(configuration.sockets(), Runtime.getRuntime().maxMemory());
  }

  static int upstreamSockets(int sockets, long heapBytes) {
    return Math.min(shareOf(sockets, UPSTREAM_SHARE), connectionsIn(heapBytes));
  }

  /** Returns how many connections the heap has room for: it does not grow with the descriptors. */
  private static int connectionsIn(long heapBytes) {
    return (int)
        Math.min(Integer.MAX_VALUE, heapBytes / CONNECTIONS_HEAP_DIVISOR / CONNECTION_BYTES);
  }

  /** Returns a share of all sockets, reduced so that the reserve remains; the reserve is at most half of all sockets. */
  private static int shareOf(int sockets, double share) {
    int available = Math.max(sockets - MIN_RESERVED, sockets / 2);
    return (int) Math.min(sockets * share, available * share / (CLIENT_SHARE + UPSTREAM_SHARE));
  }

  static ProcessCapacity of(Configuration configuration, OperatorConfiguration.Process process) {
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
    return new ProcessCapacity(
        clients,
        upstreams,
        open,
        process.bodyBytes() == null ? DEFAULT_BODY_BYTES : process.bodyBytes());
  }
}
