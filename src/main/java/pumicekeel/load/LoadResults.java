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

  /** How a request ended. LATE and the values after it are violations; {@link #ended} depends on the order. */
  public enum Outcome {
    /** The expected result. */
    SERVED,
    /** The balancer refused the request, with status 429 or 503 or the corresponding error code. */
    REFUSED,
    /** The balancer reported a failure, with status 502 or the corresponding error code. */
    FAILED,
    /** An answer after the deadline and a grace. */
    LATE,
    /** Any other answer: to another request, to none, or with another status or error code. */
    WRONG,
    /** No answer: the connection was closed, or the deadline and a grace passed. */
    LOST
  }

  /** Maximum number of violations that are kept with a description. */
  private static final int MAX_FAULTS = 20;

  private static final long MAX_LATENCY_MICROS = 60_000_000L;

  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong abandoned = new AtomicLong();
  private final AtomicLongArray outcomes = new AtomicLongArray(Outcome.values().length);
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

  /** Counts requests that were pending when their client deliberately closed its connection. */
  void abandoned(int count) {
    abandoned.addAndGet(count);
  }

  void ended(Outcome outcome, String name, long dueAt, String description) {
    outcomes.incrementAndGet(outcome.ordinal());
    if (outcome == Outcome.SERVED) {
      latency.recordValue(Math.min(
          MAX_LATENCY_MICROS,
          Math.max(1, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueAt))));
    } else if (outcome.compareTo(Outcome.LATE) >= 0 && faults.size() < MAX_FAULTS) {
      faults.add(name + " " + outcome + " " + description);
    }
    if (keepsNames && outcome.compareTo(Outcome.REFUSED) <= 0) {
      (outcome == Outcome.SERVED ? served : refused).add(name);
    }
  }

  /** Counts an answer that belongs to no pending request as a request with the outcome WRONG. */
  void unsolicited(String description) {
    sent(1);
    ended(Outcome.WRONG, "?", 0, "unsolicited answer: " + description);
  }

  /** Returns the number of requests sent so far. */
  public long sent() {
    return sent.get();
  }

  /** Returns the number of requests that were pending when their client closed its connection. */
  public long abandoned() {
    return abandoned.get();
  }

  /** Returns the number of requests with this outcome so far. */
  public long count(Outcome outcome) {
    return outcomes.get(outcome.ordinal());
  }

  /** Returns the number of requests that were lost, late or answered wrongly. */
  public long violations() {
    return count(Outcome.LOST) + count(Outcome.LATE) + count(Outcome.WRONG);
  }

  /** Returns the number of requests that have neither ended nor been abandoned. */
  public long pending() {
    long sum = abandoned.get();
    for (int i = 0; i < outcomes.length(); i++) {
      sum += outcomes.get(i);
    }
    return sent() - sum;
  }

  /** Returns the latencies of served requests in microseconds, each counted from when the request was due. */
  public ConcurrentHistogram latency() {
    return latency;
  }

  /** Returns the first few violations, one line each. */
  public List<String> faults() {
    return List.copyOf(faults);
  }

  /** Returns the names of served requests; empty unless the load keeps names. */
  public List<String> served() {
    return List.copyOf(served);
  }

  /** Returns the names of refused requests; empty unless the load keeps names. */
  public List<String> refused() {
    return List.copyOf(refused);
  }
}
