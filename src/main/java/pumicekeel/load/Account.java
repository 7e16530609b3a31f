package pumicekeel.load;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import org.HdrHistogram.ConcurrentHistogram;

/** What became of each thing that was asked, as its client saw it; read by any thread while the load goes on. */
public final class Account {

  /** How one ended. From LATE on it should not have. */
  public enum End {
    SERVED,
    REFUSED,
    FAILED,
    LATE,
    WRONG,
    LOST
  }

  private static final int MOST_FAULTS = 20;
  private static final long LONGEST_MICROS = 60_000_000L;

  private final AtomicLong asked = new AtomicLong();
  private final AtomicLong left = new AtomicLong();
  private final AtomicLongArray ends = new AtomicLongArray(End.values().length);
  private final ConcurrentHistogram latency = new ConcurrentHistogram(LONGEST_MICROS, 3);
  private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<String> served = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<String> refused = new ConcurrentLinkedQueue<>();
  private final boolean keepsNames;

  Account(boolean keepsNames) {
    this.keepsNames = keepsNames;
  }

  void asked(int count) {
    asked.addAndGet(count);
  }

  /** So many were open as their client left on purpose. */
  void left(int count) {
    left.addAndGet(count);
  }

  void ended(End how, String name, long dueAt, String what) {
    ends.incrementAndGet(how.ordinal());
    if (how == End.SERVED) {
      latency.recordValue(Math.min(
          LONGEST_MICROS, Math.max(1, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueAt))));
    } else if (how.compareTo(End.LATE) >= 0 && faults.size() < MOST_FAULTS) {
      faults.add(name + " " + how + " " + what);
    }
    if (keepsNames && how.compareTo(End.REFUSED) <= 0) {
      (how == End.SERVED ? served : refused).add(name);
    }
  }

  /** Something came that answers nothing. */
  void unasked(String what) {
    asked(1);
    ended(End.WRONG, "?", 0, "an answer that nobody asked for: " + what);
  }

  public long asked() {
    return asked.get();
  }

  /** Whose client left before their end. */
  public long left() {
    return left.get();
  }

  public long count(End end) {
    return ends.get(end.ordinal());
  }

  /** Lost, late, or not what was asked for. */
  public long wrong() {
    return count(End.LOST) + count(End.LATE) + count(End.WRONG);
  }

  /** Neither ended nor left by now. */
  public long unended() {
    long sum = left.get();
    for (int i = 0; i < ends.length(); i++) {
      sum += ends.get(i);
    }
    return asked() - sum;
  }

  /** Of what was served, in microseconds from when it was due. */
  public ConcurrentHistogram latency() {
    return latency;
  }

  /** The first few ends that should not be. */
  public List<String> faults() {
    return List.copyOf(faults);
  }

  /** Names of those that were served, where names are kept. */
  public List<String> served() {
    return List.copyOf(served);
  }

  /** Names of those that were refused, where names are kept. */
  public List<String> refused() {
    return List.copyOf(refused);
  }
}
