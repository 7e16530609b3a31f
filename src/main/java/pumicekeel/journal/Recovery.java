package pumicekeel.journal;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import pumicekeel.Balancer.PriorAttempt;

/**
 * Determines from the tail of earlier processes' journals which keyed and unsafe requests may have run, and how long ago. Does
 * no I/O; the times of this start are parameters.
 */
public final class Recovery {

  private record Sent(Entry.Intent intent, String hostBoot) {}

  private final Map<String, Sent> mayHaveRun = new LinkedHashMap<>();
  private final int maxAttempts;
  private String hostBoot = "";
  private long records;

  public Recovery(int maxAttempts) {
    this.maxAttempts = maxAttempts;
  }

  /** Adds the next record, in journal order. */
  public void add(Entry entry) {
    records++;
    if (entry instanceof Entry.Boot e) {
      hostBoot = e.hostBoot() == null ? "" : e.hostBoot();
    } else if (entry instanceof Entry.Intent e) {
      mayHaveRun.put(e.id() + "#" + e.attempt(), new Sent(e, hostBoot));
      if (mayHaveRun.size() > maxAttempts) {
        mayHaveRun.remove(mayHaveRun.keySet().iterator().next());
      }
    } else if (entry instanceof Entry.Ended e && e.status().provesNotRun()) {
      mayHaveRun.remove(e.id() + "#" + e.attempt());
    }
  }

  public long records() {
    return records;
  }

  /**
   * Adds the requests that may have run to the memory; returns the number of keys. Elapsed time is measured with the host's
   * monotonic clock if the host has not rebooted since, else with the wall clock. If the wall clock is before the record, the
   * elapsed time is unknown and the window counts as over: a repeat then fails and is not sent.
   */
  public int restoreTo(
      KeyMemory memory, String thisHostBoot, long wallMillis, long monoNanos, long now) {
    Map<String, Boolean> names = new HashMap<>();
    for (Sent sent : mayHaveRun.values()) {
      Entry.Intent e = sent.intent();
      boolean sameBoot = !sent.hostBoot().isEmpty() && sent.hostBoot().equals(thisHostBoot);
      long elapsedNanos =
          sameBoot ? monoNanos - e.monoNanos() : (wallMillis - e.wallMillis()) * 1_000_000L;
      elapsedNanos = elapsedNanos < 0 ? e.windowNanos() : elapsedNanos;
      if (elapsedNanos > e.windowNanos() + KeyMemory.RETENTION_MARGIN_NANOS) {
        continue;
      }
      String name = KeyMemory.entryNameOfRecord(e.effect(), e.id(), e.key());
      memory.recordAttempt(
          name,
          e.pool(),
          e.id(),
          e.attempt(),
          new PriorAttempt(e.zone(), e.cell(), now - elapsedNanos),
          e.windowNanos(),
          now);
      names.put(name, true);
    }
    return names.size();
  }
}
