package pumicekeel.rig.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What clients, upstreams and balancers saw of each request, on one monotonic clock. For any thread. */
public final class RequestLog {

  /** What may happen to a request, as its client or an upstream sees it. */
  public enum Happening {
    /** Client: its last byte is written; the value is the time left in ms, the text the class. */
    SENT,
    /** Client: the same on a new connection, since its first one was closed as it was sent. */
    SENT_AGAIN,
    /** Client: an answer came whole; the value is the status, the text the body. */
    ANSWERED,
    /** Client: the connection ended with no whole answer; the text is why. */
    CLOSED,
    /** Client: its connection was closed as it was sent, and no new one comes up. */
    UNREACHABLE,
    /** Client: it has closed its connection and waits no longer. */
    LEFT,
    /** Upstream: it came whole; the value is the time left as told in ms, the text the upstream. */
    RECEIVED,
    /** Upstream: an answer was written; the value is the status. */
    REPLIED,
    /** Upstream: its connection ended before the answer. */
    GIVEN_UP,
    /** Balancer: a line of its log names the request. */
    LOGGED
  }

  /** One event; the time is System.nanoTime's. */
  public record Event(long atNanos, String who, Happening what, long value, String text) {
    private String line(long from) {
      return String.format(
          "  %9.1f ms  %-12s %-10s %d %s", (atNanos - from) / 1e6, who, what, value, text);
    }
  }

  private final long startedAt = System.nanoTime();
  private final Map<String, ConcurrentLinkedQueue<Event>> requests = new ConcurrentHashMap<>();

  /** Notes what has happened now. */
  public void add(String id, String who, Happening what, long value, String text) {
    add(id, new Event(System.nanoTime(), who, what, value, text));
  }

  /** Notes what happened at the event's time. */
  void add(String id, Event event) {
    requests.computeIfAbsent(id, k -> new ConcurrentLinkedQueue<>()).add(event);
  }

  /** A line of a balancer's log; it belongs to the requests that it names. */
  public void balancerSaid(String balancer, String line) {
    for (String word : line.split("[ ,:;()]+")) {
      if (requests.containsKey(word)) {
        add(word, balancer, Happening.LOGGED, 0, line);
      }
    }
  }

  /** The ids so far. */
  public List<String> ids() {
    return List.copyOf(requests.keySet());
  }

  /** The events of a request in order of time. */
  public List<Event> of(String id) {
    List<Event> events = new ArrayList<>(requests.getOrDefault(id, new ConcurrentLinkedQueue<>()));
    events.sort(Comparator.comparingLong(Event::atNanos));
    return events;
  }

  /** When it began, by System.nanoTime. */
  public long startedAt() {
    return startedAt;
  }

  /** The timeline of a request, a line each, in ms since the log began. */
  public List<String> timeline(String id) {
    return of(id).stream().map(e -> e.line(startedAt)).toList();
  }
}
