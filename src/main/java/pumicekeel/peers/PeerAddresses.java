package pumicekeel.peers;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pumicekeel.runtime.Addresses;

/**
 * Where the balancers of a tier reach each other by datagrams, as the platform's configuration names it.
 *
 * @param own where this one listens
 * @param all an address that reaches all of the tier; null for none
 * @param each one for each balancer, in the order of their numbers, its own among them
 */
public record PeerAddresses(
    InetSocketAddress own, InetSocketAddress broadcast, List<InetSocketAddress> members) {

  public PeerAddresses {
    members = List.copyOf(members);
  }

  /** Those of a configuration; null where it names none. A bad one is an IllegalArgumentException that names it. */
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
