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

  /** How an entry of the batch ended. */
  enum How {
    /** Served, or an error of the application: it may wait for the others. */
    ANSWERED,
    /** Refused or failed: the client may want to do something about it. */
    GIVEN_UP,
    /** Turned away before anything was tried: it goes with the first that go. */
    INVALID
  }

  /** No time at which something has to go. */
  static final long NEVER = Long.MAX_VALUE;

  private final BatchMode mode;
  private int pending;
  private List<T> held = new ArrayList<>();
  private boolean due;
  private long dueAt = NEVER;

  /** A batch with so many entries that will end, notifications among them. */
  BatchAnswers(BatchMode mode, int entries) {
    this.mode = mode;
    pending = entries;
  }

  /** An entry ended; {@code answer} is null for a notification; {@code waitUntil}: no longer than that is it held. */
  void ended(T answer, How how, long waitUntil) {
    pending--;
    if (answer != null) {
      held.add(answer);
      boolean now = mode == BatchMode.APART || mode == BatchMode.IN_TIME && how == How.GIVEN_UP;
      due |= now;
      if (mode == BatchMode.IN_TIME && how == How.ANSWERED) {
        dueAt = Math.min(dueAt, waitUntil);
      }
    }
  }

  /** What goes out now as one array; empty for nothing. */
  List<T> take(long now) {
    if (held.isEmpty() || !due && pending > 0 && now < dueAt) {
      return List.of();
    }
    List<T> out = held;
    held = new ArrayList<>();
    due = false;
    dueAt = NEVER;
    return out;
  }

  /** When {@link #take} is to be called at the latest, or {@link #NEVER}. */
  long dueAt() {
    return held.isEmpty() ? NEVER : dueAt;
  }

  boolean over() {
    return pending == 0 && held.isEmpty();
  }
}
