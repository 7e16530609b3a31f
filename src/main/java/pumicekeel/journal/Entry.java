package pumicekeel.journal;

import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Status;

/**
 * One record of the journal. Wall times are Unix milliseconds, for people; monotonic times are nanoseconds of the host
 * since it booted, for durations: the wall clock may be set.
 */
public sealed interface Entry
    permits Entry.Boot,
        Entry.Intent,
        Entry.Written,
        Entry.Ended,
        Entry.Answered,
        Entry.Gap,
        Entry.Closed {

  /** The client's view of a request's end. */
  enum Told {
    SERVED,
    REFUSED,
    FAILED,
    LEFT
  }

  /** A process began to write. {@code hostBoot} tells whether two monotonic times may be compared. */
  record Boot(
      long wallMillis,
      long monoNanos,
      String instance,
      String hostBoot,
      Durability durability,
      boolean refusesInTrouble)
      implements Entry {}

  /** An attempt is about to be made: on record before its first byte leaves. */
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

  /** The client was given its final answer, or had left. */
  record Answered(String id, Told told, long wallMillis) implements Entry {}

  /** Records were lost between these times, or sends were made without one. */
  record Gap(long fromWallMillis, long toWallMillis, long lost) implements Entry {}

  /** The process ended and has written all. */
  record Closed(long wallMillis) implements Entry {}
}
