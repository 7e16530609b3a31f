package pumicekeel.front.jsonrpc;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides when the answers of one batch go out, and which of them in one array. No I/O; times are readings of one clock in
 * nanoseconds. Section 6 of JSON-RPC 2.0 asks for one array; see docs/design/0003-json-rpc.md for what speaks against it.
 *
 * @param <T> an answer
 */
final class BatchAnswers<T> {

  /** EntryOutcome an entry of the batch ended. */
  enum EntryOutcome {
    /** Served, or an error of the application: it may wait for the others. */
    ANSWERED,
    /** Refused or failed: the client may want to do something about it. */
    REFUSED_OR_FAILED,
    /** Turned away before anything was tried: it goes with the first that go. */
    INVALID
  }

  /** No time at which something has to go. */
  static final long NEVER = Long.MAX_VALUE;

  private final BatchMode mode;
  private int pending;
  private List<T> ready = new ArrayList<>();
  private boolean flushDue;
  private long flushAt = NEVER;

  /** A batch with so many entries that will end, notifications among them. */
  BatchAnswers(BatchMode mode, int entries) {
    this.mode = mode;
    pending = entries;
  }

  /** An entry ended; {@code answer} is null for a notification; {@code waitUntil}: no longer than that is it ready. */
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

  /** What goes out now as one array; empty for nothing. */
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

  /** When {@link #takeReady} is to be called at the latest, or {@link #NEVER}. */
  long flushAt() {
    return ready.isEmpty() ? NEVER : flushAt;
  }

  boolean isComplete() {
    return pending == 0 && ready.isEmpty();
  }
}
