package pumicekeel.upstream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.State;
import pumicekeel.discovery.HostList;

/** The upstreams that the list names, and removed ones for as long as attempts to them are in flight. */
public final class UpstreamTable {

  /** An upstream as last listed, with its connections. */
  public static final class Entry {
    private final long id;
    private UpstreamLink link;
    private boolean leaving;
    private boolean removed;
    private int inFlight;
    private HostList.Host host;

    private Entry(long id) {
      this.id = id;
    }

    /** Returns the upstream as last listed. */
    public HostList.Host host() {
      return host;
    }

    public UpstreamLink link() {
      return link;
    }

    /** Returns whether the list says that the upstream drains or is removed. */
    public boolean leaving() {
      return leaving;
    }
  }

  private final UpstreamLinks links;
  private final Map<Long, Entry> entries = new HashMap<>();
  private int readyCount;

  public UpstreamTable(UpstreamLinks links) {
    this.links = links;
  }

  /** Returns the upstream with this ID; null if the list never named it, or if it is removed and no attempts to it are in flight. */
  public Entry get(long id) {
    return entries.get(id);
  }

  /** Returns how many upstreams are ready according to the list. */
  public int readyCount() {
    return readyCount;
  }

  public int size() {
    return entries.size();
  }

  /** Applies changes, or a snapshot of the list: upstreams absent from a snapshot are removed. */
  public void applyList(boolean snapshot, List<HostList.Host> hosts) {
    Set<Long> named = new HashSet<>();
    for (HostList.Host host : hosts) {
      named.add(host.listed().upstream());
      update(host);
    }
    if (snapshot) {
      List.copyOf(entries.values()).stream()
          .filter(e -> !named.contains(e.id))
          .forEach(e -> markLeaving(e, true));
    }
    readyCount = (int) entries.values().stream().filter(e -> !e.leaving).count();
  }

  private void update(HostList.Host host) {
    ListedUpstream listed = host.listed();
    Entry e = entries.computeIfAbsent(listed.upstream(), Entry::new);
    e.host = host;
    if (e.link == null || !e.link.address().equals(host.address()) || e.removed) {
      if (e.link != null) {
        e.link.close();
      }
      e.link = links.of(host.address());
    }
    if (listed.state() == State.READY) {
      e.leaving = false;
      e.removed = false;
    } else {
      markLeaving(e, listed.state() == State.GONE);
    }
  }

  private void markLeaving(Entry e, boolean remove) {
    e.leaving = true;
    e.removed = remove;
    if (remove) {
      e.link.close();
      removeIfUnused(e);
    }
  }

  public void attemptStarted(Entry e) {
    e.inFlight++;
  }

  public void attemptEnded(Entry e) {
    e.inFlight--;
    removeIfUnused(e);
  }

  /** Forgets an upstream, which bounds the table where upstreams are continually replaced under new IDs. */
  private void removeIfUnused(Entry e) {
    if (e.removed && e.inFlight == 0) {
      entries.remove(e.id, e);
    }
  }
}
