package pumicekeel.discovery;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.State;
import pumicekeel.adapter.Fields;
import pumicekeel.runtime.Addresses;

/** A list of upstreams in the format of discovery, either a full snapshot or only the changes. */
public record HostList(long index, boolean snapshot, List<Host> hosts) {

  /** The largest number of upstreams, in one list and in force; each also costs memory in the module. */
  public static final int MAX_HOSTS = 8_000;

  private static final Map<String, State> STATUS =
      Map.of("in_service", State.READY, "terminating", State.DRAINING, "terminated", State.GONE);

  /** An upstream: its name and type, its address as this balancer sees it, and what the module is given about it. */
  public record Host(String name, String type, InetSocketAddress address, ListedUpstream listed) {

    /** Creates a host whose name and type are not used. */
    public Host(InetSocketAddress address, ListedUpstream listed) {
      this("", "", address, listed);
    }

    /** Returns a copy with other data for the module. */
    public Host withListed(ListedUpstream other) {
      return new Host(name, type, address, other);
    }
  }

  /** Reads a list in the format of discovery; throws IllegalArgumentException for one of too many upstreams. */
  public static HostList of(Fields list) {
    List<Fields> endpoints = list.objects("endpoints");
    checkSize(endpoints.size());
    return new HostList(
        list.integer("index"),
        list.bool("snapshot", false),
        endpoints.stream().map(HostList::host).toList());
  }

  /** Throws IllegalArgumentException for too many upstreams. */
  static void checkSize(int hosts) {
    if (hosts > MAX_HOSTS) {
      throw new IllegalArgumentException(
          "list: expected at most " + MAX_HOSTS + " upstreams, got " + hosts);
    }
  }

  private static Host host(Fields f) {
    ListedUpstream listed = new ListedUpstream(
        idOf(f.text("name")),
        f.text("zone", ""),
        (int) f.integer("group", 0),
        f.choice("status", STATUS),
        f.integer("since_ms", 0) * 1_000_000L,
        f.number("weight", 1));
    return new Host(
        f.text("name"), f.text("type", ""), Addresses.parse("address", f.text("address")), listed);
  }

  /** Returns the FNV-1a hash of a name: equal at every balancer and after every restart, so that all agree on the ring. */
  public static long idOf(String name) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
    }
    return hash;
  }
}
