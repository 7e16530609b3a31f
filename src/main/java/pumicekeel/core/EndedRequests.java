package pumicekeel.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pumicekeel.Balancer.PriorAttempt;

/**
 * The attempts of ended requests that may have run, by the request's id: a request that comes again under an id must not repeat their
 * effect. Bounded in time and memory; the oldest are dropped first. Event loop only, no I/O.
 */
final class EndedRequests {

  /** Far longer than any client waits for an answer. */
  static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(1);
  /** Bound of the memory for all entries, each with its overhead. */
  static final int MAX_BYTES = 4 << 20;

  private static final int ENTRY_OVERHEAD_BYTES = 200;
  private static final int ATTEMPT_BYTES = 40;

  private record Entry(List<PriorAttempt> attempts, long endedAt) {}

  /** In the order of their ends. */
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  private long bytes;

  /** Records the attempts of a request that ended now; replaces earlier ones of the same id. */
  void add(String id, List<PriorAttempt> attempts, long now) {
    remove(id);
    entries.put(id, new Entry(List.copyOf(attempts), now));
    bytes += sizeOf(id, attempts);
    Iterator<Map.Entry<String, Entry>> oldest = entries.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<String, Entry> next = oldest.next();
      if (bytes <= MAX_BYTES && now - next.getValue().endedAt() < RETENTION_NANOS) {
        return;
      }
      oldest.remove();
      bytes -= sizeOf(next.getKey(), next.getValue().attempts());
    }
  }

  private void remove(String id) {
    Entry removed = entries.remove(id);
    if (removed != null) {
      bytes -= sizeOf(id, removed.attempts());
    }
  }

  private static long sizeOf(String id, List<PriorAttempt> attempts) {
    return ENTRY_OVERHEAD_BYTES + 2L * id.length() + (long) ATTEMPT_BYTES * attempts.size();
  }

  /** Returns the attempts of an ended request with this id; empty if none is known. */
  List<PriorAttempt> attemptsOf(String id, long now) {
    Entry entry = entries.get(id);
    return entry == null || now - entry.endedAt() >= RETENTION_NANOS ? List.of() : entry.attempts();
  }

  int size() {
    return entries.size();
  }
}
