package pumicekeel.sim;

import java.util.PriorityQueue;

/** Virtual clock in nanoseconds with a queue of events; events due at the same time run in the sequence in which they were added. */
final class EventQueue {

  private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long sequence;

  long now() {
    return now;
  }

  void schedule(long at, Runnable task) {
    events.add(new Event(at, sequence++, task));
  }

  /** Runs the next event and advances the clock to its time. Returns false if there is no event. */
  boolean runNext() {
    Event next = events.poll();
    if (next == null) {
      return false;
    }
    now = next.at;
    next.task.run();
    return true;
  }
}
