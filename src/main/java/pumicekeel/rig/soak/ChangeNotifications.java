package pumicekeel.rig.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Determines when each balancer counts as notified that an upstream leaves or has returned: when a complete list with the change was
 * written to it, but at the latest 6 s after the change or, in an outage, after discovery became reachable again. Does no I/O; filled by
 * any thread and read at the end of a run.
 */
public final class ChangeNotifications {

  /** Time after which balancers count as notified of a change in a reachable discovery, whether or not it arrived. */
  static final long MAX_NOTIFICATION_NANOS = TimeUnit.SECONDS.toNanos(6);

  private record Change(long index, long atNanos, boolean leaves) {}

  private record WrittenList(long index, long atNanos) {}

  private record Outage(long from, long to) {}

  /** Changes of each upstream, in order. */
  private final Map<String, List<Change>> changes = new HashMap<>();
  /** Complete lists written to each balancer, in order. */
  private final Map<String, List<WrittenList>> lists = new HashMap<>();

  private final List<Outage> outages = new ArrayList<>();

  /** Records that discovery has had a change of an upstream since this time. */
  public synchronized void changed(String upstream, long index, long atNanos, boolean leaves) {
    changes
        .computeIfAbsent(upstream, k -> new ArrayList<>())
        .add(new Change(index, atNanos, leaves));
  }

  /** Records that a complete list was written to a balancer. */
  public synchronized void written(String balancer, long index, long atNanos) {
    lists.computeIfAbsent(balancer, k -> new ArrayList<>()).add(new WrittenList(index, atNanos));
  }

  /** Records that discovery was not reachable between these times. */
  public synchronized void outage(long from, long to) {
    outages.add(new Outage(from, to));
  }

  /**
   * Returns how many nanoseconds ago the balancer was notified that the upstream leaves; -1 if its latest notification says that the
   * upstream serves.
   */
  public synchronized long nanosSinceLeavingNotified(
      String balancer, String upstream, long atNanos) {
    Change last = null;
    long lastNotifiedAt = 0;
    for (Change change : changes.getOrDefault(upstream, List.of())) {
      long notifiedAt = notifiedAt(balancer, change);
      if (notifiedAt <= atNanos && (last == null || change.index() > last.index())) {
        // The earliest notification counts: a repeated one does not extend the grace.
        lastNotifiedAt = last != null && last.leaves() && change.leaves()
            ? Math.min(lastNotifiedAt, notifiedAt)
            : notifiedAt;
        last = change;
      }
    }
    return last == null || !last.leaves() ? -1 : atNanos - lastNotifiedAt;
  }

  private long notifiedAt(String balancer, Change change) {
    long latest = reachableAt(change.atNanos()) + MAX_NOTIFICATION_NANOS;
    return lists.getOrDefault(balancer, List.of()).stream()
        .filter(list -> list.index() >= change.index())
        .mapToLong(WrittenList::atNanos)
        .min()
        .stream()
        .map(written -> Math.min(written, latest))
        .findFirst()
        .orElse(latest);
  }

  private long reachableAt(long atNanos) {
    return outages.stream()
        .filter(outage -> outage.from() <= atNanos && atNanos < outage.to())
        .mapToLong(Outage::to)
        .max()
        .orElse(atNanos);
  }
}
