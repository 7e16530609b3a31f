package pumicekeel.sim;

import java.util.PriorityQueue;

/** Virtual time in nanoseconds and the events due in it; events of the same time run in the order in which they were added. */
final class EventQueue {

  private record Event(long at, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long order;

  long now() {
    return now;
  }

  void at(long when, Runnable task) {
    events.add(new Event(when, order++, task));
  }

  /** Runs the next event, and sets the time to its own; false where there is none. */
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
