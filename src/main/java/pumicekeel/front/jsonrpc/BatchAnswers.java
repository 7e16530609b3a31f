package pumicekeel.front.jsonrpc;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides when the answers of one batch are sent, and which of them in one array. No I/O; times are readings of one clock in
 * nanoseconds. Section 6 of JSON-RPC 2.0 asks for one array; docs/design/0003-json-rpc.md has the reasons against it.
 *
 * @param <T> an answer
 */
final class BatchAnswers<T> {

  /** How an entry of the batch ended. */
  enum EntryOutcome {
    /** Served, or an error of the application: may wait for other answers. */
    ANSWERED,
    /** Refused or failed: sent at once, as the client may want to react. */
    REFUSED_OR_FAILED,
    /** Rejected before any attempt: sent with the first answers that are sent. */
    INVALID
  }

  /** Means that no answer is due. */
  static final long NEVER = Long.MAX_VALUE;

  private final BatchMode mode;
  private int pending;
  private List<T> ready = new ArrayList<>();
  private boolean flushDue;
  private long flushAt = NEVER;

  /** Creates the answers of a batch with this many entries, including notifications. */
  BatchAnswers(BatchMode mode, int entries) {
    this.mode = mode;
    pending = entries;
  }

  /** Records the end of an entry; {@code answer} is null for a notification and waits at most until {@code waitUntil}. */
  void ended(T answer, EntryOutcome outcome, long waitUntil) {
    pending--;
    if (answer != null) {
      ready.add(answer);
      boolean immediate = mode == BatchMode.APART
          || mode == BatchMode.IN_TIME && outcome == EntryOutcome.REFUSED_OR_FAILED;
      flushDue |= immediate;
      if (mode == BatchMode.IN_TIME && outcome == EntryOutcome.ANSWERED) {
        flushAt = Math.min(flushAt, waitUntil);
      }
    }
  }

  /** Returns the answers to send now as one array; empty if none. */
  List<T> takeReady(long now) {
    if (ready.isEmpty() || !flushDue && pending > 0 && now < flushAt) {
      return List.of();
    }
    List<T> out = ready;
    ready = new ArrayList<>();
    flushDue = false;
    flushAt = NEVER;
    return out;
  }

  /** Returns the latest time to call {@link #takeReady}, or {@link #NEVER}. */
  long flushAt() {
    return ready.isEmpty() ? NEVER : flushAt;
  }

  boolean isComplete() {
    return pending == 0 && ready.isEmpty();
  }
}
