package pumicekeel.load;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Outcomes, latencies and faults of all requests of one load, as its clients saw them. Written on the load's event loops and readable
 * from any thread while it runs; counters are consistent with each other only once the load has stopped.
 */
public final class LoadResults {

  /** How a request ended. LATE, WRONG and LOST are violations; their order matters to {@link #ended}. */
  public enum Outcome {
    SERVED,
    REFUSED,
    FAILED,
    LATE,
    WRONG,
    LOST
  }

  private static final int MAX_FAULTS = 20;
  private static final long MAX_LATENCY_MICROS = 60_000_000L;

  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong abandoned = new AtomicLong();
  private final AtomicLongArray ends = new AtomicLongArray(Outcome.values().length);
  private final ConcurrentHistogram latency = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
  private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<String> served = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<String> refused = new ConcurrentLinkedQueue<>();
  private final boolean keepsNames;

  LoadResults(boolean keepsNames) {
    this.keepsNames = keepsNames;
  }

  void sent(int count) {
    sent.addAndGet(count);
  }

  /** Counts requests that were open when their client closed its connection on purpose. */
  void abandoned(int count) {
    abandoned.addAndGet(count);
  }

  void ended(Outcome how, String name, long dueAt, String what) {
    ends.incrementAndGet(how.ordinal());
    if (how == Outcome.SERVED) {
      latency.recordValue(Math.min(
          MAX_LATENCY_MICROS,
          Math.max(1, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueAt))));
    } else if (how.compareTo(Outcome.LATE) >= 0 && faults.size() < MAX_FAULTS) {
      faults.add(name + " " + how + " " + what);
    }
    if (keepsNames && how.compareTo(Outcome.REFUSED) <= 0) {
      (how == Outcome.SERVED ? served : refused).add(name);
    }
  }

  /** Counts an answer that belongs to no open request, as a request that ended WRONG. */
  void unsolicited(String what) {
    sent(1);
    ended(Outcome.WRONG, "?", 0, "an answer that nobody asked for: " + what);
  }

  /** Requests sent so far. */
  public long sent() {
    return sent.get();
  }

  /** Requests whose client closed its connection before they ended. */
  public long abandoned() {
    return abandoned.get();
  }

  /** Requests that ended in this way so far. */
  public long count(Outcome outcome) {
    return ends.get(outcome.ordinal());
  }

  /** Requests that ended in violation: lost, late, or with another's answer. */
  public long violations() {
    return count(Outcome.LOST) + count(Outcome.LATE) + count(Outcome.WRONG);
  }

  /** Requests that are still open: neither ended nor abandoned. */
  public long pending() {
    long sum = abandoned.get();
    for (int i = 0; i < ends.length(); i++) {
      sum += ends.get(i);
    }
    return sent() - sum;
  }

  /** Latencies of served requests in microseconds, counted from when each was due. */
  public ConcurrentHistogram latency() {
    return latency;
  }

  /** The first few violations, one line each. */
  public List<String> faults() {
    return List.copyOf(faults);
  }

  /** Names of served requests; empty unless the load keeps names. */
  public List<String> served() {
    return List.copyOf(served);
  }

  /** Names of refused requests; empty unless the load keeps names. */
  public List<String> refused() {
    return List.copyOf(refused);
  }
}
