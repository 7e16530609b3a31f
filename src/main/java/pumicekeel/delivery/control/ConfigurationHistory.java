package pumicekeel.delivery.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pumicekeel.delivery.ConfigurationDelta;
import pumicekeel.delivery.ConfigurationDocument;
import pumicekeel.delivery.ConfigurationVersion;

/** The newest version and those before it from which a delta can still be made. Entries that versions have in common are held once. */
final class ConfigurationHistory {

  /** Bases of deltas; each costs a reference an entry, some 0.2 MB at the largest known size. */
  static final int MAX_VERSIONS = 64;
  /** Snapshots that are handed out, the newest last: a transfer ends with the version with which it began. */
  private static final int MAX_SNAPSHOTS = 2;
  /** Under changes without end a snapshot is kept for this long, so that transfers of it can end. */
  private static final long SNAPSHOT_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** A whole text that is handed out in parts. */
  record Snapshot(ConfigurationVersion version, byte[] text, long madeAt) {}

  private final Map<ConfigurationVersion, ConfigurationDocument> documents = new LinkedHashMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private final Map<ConfigurationVersion, ConfigurationDelta> deltas = new HashMap<>();
  private ConfigurationVersion current = ConfigurationVersion.NONE;

  ConfigurationVersion current() {
    return current;
  }

  /** Adds a version that is newer than the current one. */
  void add(ConfigurationVersion version, ConfigurationDocument document) {
    if (!version.isNewerThan(current)) {
      throw new IllegalArgumentException(version + " is not newer than " + current);
    }
    ConfigurationDocument before = documents.get(current);
    documents.put(version, before == null ? document : document.sharing(before));
    current = version;
    deltas.clear();
    Iterator<ConfigurationVersion> oldest = documents.keySet().iterator();
    while (documents.size() > MAX_VERSIONS && oldest.hasNext()) {
      ConfigurationVersion candidate = oldest.next();
      if (snapshots.stream().noneMatch(s -> s.version().equals(candidate))) {
        oldest.remove();
      }
    }
  }

  /** What leads from a base to the current version; null where the base is not held any more. Made once for all who ask. */
  ConfigurationDelta deltaFrom(ConfigurationVersion base) {
    ConfigurationDocument from = documents.get(base);
    if (from == null) {
      return null;
    }
    return deltas.computeIfAbsent(base, b -> documents.get(current).deltaFrom(from, base, current));
  }

  /** The snapshot to begin a transfer with for one who knows a version; a fresh one where the last is old or no news to it. */
  Snapshot snapshotFor(ConfigurationVersion known, long now) {
    Snapshot last = snapshots.peekLast();
    boolean serves = last != null
        && last.version().isNewerThan(known)
        && (last.version().equals(current) || now - last.madeAt() < SNAPSHOT_RETENTION_NANOS);
    return serves ? last : snapshotOfCurrent(now);
  }

  private Snapshot snapshotOfCurrent(long now) {
    byte[] text = documents.get(current).text().getBytes(StandardCharsets.UTF_8);
    Snapshot made = new Snapshot(current, text, now);
    snapshots.addLast(made);
    if (snapshots.size() > MAX_SNAPSHOTS) {
      snapshots.removeFirst();
    }
    return made;
  }

  /** The snapshot of a version with which a transfer goes on, maybe one begun at another machine; null where it is not held. */
  Snapshot snapshot(ConfigurationVersion version, long now) {
    for (Snapshot snapshot : snapshots) {
      if (snapshot.version().equals(version)) {
        return snapshot;
      }
    }
    return version.equals(current) && !documents.isEmpty() ? snapshotOfCurrent(now) : null;
  }
}
