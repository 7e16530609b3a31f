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

/** The newest version and the earlier ones that can be the base of a delta. Entries shared by versions are stored once. */
final class ConfigurationHistory {

  /** Limit of delta bases; each costs one reference per entry, some 0.2 MB at the largest known size. */
  static final int MAX_VERSIONS = 64;
  /** Limit of served snapshots, the newest last: a transfer ends with the version it began with. */
  private static final int MAX_SNAPSHOTS = 2;
  /** During continuous changes a snapshot is served for this long, so that its transfers can end. */
  private static final long SNAPSHOT_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** A whole text that is served in parts. */
  record Snapshot(ConfigurationVersion version, byte[] text, long createdAt) {}

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

  /** Returns the delta from a base to the current version; null if the base is no longer kept. Cached for all callers. */
  ConfigurationDelta deltaFrom(ConfigurationVersion base) {
    ConfigurationDocument from = documents.get(base);
    if (from == null) {
      return null;
    }
    return deltas.computeIfAbsent(base, b -> documents.get(current).deltaFrom(from, base, current));
  }

  /** Returns the snapshot to begin a transfer with; a new one if the last is too old or not newer than the known version. */
  Snapshot snapshotFor(ConfigurationVersion known, long now) {
    Snapshot last = snapshots.peekLast();
    boolean isUsable = last != null
        && last.version().isNewerThan(known)
        && (last.version().equals(current) || now - last.createdAt() < SNAPSHOT_RETENTION_NANOS);
    return isUsable ? last : snapshotOfCurrent(now);
  }

  private Snapshot snapshotOfCurrent(long now) {
    byte[] text = documents.get(current).text().getBytes(StandardCharsets.UTF_8);
    Snapshot created = new Snapshot(current, text, now);
    snapshots.addLast(created);
    if (snapshots.size() > MAX_SNAPSHOTS) {
      snapshots.removeFirst();
    }
    return created;
  }

  /** Returns the snapshot to continue a transfer with, maybe one begun at another machine; null if the version is not kept. */
  Snapshot snapshot(ConfigurationVersion version, long now) {
    for (Snapshot snapshot : snapshots) {
      if (snapshot.version().equals(version)) {
        return snapshot;
      }
    }
    return version.equals(current) && !documents.isEmpty() ? snapshotOfCurrent(now) : null;
  }
}
