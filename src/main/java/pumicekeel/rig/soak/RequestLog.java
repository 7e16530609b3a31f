package pumicekeel.rig.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Records the events of each request at clients, upstreams and balancers, on one monotonic clock. Thread-safe. */
public final class RequestLog {

  /** An event of a request at its client, an upstream or a balancer. */
  public enum EventType {
    /** Client: the last byte was written; the value is the time left in ms, the text the class. */
    SENT,
    /** Client: sent again on a new connection, since the kept one was closed while the request was on its way. */
    SENT_AGAIN,
    /** Client: the head of an answer was received; the value is the status. */
    BEGUN,
    /** Client: it reads its answer slowly. */
    READS_SLOWLY,
    /** Client: a complete answer was received; the value is the status, the text the body. */
    ANSWERED,
    /** Client: the connection closed without a complete answer; the text is the reason. */
    CLOSED,
    /** Client: a kept connection was closed while the request was on its way, and a new one could not be opened. */
    UNREACHABLE,
    /** Client: it abandoned the request and closed its connection. */
    LEFT,
    /** Upstream: the complete request was received; the value is the X-Time-Left-Ms header, the text the URI. */
    RECEIVED,
    /** Client: it closed its connection, its time having been up for long; the value is the time since then in ms. */
    STOPPED_WAITING,
    /** Upstream: the head of an answer that comes slowly was written; the value is the status. */
    REPLYING,
    /** Upstream: an answer was written; the value is the status. */
    REPLIED,
    /** Upstream: the connection was closed before the answer was written. */
    GIVEN_UP,
    /** Upstream: the connection was closed by the balancer while a sound answer was being written; the value is the bytes written. */
    SOUND_CUT,
    /** Balancer: a log line names the request. */
    LOGGED
  }

  /** An event with its System.nanoTime time and the name of its client, upstream or balancer. */
  public record Event(long atNanos, String source, EventType type, long value, String text) {

    private String format(long startNanos) {
      return String.format(
          "  %9.1f ms  %-12s %-10s %d %s", (atNanos - startNanos) / 1e6, source, type, value, text);
    }
  }

  private final long startedAt = System.nanoTime();
  private final Map<String, ConcurrentLinkedQueue<Event>> requests = new ConcurrentHashMap<>();

  /** Records an event with the current time. */
  public void add(String id, String source, EventType type, long value, String text) {
    add(id, new Event(System.nanoTime(), source, type, value, text));
  }

  /** Records an event with its own time. */
  void add(String id, Event event) {
    requests.compute(id, (key, known) -> {
      ConcurrentLinkedQueue<Event> events = known == null ? new ConcurrentLinkedQueue<>() : known;
      events.add(event);
      return events;
    });
  }

  /** Records a balancer's log line for each request whose id it contains. */
  public void addLogLine(String balancer, String line) {
    for (String word : line.split("[ ,:;()]+")) {
      if (requests.containsKey(word)) {
        add(word, balancer, EventType.LOGGED, 0, line);
      }
    }
  }

  /** Returns the ids of all requests so far. */
  public List<String> ids() {
    return List.copyOf(requests.keySet());
  }

  /** Returns the events of a request in order of time. */
  public List<Event> of(String id) {
    List<Event> events = new ArrayList<>(requests.getOrDefault(id, new ConcurrentLinkedQueue<>()));
    events.sort(Comparator.comparingLong(Event::atNanos));
    return events;
  }

  /** Returns the System.nanoTime time at which the log began. */
  public long startedAt() {
    return startedAt;
  }

  /** Returns the events of a request as one line each, in ms since the log began. */
  public List<String> timeline(String id) {
    return of(id).stream().map(e -> e.format(startedAt)).toList();
  }
}
