package pumicekeel.journal;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import pumicekeel.Balancer.PriorAttempt;

/**
 * What the tail of the journal of earlier processes means for this one: which keyed and unsafe requests may have run, and
 * how long ago. No I/O; the times of this start are parameters.
 */
public final class Recovery {

  private record Sent(Entry.Intent intent, String hostBoot) {}

  private final Map<String, Sent> open = new LinkedHashMap<>();
  private final int most;
  private String hostBoot = "";
  private long records;

  public Recovery(int most) {
    this.most = most;
  }

  /** The next record, in the order of the journal. */
  public void take(Entry entry) {
    records++;
    if (entry instanceof Entry.Boot e) {
      hostBoot = e.hostBoot() == null ? "" : e.hostBoot();
    } else if (entry instanceof Entry.Intent e) {
      open.put(e.id() + "#" + e.attempt(), new Sent(e, hostBoot));
      if (open.size() > most) {
        open.remove(open.keySet().iterator().next());
      }
    } else if (entry instanceof Entry.Ended e && e.status().provesNotRun()) {
      open.remove(e.id() + "#" + e.attempt());
    }
  }

  public long records() {
    return records;
  }

  /**
   * Hands what may have run to the memory. Time that passed is told by the host's monotonic clock, if the host has not
   * booted since. Otherwise the wall clock has to do; if it stands before the record, nobody knows how long ago that was,
   * and the window counts as over: a repeat is then failed and not sent.
   */
  public int into(
      KeyMemory memory, String thisHostBoot, long wallMillis, long monoNanos, long now) {
    Map<String, Boolean> names = new HashMap<>();
    for (Sent sent : open.values()) {
      Entry.Intent e = sent.intent();
      boolean sameBoot = !sent.hostBoot().isEmpty() && sent.hostBoot().equals(thisHostBoot);
      long past = sameBoot ? monoNanos - e.monoNanos() : (wallMillis - e.wallMillis()) * 1_000_000L;
      past = past < 0 ? e.windowNanos() : past;
      if (past > e.windowNanos() + KeyMemory.RETENTION_MARGIN_NANOS) {
        continue;
      }
      String name = KeyMemory.recorded(e.effect(), e.id(), e.key());
      memory.recordAttempt(
          name,
          e.pool(),
          e.id(),
          e.attempt(),
          new PriorAttempt(e.zone(), e.cell(), now - past),
          e.windowNanos(),
          now);
      names.put(name, true);
    }
    return names.size();
  }
}
