package pumicekeel.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Departures and returns by the version of the own list that reported them, and which versions this list never had. A snapshot may skip
 * versions: an upstream that joined and departed in between is unknown here, so that a list from in between must not be confirmed. No
 * I/O; times are nanoseconds of one monotonic clock.
 */
final class DepartureHistory {

  /** More skips than this are not remembered; the history then begins after the oldest one. */
  private static final int MAX_SKIPS = 64;

  private static final int MAX_CHANGES =
      DepartureMessage.MAX_PARTS * DepartureMessage.MAX_DEPARTURES;

  private record Entry(HostTable.Changes changes, long listedAt) {}

  /**
   * A report of departures.
   *
   * @param kind which versions it covers
   * @param from the version after which all departures are known; later than the one asked for if that one cannot be answered
   * @param departures departed upstreams, the latest change of each, also those before {@code from} that are known
   */
  record Report(
      DepartureMessage.Kind kind, long from, List<DepartureMessage.Departure> departures) {}

  private final TreeMap<Long, Entry> entries = new TreeMap<>();
  /** Skipped versions: the last version before them, and the first one after them. */
  private final TreeMap<Long, Long> skips = new TreeMap<>();
  /** From this version on, all departures are known. */
  private long first;

  private long last;

  /** Starts anew with this version of the list. */
  void restart(long version) {
    entries.clear();
    skips.clear();
    first = version;
    last = version;
  }

  /** Records that the own list has reached a version. */
  void listUpdated(long version, boolean snapshot, HostTable.Changes changes, long now) {
    if (snapshot && version > last + 1) {
      skips.put(last, version);
    }
    last = version;
    if (!changes.departed().isEmpty() || !changes.returned().isEmpty()) {
      entries.put(version, new Entry(changes, now));
    }
    if (skips.size() > MAX_SKIPS) {
      startAt(skips.firstEntry().getValue());
    }
  }

  /** Forgets what was reported before a given time. */
  void evict(long before) {
    while (!entries.isEmpty() && entries.firstEntry().getValue().listedAt() < before) {
      startAt(entries.firstKey());
    }
  }

  private void startAt(long version) {
    first = Math.max(first, version);
    entries.headMap(version, true).clear();
    skips.values().removeIf(end -> end <= version);
  }

  /** Returns the report of all departures after a version, as far as they are known. */
  Report after(long version, long now) {
    long from = Math.min(last, answerableFrom(Math.max(version, first)));
    Map<Long, Integer> latest = new LinkedHashMap<>();
    for (Map.Entry<Long, Entry> entry : entries.descendingMap().entrySet()) {
      HostTable.Changes changes = entry.getValue().changes();
      boolean fits =
          latest.size() + changes.departed().size() + changes.returned().size() <= MAX_CHANGES;
      if (entry.getKey() <= version) {
        break;
      }
      if (!fits) {
        from = Math.max(from, entry.getKey());
        break;
      }
      int millis = (int) TimeUnit.NANOSECONDS.toMillis(now - entry.getValue().listedAt());
      changes.returned().forEach(id -> latest.putIfAbsent(id, millis));
      changes.departed().forEach(id -> latest.putIfAbsent(id, DepartureMessage.AWAY));
    }
    List<DepartureMessage.Departure> departures = new ArrayList<>();
    latest.forEach((id, returned) -> departures.add(new DepartureMessage.Departure(id, returned)));
    return new Report(kindFrom(from), from, departures);
  }

  /** Returns the version itself, or, if the list skipped it, the first one after the skip. */
  private long answerableFrom(long version) {
    Map.Entry<Long, Long> skip = skips.lowerEntry(version);
    return skip == null ? version : Math.max(version, skip.getValue());
  }

  private DepartureMessage.Kind kindFrom(long from) {
    boolean skipsLater = skips.ceilingKey(from) != null;
    return skipsLater ? DepartureMessage.Kind.TELL_AFTER_EXACT_VERSION : DepartureMessage.Kind.TELL;
  }
}
