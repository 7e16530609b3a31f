package pumicekeel.journal;

import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Status;

/**
 * A record of the journal. Wall times are Unix milliseconds, for display; monotonic times are nanoseconds since the host
 * booted, for durations, since the wall clock may be set.
 */
public sealed interface Entry
    permits Entry.Boot,
        Entry.Intent,
        Entry.Written,
        Entry.Ended,
        Entry.Answered,
        Entry.Gap,
        Entry.Closed {

  /** How a request ended for the client. */
  enum Told {
    SERVED,
    REFUSED,
    FAILED,
    LEFT
  }

  /** A process began to write. Monotonic times are comparable only between records with the same {@code hostBoot}. */
  record Boot(
      long wallMillis,
      long monoNanos,
      String instance,
      String hostBoot,
      Durability durability,
      boolean refusesInTrouble)
      implements Entry {}

  /** An attempt is about to be made: written before its first byte is sent. */
  record Intent(
      String id,
      String key,
      String className,
      Effect effect,
      DedupScope scope,
      long windowNanos,
      String tenant,
      String pool,
      int attempt,
      String upstream,
      String address,
      String zone,
      int cell,
      long wallMillis,
      long monoNanos)
      implements Entry {}

  /** The attempt's last byte was written: from here on it may run. */
  record Written(String id, int attempt, long monoNanos) implements Entry {}

  /** The attempt ended. */
  record Ended(String id, int attempt, Status status, long wallMillis) implements Entry {}

  /** The client received its final answer, or had disconnected. */
  record Answered(String id, Told told, long wallMillis) implements Entry {}

  /** Records were lost between these times, or requests were sent without a record. */
  record Gap(long fromWallMillis, long toWallMillis, long lost) implements Entry {}

  /** The process ended in order; all records were written. */
  record Closed(long wallMillis) implements Entry {}
}
