package pumicekeel.journal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.PriorAttempt;

/**
 * Remembers the attempts of keyed and unsafe requests that may have run, from this process and from the tail of its
 * predecessor's journal; they decide whether and where a repeat is sent. Bounded; the oldest entries are evicted first. Does
 * no I/O; the time is a parameter, in nanoseconds of the balancer's clock.
 */
public final class KeyMemory {

  /**
   * How long entries are kept beyond the class's deduplication window. A repeat in this time must not run at all, since the
   * upstreams no longer drop it as a duplicate.
   */
  public static final long RETENTION_MARGIN_NANOS = 60_000_000_000L;
  /** Default capacity; an entry takes some 600 bytes. */
  public static final int MAX_ENTRIES = 20_000;

  /** Attempts under one key, or under the id of an unsafe request. */
  private static final class Remembered {
    private final String pool;
    private final Map<String, PriorAttempt> attempts = new LinkedHashMap<>(2);
    private long expiresAt;

    private Remembered(String pool) {
      this.pool = pool;
    }
  }

  private final int maxEntries;
  private final Map<String, Remembered> byName = new LinkedHashMap<>();
  private long evicted;

  public KeyMemory(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  /** Returns the entry name of a request: from its key, or from its id if it must not be repeated at all. */
  public static String entryName(Effect effect, String id, String key) {
    // Truncated as in the journal; otherwise a long key would not be recognized after a restart.
    return entryNameOfRecord(effect, Codec.truncate(id), Codec.truncate(key));
  }

  /** Returns the entry name for texts from the journal, which are truncated already. */
  static String entryNameOfRecord(Effect effect, String id, String key) {
    return effect == Effect.KEYED && key != null ? "k" + key : "i" + id;
  }

  /** Records an attempt that was made or may have been made: from now on it may run. */
  public void recordAttempt(
      String name,
      String pool,
      String id,
      int attempt,
      PriorAttempt priorAttempt,
      long windowNanos,
      long now) {
    evictExpired(now);
    Remembered entry = byName.get(name);
    if (entry == null) {
      entry = new Remembered(pool);
      byName.put(name, entry);
    }
    entry.attempts.put(id + "#" + attempt, priorAttempt);
    entry.expiresAt = Math.max(
        entry.expiresAt, priorAttempt.sentAtNanos() + windowNanos + RETENTION_MARGIN_NANOS);
  }

  /** Removes an attempt whose outcome proves that it did not run. */
  public void removeAttempt(String name, String id, int attempt) {
    Remembered entry = byName.get(name);
    if (entry != null) {
      entry.attempts.remove(id + "#" + attempt);
      if (entry.attempts.isEmpty()) {
        byName.remove(name);
      }
    }
  }

  /** Returns the attempts of other requests with this entry name that may have run. */
  public List<PriorAttempt> earlierAttempts(String name, String id, long now) {
    Remembered entry = byName.get(name);
    if (entry == null || entry.expiresAt <= now) {
      return List.of();
    }
    List<PriorAttempt> out = new ArrayList<>(1);
    entry.attempts.forEach((attemptName, priorAttempt) -> {
      if (!attemptName.startsWith(id + "#")) {
        out.add(priorAttempt);
      }
    });
    return out;
  }

  /** Returns the pool in which a request with this entry name may have run, or null. */
  public String poolOf(String name, long now) {
    Remembered entry = byName.get(name);
    return entry == null || entry.expiresAt <= now ? null : entry.pool;
  }

  private void evictExpired(long now) {
    var oldest = byName.values().iterator();
    while (oldest.hasNext()) {
      Remembered entry = oldest.next();
      if (entry.expiresAt > now) {
        if (byName.size() < maxEntries) {
          return;
        }
        evicted++;
      }
      oldest.remove();
    }
  }

  public int size() {
    return byName.size();
  }

  /** Returns the number of entries evicted before they expired, because the capacity was reached. */
  public long evicted() {
    return evicted;
  }
}
