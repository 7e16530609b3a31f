package pumicekeel.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pumicekeel.Balancer.ListedUpstream;

/**
 * Start times of upstreams by the balancer's own monotonic clock. Lists state them in Unix time, and the wall clock that they are
 * compared with may be stepped, before this process began or while it runs. A start that is already known keeps its time. A new one is
 * converted with each clock offset for which there is evidence, and the latest result that is not in the future counts: an upstream
 * treated as colder than it is receives less load, one treated as warmer would be overloaded. No I/O; times are parameters.
 */
public final class StartTimes {

  /** Clock offsets that differ by less than this count as equal. */
  private static final long SAME_OFFSET_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  /** Resolution of a Date header in seconds, plus the time of its delivery. */
  private static final long CLOCK_READING_TOLERANCE_NANOS = TimeUnit.SECONDS.toNanos(2);
  /** A start that is first reported although it is this much older than the previous list: then the clocks differ, not the lists. */
  private static final long MAX_REPORT_DELAY_NANOS = TimeUnit.SECONDS.toNanos(60);

  private static final int MAX_OFFSETS = 8;
  private static final int MAX_STARTS = 10_000;

  private record Start(long sinceNanos, long startedNanos) {}

  private final Map<Long, Start> starts = new LinkedHashMap<>() {
    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Start> eldest) {
      return size() > MAX_STARTS;
    }
  };
  /** Differences between the balancer's clock and the wall clock, as observed; the newest is last. */
  private final List<Long> offsets = new ArrayList<>();
  /** Time of the last list or heartbeat; 0 for none. */
  private long lastContactAt;

  /** Records a reading of a wall clock, this machine's or one from a response, with the balancer's own clock at that moment. */
  public void recordClockOffset(long wallNanos, long now) {
    long offset = now - wallNanos;
    if (offsets.stream().noneMatch(o -> Math.abs(o - offset) < SAME_OFFSET_TOLERANCE_NANOS)) {
      offsets.add(offset);
      if (offsets.size() > MAX_OFFSETS) {
        offsets.remove(0);
      }
    }
  }

  /** Records that discovery responded: what it knew until now is known here. */
  public void discoveryResponded(long now) {
    lastContactAt = now;
  }

  /** Returns the list with each upstream's start time by the balancer's clock. */
  public HostList toLocalClock(HostList list, long now) {
    List<HostList.Host> hosts = list.hosts().stream()
        .map(h -> h.withListed(toLocalClock(h.listed(), now)))
        .toList();
    lastContactAt = now;
    return new HostList(list.index(), list.snapshot(), hosts);
  }

  private ListedUpstream toLocalClock(ListedUpstream listed, long now) {
    long since = listed.startedNanos();
    if (since == 0) {
      return listed;
    }
    Start known = starts.get(listed.upstream());
    if (known == null || known.sinceNanos() != since) {
      known = new Start(since, localStartOf(since, now));
      starts.put(listed.upstream(), known);
    }
    return new ListedUpstream(
        listed.upstream(),
        listed.zone(),
        listed.cell(),
        listed.state(),
        known.startedNanos(),
        listed.weight(),
        listed.sharers());
  }

  private long localStartOf(long since, long now) {
    long latest = Long.MIN_VALUE;
    for (long offset : offsets) {
      long started = since + offset;
      if (started <= now + CLOCK_READING_TOLERANCE_NANOS) {
        latest = Math.max(latest, Math.min(started, now));
      }
    }
    if (latest == Long.MIN_VALUE
        || lastContactAt != 0 && latest < lastContactAt - MAX_REPORT_DELAY_NANOS) {
      // In the future by every offset, or long before the previous list, which did not contain it:
      // it started just now.
      recordClockOffset(since, now);
      return now;
    }
    return latest;
  }
}
