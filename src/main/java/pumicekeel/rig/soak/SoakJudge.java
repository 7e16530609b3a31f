package pumicekeel.rig.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pumicekeel.rig.soak.RequestLog.Event;
import pumicekeel.rig.soak.RequestLog.EventType;
import pumicekeel.rig.soak.SoakSettings.Effect;
import pumicekeel.rig.soak.SoakSettings.RequestClass;

/** Checks the events that clients and upstreams logged against the serving rules. Uses only those logs; does no I/O. */
public final class SoakJudge {

  /** A serving rule that can be violated. */
  public enum Rule {
    /** A request had no answer half a second after its deadline. */
    NEVER_ANSWERED,
    /** The connection closed without an answer. */
    CLOSED_UNANSWERED,
    /** The answer is not one that an upstream produced for this request. */
    WRONG_ANSWER,
    /** An attempt began more than 0.1 s after the client disconnected or received its answer. */
    BEGUN_AFTER_END,
    /** The time left announced to an upstream exceeds the time that the client had left. */
    TOLD_TOO_MUCH,
    /** A request ran more often than its class allows, or was refused although it may have run. */
    REPEATED_EFFECT,
    /** A request was sent to an upstream after the balancer had been notified of its drain and the grace had passed. */
    SENT_TO_LEAVING,
    /** A cold upstream received more than its cold budget. */
    COLD_OVERLOADED,
    /** A sound answer that had begun in time was ended by the balancer, and its client got no whole answer. */
    SOUND_ANSWER_CUT
  }

  /** A violation of a rule by a request. */
  public record Violation(Rule rule, String id, String detail) {}

  /** Delay caused by the machine: of the test's own threads, and of the balancer waiting for a processor. It is added to each limit. */
  @FunctionalInterface
  public interface Lateness {
    /** Returns the delay in ns for requests of these clients between two System.nanoTime times. */
    long nanos(String clients, long from, long to);
  }

  /** The time at which a balancer was killed without a SIGTERM before; requests in flight there are exempt from the answer rules. */
  public record Killed(String clients, long atNanos) {}

  /** The time at which a balancer was sent a SIGTERM. */
  public record Stopped(String clients, long atNanos) {}

  /**
   * What happened in a run that exempts requests from rules.
   *
   * @param killed kills of balancers without a SIGTERM before
   * @param stopped planned stops of balancers, which may end streams after the longest deadline
   * @param crowded whether idle clients may have used up all descriptors, so that new connections may be closed before a request is read
   * @param connectionsBreak whether system calls on connections fail for good, so that sound ones end
   */
  public record Circumstances(
      List<Killed> killed, List<Stopped> stopped, boolean crowded, boolean connectionsBreak) {

    /** The circumstances of a run without any of these. */
    public static final Circumstances NONE = new Circumstances(List.of(), List.of(), false, false);

    /** Copies the lists. */
    public Circumstances {
      killed = List.copyOf(killed);
      stopped = List.copyOf(stopped);
    }
  }

  static final long ANSWER_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  static final long ATTEMPT_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  static final long TIME_LEFT_SLACK_MILLIS = 150;
  /** Time between the record of a kill and the exit of the process: the signal is sent by another program, which has to start. */
  private static final long KILL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** The client's time starts at the balancer before its own clock does, by what the request may have waited unread. */
  private static final long CUT_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

  /** An answer whose head is written this long before its client's time is up has begun at the balancer in time. */
  private static final long HEAD_IN_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** The stop counts from the earliest moment at which the signal may have been sent. */
  private static final long STOP_EARLY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private static final long GRACE_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  /** Below this number of requests a cold budget has a wider allowance for chance. */
  private static final int SMALL_BUDGET_REQUESTS = 30;

  private final RequestLog log;
  private final SoakSettings settings;
  private final Map<String, Integer> cells;
  /** When each balancer counts as notified of changes of upstreams. */
  private final ChangeNotifications notifications;
  /** When each cold upstream was announced, by System.nanoTime. */
  private final Map<String, Long> cold;

  private final Circumstances circumstances;

  private final Lateness lateness;

  private final List<Violation> violations = new ArrayList<>();

  /** Creates a judge with the request log and what is known about the run beyond that. */
  public SoakJudge(
      RequestLog log,
      SoakSettings settings,
      Map<String, Integer> cells,
      ChangeNotifications notifications,
      Map<String, Long> cold,
      Circumstances circumstances,
      Lateness lateness) {
    this.log = log;
    this.settings = settings;
    this.cells = Map.copyOf(cells);
    this.notifications = notifications;
    this.cold = Map.copyOf(cold);
    this.circumstances = circumstances;
    this.lateness = lateness;
  }

  /** Returns all violations. */
  public List<Violation> judge() {
    for (String id : log.ids()) {
      checkRequest(id, log.of(id));
    }
    cold.forEach(this::checkColdBudget);
    return List.copyOf(violations);
  }

  private void checkRequest(String id, List<Event> events) {
    Event sent = first(events, EventType.SENT);
    if (sent == null) {
      return;
    }
    Event resent = first(events, EventType.SENT_AGAIN);
    Event effective = resent == null ? sent : resent;
    long deadline = effective.atNanos() + TimeUnit.MILLISECONDS.toNanos(effective.value());
    RequestClass requestClass = classOf(sent);
    checkAnswer(id, events, sent, deadline);
    checkSoundAnswers(id, events, sent, deadline);
    checkAttempts(id, events, sent, deadline);
    checkEffect(id, events, requestClass, sent);
  }

  private RequestClass classOf(Event sent) {
    String name = sent.text().substring(0, sent.text().indexOf(' '));
    return settings.classes().stream()
        .filter(c -> c.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  private void checkAnswer(String id, List<Event> events, Event sent, long deadline) {
    Event answered = first(events, EventType.ANSWERED);
    Event closed = first(events, EventType.CLOSED);
    if (first(events, EventType.LEFT) != null
        || first(events, EventType.UNREACHABLE) != null
        || wasKilled(sent.source(), sent.atNanos(), deadline)) {
      return;
    }
    if (answered != null) {
      long lateNanos = lateness.nanos(sent.source(), sent.atNanos(), answered.atNanos());
      if (answered.atNanos() - latestAnswer(events, deadline) > ANSWER_SLACK_NANOS + lateNanos) {
        report(
            Rule.NEVER_ANSWERED,
            id,
            "answered " + (answered.atNanos() - deadline) / 1_000_000 + " ms after the deadline");
      }
      if (answered.value() == OK
          && (!answered.text().equals(id) || !repliedOk(events, answered.atNanos()))) {
        report(Rule.WRONG_ANSWER, id, answered.text());
      }
    } else if (closed != null && begun(events) != null) {
      checkTruncation(id, events, sent, closed, deadline);
    } else if (first(events, EventType.STOPPED_WAITING) != null) {
      checkUnfinished(id, events, sent);
    } else if (closed != null) {
      boolean closedUnread = circumstances.crowded()
          && closed.text().startsWith("new")
          && first(events, EventType.RECEIVED) == null;
      if (!closedUnread) {
        report(Rule.CLOSED_UNANSWERED, id, closed.text());
      }
    } else {
      report(Rule.NEVER_ANSWERED, id, "no answer");
    }
  }

  /** Returns the event of the client's receiving the head of an answer with status 200; null for none. */
  private static Event begun(List<Event> events) {
    return events.stream()
        .filter(e -> e.type() == EventType.BEGUN && e.value() == OK)
        .findFirst()
        .orElse(null);
  }

  /**
   * Checks a request whose client left long after its time: the client must have a part of an answer that its upstream never wrote to the
   * end, which is not lost.
   */
  private void checkUnfinished(String id, List<Event> events, Event sent) {
    Event left = first(events, EventType.STOPPED_WAITING);
    boolean unfinished = begun(events) != null && brokenByUpstream(events);
    if (!unfinished && !wasKilled(sent.source(), sent.atNanos(), left.atNanos())) {
      report(
          Rule.NEVER_ANSWERED, id, "no end of an answer " + left.value() + " ms behind its time");
    }
  }

  /**
   * Checks an answer that the client saw truncated: its upstream must have ended or stopped it, and once both that and the client's time
   * are over the client must see it soon.
   */
  private void checkTruncation(
      String id, List<Event> events, Event sent, Event closed, long deadline) {
    if (first(events, EventType.SOUND_CUT) != null) {
      // Checked as a sound answer.
      return;
    }
    if (endedByStop(sent.source(), closed.atNanos()) || circumstances.connectionsBreak()) {
      return;
    }
    long upstreamEnd = events.stream()
        .filter(e -> e.type() == EventType.GIVEN_UP)
        .mapToLong(Event::atNanos)
        .max()
        .orElse(Long.MIN_VALUE);
    if (upstreamEnd == Long.MIN_VALUE) {
      report(Rule.CLOSED_UNANSWERED, id, "answer truncated, " + closed.text());
      return;
    }
    long lateNanos = lateness.nanos(sent.source(), sent.atNanos(), closed.atNanos());
    long sinceEnd = closed.atNanos() - Math.max(deadline, upstreamEnd);
    if (sinceEnd > ANSWER_SLACK_NANOS + lateNanos) {
      report(
          Rule.NEVER_ANSWERED,
          id,
          "truncated " + sinceEnd / 1_000_000 + " ms after its upstream's end and the deadline");
    }
  }

  /** An answer of which the client had the head in time may last as long as its upstream writes. */
  private static long latestAnswer(List<Event> events, long deadline) {
    Event begun = begun(events);
    if (begun == null || begun.atNanos() - deadline > ANSWER_SLACK_NANOS) {
      return deadline;
    }
    if (first(events, EventType.READS_SLOWLY) != null) {
      return Math.max(deadline, first(events, EventType.ANSWERED).atNanos());
    }
    return events.stream()
        .filter(e -> e.type() == EventType.REPLIED && e.value() == OK)
        .mapToLong(Event::atNanos)
        .reduce(deadline, Math::max);
  }

  private void checkSoundAnswers(String id, List<Event> events, Event sent, long deadline) {
    Event answered = first(events, EventType.ANSWERED);
    boolean served = answered != null && answered.value() == OK;
    if (served
        || circumstances.connectionsBreak()
        || first(events, EventType.LEFT) != null
        || first(events, EventType.UNREACHABLE) != null) {
      return;
    }
    boolean begun = events.stream().anyMatch(e -> e.type() == EventType.BEGUN && e.value() == OK);
    for (Event e : events) {
      if (e.type() != EventType.SOUND_CUT
          || wasKilled(sent.source(), sent.atNanos(), Math.max(deadline, e.atNanos()))) {
        continue;
      }
      long earlyNanos = deadline
          - e.atNanos()
          - CUT_SLACK_NANOS
          - lateness.nanos(sent.source(), sent.atNanos(), e.atNanos());
      boolean headInTime = events.stream()
          .anyMatch(h -> h.type() == EventType.REPLYING
              && h.source().equals(e.source())
              && e.atNanos() - h.atNanos() > CUT_SLACK_NANOS
              && deadline - h.atNanos()
                  > HEAD_IN_TIME_NANOS
                      + lateness.nanos(sent.source(), sent.atNanos(), h.atNanos()));
      boolean givenUpForAnother =
          begun && (brokenByUpstream(events) || clientSawStop(events, sent.source()));
      boolean allowed = givenUpForAnother || endedByStop(sent.source(), e.atNanos());
      if ((earlyNanos > 0 || begun || headInTime) && !allowed) {
        report(
            Rule.SOUND_ANSWER_CUT,
            id,
            e.source() + ", " + (deadline - e.atNanos()) / 1_000_000 + " ms before the deadline, "
                + (begun ? "part passed on, " : "") + e.text());
      }
    }
  }

  /** Returns whether an upstream ended or stopped an answer that it had begun: the client may have had a part of that one. */
  private static boolean brokenByUpstream(List<Event> events) {
    return events.stream()
        .anyMatch(e -> e.type() == EventType.GIVEN_UP && !e.text().isEmpty());
  }

  /** Returns whether the answer that was passed on ended with the process. */
  private boolean clientSawStop(List<Event> events, String clients) {
    Event closed = first(events, EventType.CLOSED);
    return closed != null && endedByStop(clients, closed.atNanos());
  }

  private boolean endedByStop(String clients, long atNanos) {
    long lastNanos = TimeUnit.MILLISECONDS.toNanos(settings.longMillis());
    return circumstances.stopped().stream()
        .anyMatch(s ->
            s.clients().equals(clients) && atNanos - s.atNanos() >= lastNanos - STOP_EARLY_NANOS);
  }

  private boolean wasKilled(String clients, long from, long to) {
    return circumstances.killed().stream()
        .anyMatch(k -> k.clients().equals(clients)
            && k.atNanos() >= from - KILL_DELAY_NANOS
            && k.atNanos() <= to + 2 * ANSWER_SLACK_NANOS);
  }

  private static boolean repliedOk(List<Event> events, long atNanos) {
    return events.stream()
        .anyMatch(e -> e.type() == EventType.REPLIED && e.value() == OK && e.atNanos() <= atNanos);
  }

  private void checkAttempts(String id, List<Event> events, Event sent, long deadline) {
    Event left = first(events, EventType.LEFT);
    Event abandoned = left == null ? first(events, EventType.STOPPED_WAITING) : left;
    Event answered = first(events, EventType.ANSWERED);
    for (Event e : events) {
      if (e.type() != EventType.RECEIVED) {
        continue;
      }
      long lateNanos = lateness.nanos(sent.source(), sent.atNanos(), e.atNanos());
      long slackNanos = ATTEMPT_SLACK_NANOS + lateNanos;
      if (abandoned != null && e.atNanos() - abandoned.atNanos() > slackNanos
          || answered != null && e.atNanos() - answered.atNanos() > slackNanos) {
        report(Rule.BEGUN_AFTER_END, id, "at " + e.source());
      }
      long timeLeftMillis = (deadline - e.atNanos()) / 1_000_000;
      if (e.value() > timeLeftMillis + TIME_LEFT_SLACK_MILLIS + lateNanos / 1_000_000) {
        report(
            Rule.TOLD_TOO_MUCH,
            id,
            "announced " + e.value() + " ms left, actual " + timeLeftMillis);
      }
      long sinceLeavingNanos = notifications.nanosSinceLeavingNotified(
          balancerOf(sent.source()), e.source(), e.atNanos());
      if (sinceLeavingNanos
          > TimeUnit.MILLISECONDS.toNanos(SoakSettings.DRAIN_GRACE_MILLIS)
              + GRACE_SLACK_NANOS
              + lateNanos) {
        report(
            Rule.SENT_TO_LEAVING,
            id,
            e.source() + " " + sinceLeavingNanos / 1_000_000 + " ms after the notification");
      }
    }
  }

  /** Returns the balancer of these clients; their name is the balancer's name and one more letter. */
  private static String balancerOf(String clients) {
    return clients.substring(0, clients.length() - 1);
  }

  /** Returns the attempts that may have run: those that an upstream received and did not reject as never run. */
  private static List<Event> mayHaveRun(List<Event> events) {
    List<Event> ran = new ArrayList<>();
    Map<String, Event> last = new HashMap<>();
    for (Event e : events) {
      if (e.type() == EventType.RECEIVED) {
        ran.add(e);
        last.put(e.source(), e);
      } else if (e.type() == EventType.REPLIED && e.text().equals("never ran")) {
        ran.remove(last.get(e.source()));
      }
    }
    return ran;
  }

  private void checkEffect(String id, List<Event> events, RequestClass requestClass, Event sent) {
    List<Event> ran = mayHaveRun(events);
    Event answered = first(events, EventType.ANSWERED);
    boolean refused = answered != null
        && (answered.value() == TOO_MANY_REQUESTS || answered.value() == SERVICE_UNAVAILABLE);
    boolean refusalMeansNeverRan =
        requestClass.effect() == Effect.UNSAFE || requestClass.effect() == Effect.KEYED_BY_CELL;
    if (refusalMeansNeverRan
        && refused
        && !ran.isEmpty()
        && ran.get(0).atNanos() < answered.atNanos()) {
      report(Rule.REPEATED_EFFECT, id, "refused after it may have run");
    }
    if (requestClass.effect() == Effect.UNSAFE && ran.size() > 1) {
      report(Rule.REPEATED_EFFECT, id, "unsafe, ran " + ran.size() + " times");
    }
    if (requestClass.effect() == Effect.KEYED_BY_CELL
        || requestClass.effect() == Effect.KEYED_BY_ALL) {
      long window = TimeUnit.MILLISECONDS.toNanos(settings.windowMillis());
      for (Event e : ran) {
        Event firstRun = ran.get(0);
        boolean outside = requestClass.effect() == Effect.KEYED_BY_CELL
            && !cells.get(e.source()).equals(cells.get(firstRun.source()));
        if (outside
            || e.atNanos() - firstRun.atNanos()
                > window
                    + GRACE_SLACK_NANOS
                    + lateness.nanos(sent.source(), sent.atNanos(), e.atNanos())) {
          report(Rule.REPEATED_EFFECT, id, "keyed, ran again at " + e.source());
        }
      }
    }
  }

  /**
   * Checks the budget of a cold upstream in its first window: the initial share of the rate of the busiest other upstream, times the
   * multiple, plus an allowance for chance.
   */
  private void checkColdBudget(String name, long since) {
    List<Long> arrivals = new ArrayList<>();
    Map<String, Integer> others = new HashMap<>();
    long window = TimeUnit.MILLISECONDS.toNanos(SoakSettings.COLD_WINDOW_MILLIS);
    for (String id : log.ids()) {
      for (Event e : log.of(id)) {
        if (e.type() == EventType.RECEIVED && e.atNanos() - since >= 0) {
          if (e.source().equals(name)) {
            arrivals.add(e.atNanos());
          } else if (e.atNanos() - since < window) {
            others.merge(e.source(), 1, Integer::sum);
          }
        }
      }
    }
    int usualCount = others.values().stream().mapToInt(n -> n).max().orElse(0);
    double allowed = SoakSettings.COLD_MULTIPLE * SoakSettings.COLD_FROM * usualCount;
    double chance =
        allowed < SMALL_BUDGET_REQUESTS ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
    long received = arrivals.stream().filter(at -> at - since < window).count();
    if (received > allowed + chance) {
      report(
          Rule.COLD_OVERLOADED,
          name,
          received + " of " + Math.round(allowed + chance) + " allowed in its first window");
    }
  }

  private static Event first(List<Event> events, EventType type) {
    return events.stream().filter(e -> e.type() == type).findFirst().orElse(null);
  }

  private void report(Rule rule, String id, String detail) {
    violations.add(new Violation(rule, id, detail));
  }
}
