package pumicekeel.peers;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pumicekeel.runtime.Addresses;

/**
 * Datagram addresses of the balancers of a tier, from the platform's configuration.
 *
 * @param own the address that this balancer binds to
 * @param broadcast an address that reaches the whole tier, or null
 * @param members the address of each balancer in the order of their numbers, this one's included
 */
public record PeerAddresses(
    InetSocketAddress own, InetSocketAddress broadcast, List<InetSocketAddress> members) {

  public PeerAddresses {
    members = List.copyOf(members);
  }

  /** Reads the addresses of a configuration; null if it has none. An invalid one fails with an IllegalArgumentException that names it. */
  public static PeerAddresses of(Map<?, ?> configuration) {
    Object own = configuration.get("peer_listen");
    Object all = configuration.get("peers_all");
    Object each = configuration.get("peers");
    if (!(own instanceof String listen) || !(each instanceof List<?> list) || list.size() < 2) {
      return null;
    }
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (Object one : list) {
      addresses.add(Addresses.parse("peers", String.valueOf(one)));
    }
    return new PeerAddresses(
        Addresses.parse("peer_listen", listen),
        all instanceof String text && !text.isEmpty() ? Addresses.parse("peers_all", text) : null,
        addresses);
  }
}
