package pumicekeel.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pumicekeel.Balancer.Listed;

/**
 * When upstreams started, by the balancer's own clock. Lists tell it in Unix time, and the wall clock that this is compared with may be
 * stepped, before this process began or while it runs. A start that is known keeps its time. A new one is judged by each difference
 * between the two clocks for which there is evidence, and counts as the latest of these that is not still to come: an upstream taken
 * for colder than it is gets less, one taken for warmer is pushed over. No I/O; times are parameters.
 */
public final class StartTimes {

  /** Differences of the clocks closer than this are one. */
  private static final long SAME_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  /** The seconds of a Date header, and what it takes to come here. */
  private static final long SOON_NANOS = TimeUnit.SECONDS.toNanos(2);
  /** A start that was told of first though it is so much older than the list before: then the clocks differ, not the lists. */
  private static final long TOLD_LATE_NANOS = TimeUnit.SECONDS.toNanos(60);

  private static final int MOST_OFFSETS = 8;
  private static final int MOST_STARTS = 10_000;

  private record Start(long sinceNanos, long startedNanos) {}

  private final Map<Long, Start> starts = new LinkedHashMap<>() {
    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Start> eldest) {
      return size() > MOST_STARTS;
    }
  };
  /** The balancer's clock less the wall clock, as it stood at some time: the newest comes last. */
  private final List<Long> offsets = new ArrayList<>();
  /** When a list or its heartbeat came last; 0 for never. */
  private long lastContactAt;

  /** A reading of a wall clock, this machine's or one that an answer told, with the balancer's own at that moment. */
  public void recordClockOffset(long wallNanos, long now) {
    long offset = now - wallNanos;
    if (offsets.stream().noneMatch(o -> Math.abs(o - offset) < SAME_NANOS)) {
      offsets.add(offset);
      if (offsets.size() > MOST_OFFSETS) {
        offsets.remove(0);
      }
    }
  }

  /** Something came from discovery: what it knew until now is known here. */
  public void discoveryResponded(long now) {
    lastContactAt = now;
  }

  /** The list with each upstream's start by the balancer's clock. */
  public HostList toLocalClock(HostList list, long now) {
    List<HostList.Host> hosts = list.hosts().stream()
        .map(h -> h.withListed(toLocalClock(h.listed(), now)))
        .toList();
    lastContactAt = now;
    return new HostList(list.index(), list.snapshot(), hosts);
  }

  private Listed toLocalClock(Listed listed, long now) {
    long since = listed.startedNanos();
    if (since == 0) {
      return listed;
    }
    Start known = starts.get(listed.upstream());
    if (known == null || known.sinceNanos() != since) {
      known = new Start(since, startOf(since, now));
      starts.put(listed.upstream(), known);
    }
    return new Listed(
        listed.upstream(),
        listed.zone(),
        listed.cell(),
        listed.state(),
        known.startedNanos(),
        listed.weight(),
        listed.sharers());
  }

  private long startOf(long since, long now) {
    long latest = Long.MIN_VALUE;
    for (long offset : offsets) {
      long started = since + offset;
      if (started <= now + SOON_NANOS) {
        latest = Math.max(latest, Math.min(started, now));
      }
    }
    if (latest == Long.MIN_VALUE
        || lastContactAt != 0 && latest < lastContactAt - TOLD_LATE_NANOS) {
      // Still to come by every clock, or long before the list that did not have it: it began just
      // now.
      recordClockOffset(since, now);
      return now;
    }
    return latest;
  }
}
