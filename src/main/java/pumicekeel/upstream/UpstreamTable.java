package pumicekeel.upstream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pumicekeel.Balancer.Listed;
import pumicekeel.Balancer.State;
import pumicekeel.discovery.HostList;

/** The upstreams that the list names, and those that it named as long as attempts are out to them. */
public final class UpstreamTable {

  /** An upstream as the list last told of it, with its connections. */
  public static final class Entry {
    private final long id;
    private UpstreamLink link;
    /** When it began to leave, or 0 while it is ready. */
    private long leavingSince;
    private boolean gone;
    private int out;
    private HostList.Host host;

    private Entry(long id) {
      this.id = id;
    }

    /** As the list last told of it. */
    public HostList.Host host() {
      return host;
    }

    public UpstreamLink link() {
      return link;
    }

    /** Whether the list says that it drains or is gone. */
    public boolean leaves() {
      return leavingSince != 0;
    }

    /** How long it has been leaving, or 0. */
    public long leavingFor(long now) {
      return leavingSince == 0 ? 0 : now - leavingSince;
    }
  }

  private final UpstreamLinks links;
  private final Map<Long, Entry> entries = new HashMap<>();
  private int ready;

  public UpstreamTable(UpstreamLinks links) {
    this.links = links;
  }

  /** The upstream of this id; null where the list never named it, or it is gone and nothing is out to it. */
  public Entry get(long id) {
    return entries.get(id);
  }

  /** How many are ready, as the list tells. */
  public int ready() {
    return ready;
  }

  public int size() {
    return entries.size();
  }

  /** Takes in changes, or the whole list: one that is absent from that is gone. */
  public void news(boolean whole, List<HostList.Host> hosts, long now) {
    Set<Long> named = new HashSet<>();
    for (HostList.Host host : hosts) {
      named.add(host.listed().upstream());
      update(host, now);
    }
    if (whole) {
      List.copyOf(entries.values()).stream().filter(e -> !named.contains(e.id)).forEach(e -> leave(e, true, now));
    }
    ready = (int) entries.values().stream().filter(e -> e.leavingSince == 0).count();
  }

  private void update(HostList.Host host, long now) {
    Listed listed = host.listed();
    Entry e = entries.computeIfAbsent(listed.upstream(), Entry::new);
    e.host = host;
    if (e.link == null || !e.link.address().equals(host.address()) || e.gone) {
      if (e.link != null) {
        e.link.close();
      }
      e.link = links.of(host.address());
    }
    if (listed.state() == State.READY) {
      e.leavingSince = 0;
      e.gone = false;
    } else {
      leave(e, listed.state() == State.GONE, now);
    }
  }

  private void leave(Entry e, boolean gone, long now) {
    e.leavingSince = e.leavingSince == 0 ? now : e.leavingSince;
    e.gone = gone;
    if (gone) {
      e.link.close();
      forgetIfOver(e);
    }
  }

  /** One that leaves was told to leave as long ago as this already, by a list that others followed before. */
  public void leftSince(long id, long since) {
    Entry e = entries.get(id);
    if (e != null && e.leavingSince != 0) {
      e.leavingSince = Math.min(e.leavingSince, since);
    }
  }

  public void started(Entry e) {
    e.out++;
  }

  public void ended(Entry e) {
    e.out--;
    forgetIfOver(e);
  }

  /** Guards the memory where upstreams are replaced all day under new ids. */
  private void forgetIfOver(Entry e) {
    if (e.gone && e.out == 0) {
      entries.remove(e.id, e);
    }
  }
}
