package pumicekeel.sim;

import static pumicekeel.sim.ModuleSimSettings.ANSWER_SLACK_NANOS;
import static pumicekeel.sim.ModuleSimSettings.DEADLINE_NANOS;
import static pumicekeel.sim.ModuleSimSettings.DRAIN_GRACE_NANOS;
import static pumicekeel.sim.ModuleSimSettings.MS;
import static pumicekeel.sim.ModuleSimSettings.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import pumicekeel.AdaptiveBalancer;
import pumicekeel.Balancer;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.Cancel;
import pumicekeel.Balancer.Event;
import pumicekeel.Balancer.Fail;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.ListUpdate;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.Outcome;
import pumicekeel.Balancer.Refuse;
import pumicekeel.Balancer.Request;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Send;
import pumicekeel.Balancer.SetTimer;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;
import pumicekeel.Balancer.Status;
import pumicekeel.Balancer.TimerFired;
import pumicekeel.sim.RequestRecord.Attempt;

/**
 * One balancer of {@link ModuleSim}: a decision module, its local clock and its attempts. It can be paused and restarted; tasks that
 * were scheduled before a restart have no effect after it.
 */
final class SimulatedInstance {

  final int number;
  private final EventQueue queue;
  private final SplittableRandom random;
  private final Settings settings;
  private final Map<Long, SimulatedUpstream> upstreams;
  private final RuleChecker rules;
  /** Reading of this instance's clock at the start of the run. */
  private final long clockOriginNanos;
  /** Virtual time at which this instance was notified that an upstream drains or has departed. */
  private final Map<Long, Long> departureNotifiedAt = new HashMap<>();
  /** Virtual time of each upstream's latest start that this instance was notified of. */
  private final Map<Long, Long> knownStarts = new HashMap<>();

  private final Map<String, RequestRecord> open = new HashMap<>();
  /** Null while the process is down. */
  private Balancer module;

  private long pausedUntil;
  /** Number of starts and stops; tasks of an earlier incarnation are recognized by it. */
  private int incarnation;

  SimulatedInstance(
      int number,
      EventQueue queue,
      SplittableRandom random,
      Settings settings,
      Map<Long, SimulatedUpstream> upstreams,
      RuleChecker rules) {
    this.number = number;
    this.queue = queue;
    this.random = random;
    this.settings = settings;
    this.upstreams = upstreams;
    this.rules = rules;
    clockOriginNanos = random.nextLong(1_000_000 * SECOND);
  }

  /** Starts with a possibly outdated list; later updates arrive by {@link #deliver}. */
  void start(List<ListedUpstream> known) {
    incarnation++;
    open.clear();
    departureNotifiedAt.clear();
    knownStarts.clear();
    pausedUntil = 0;
    module = new AdaptiveBalancer(settings, random.nextLong());
    deliver(new ListUpdate(ListKind.CACHED, withLocalClock(known)));
  }

  /** Crashes. Open requests end without an answer and are not the responsibility of the next incarnation. */
  void stop() {
    incarnation++;
    module = null;
    open.values().forEach(request -> request.answered = true);
    open.clear();
  }

  boolean isUp() {
    return module != null;
  }

  int incarnation() {
    return incarnation;
  }

  /** Pauses the instance until a time; events in the meantime are delivered then. */
  void pauseUntil(long time) {
    pausedUntil = time;
  }

  /** Returns the list with the start times converted to this instance's clock. */
  List<ListedUpstream> withLocalClock(List<ListedUpstream> list) {
    return list.stream()
        .map(l -> new ListedUpstream(
            l.upstream(),
            l.zone(),
            l.cell(),
            l.state(),
            l.startedNanos() == 0 ? 0 : l.startedNanos() + clockOriginNanos,
            l.weight()))
        .toList();
  }

  /** Passes an event to the module and performs its actions; if the instance is paused, does so when it resumes. */
  void deliver(Event event) {
    if (queue.now() < pausedUntil) {
      int scheduledIn = incarnation;
      queue.schedule(pausedUntil, () -> {
        if (scheduledIn == incarnation) {
          deliver(event);
        }
      });
      return;
    }
    if (event instanceof ListUpdate update) {
      update.entries().forEach(e -> {
        knownStarts.put(
            e.upstream(), e.startedNanos() == 0 ? 0 : e.startedNanos() - clockOriginNanos);
        if (e.state() == State.READY) {
          departureNotifiedAt.remove(e.upstream());
        } else {
          departureNotifiedAt.putIfAbsent(e.upstream(), queue.now());
        }
      });
    }
    List<Action> actions = new ArrayList<>();
    module.handle(queue.now() + clockOriginNanos, event, actions::add);
    actions.forEach(this::perform);
  }

  private void perform(Action action) {
    if (action instanceof Send a) {
      send(a);
    } else if (action instanceof Refuse a) {
      answer(a.id(), true);
    } else if (action instanceof Fail a) {
      answer(a.id(), false);
    } else if (action instanceof Cancel a) {
      end(a.id(), open.get(a.id()).attempts.get(a.attempt()), a.attempt(), Status.CANCELLED);
    } else if (action instanceof SetTimer a) {
      int scheduledIn = incarnation;
      queue.schedule(Math.max(queue.now(), a.atNanos() - clockOriginNanos), () -> {
        if (scheduledIn == incarnation) {
          deliver(new TimerFired(a.token()));
        }
      });
    }
  }

  /** A client sends a request. */
  void request(String id, RequestClass requestClass, String key) {
    RequestRecord request = new RequestRecord(requestClass, queue.now() + DEADLINE_NANOS);
    rules.add(request);
    open.put(id, request);
    deliver(new Request(
        id, requestClass.name(), null, key, request.deadline + clockOriginNanos, 0, false));
  }

  private void answer(String id, boolean refusal) {
    RequestRecord request = open.get(id);
    if (request.served) {
      return;
    }
    rules.recordIf(request.answered, "two final answers to " + id);
    request.answered = true;
    request.refused = refusal;
    rules.recordIf(
        queue.now() > request.deadline + ANSWER_SLACK_NANOS
            && pausedUntil < request.deadline - DEADLINE_NANOS,
        "answered late: " + id);
  }

  private void send(Send a) {
    RequestRecord request = open.get(a.id());
    SimulatedUpstream upstream = upstreams.get(a.upstream());
    rules.recordIf(request.answered && !request.served, "sent after the final answer: " + a.id());
    rules.recordIf(
        departureNotifiedAt.containsKey(a.upstream())
            && queue.now() - departureNotifiedAt.get(a.upstream()) > DRAIN_GRACE_NANOS,
        "instance " + number + " sent to " + a.upstream() + " "
            + (queue.now() - departureNotifiedAt.getOrDefault(a.upstream(), queue.now())) / MS
            + " ms after the notification that it departs");
    Attempt t = new Attempt(upstream);
    int attempt = request.attempts.size();
    request.attempts.add(t);
    if (request.served) {
      // As in the real table of open requests, nothing is sent for a request that is already
      // answered.
      end(a.id(), t, attempt, Status.NOT_SENT);
      return;
    }
    if (knownStarts.getOrDefault(upstream.id, 0L) == upstream.startedAt) {
      upstream.sends.add(queue.now());
    }
    int scheduledIn = incarnation;
    long arrives = queue.now() + MS / 5 + random.nextLong(MS);
    queue.schedule(
        queue.now() + a.timeoutNanos(),
        () -> endLater(scheduledIn, a.id(), t, attempt, Status.TIMEOUT));
    queue.schedule(arrives, () -> arrive(scheduledIn, request, a.id(), t, attempt));
  }

  private void arrive(int scheduledIn, RequestRecord request, String id, Attempt t, int attempt) {
    if (t.upstream.down) {
      queue.schedule(
          queue.now() + MS, () -> endLater(scheduledIn, id, t, attempt, Status.CONNECT_FAILED));
      return;
    }
    if (t.ended) {
      return;
    }
    if (random.nextInt(60) == 0) {
      queue.schedule(queue.now() + MS, () -> endLater(scheduledIn, id, t, attempt, Status.FULL));
      return;
    }
    rules.checkRun(request, t.upstream.cell);
    if (t.upstream.hung) {
      return;
    }
    int draw = random.nextInt(100);
    long durationNanos = 2 * MS
        + (long) (-Math.log(1 - random.nextDouble()) * 20 * MS / t.upstream.warmth(queue.now()));
    queue.schedule(
        queue.now() + durationNanos,
        () -> endLater(
            scheduledIn,
            id,
            t,
            attempt,
            t.upstream.down || draw == 0
                ? Status.RESET
                : draw == 1 ? Status.ERROR : Status.SERVED));
  }

  private void endLater(int scheduledIn, String id, Attempt t, int attempt, Status status) {
    if (scheduledIn == incarnation && queue.now() < pausedUntil) {
      queue.schedule(pausedUntil, () -> endLater(scheduledIn, id, t, attempt, status));
    } else if (scheduledIn == incarnation) {
      end(id, t, attempt, status);
    }
  }

  private void end(String id, Attempt t, int attempt, Status status) {
    RequestRecord request = open.get(id);
    if (t.ended) {
      return;
    }
    t.ended = true;
    if (status == Status.SERVED && !request.answered) {
      request.answered = true;
      request.served = true;
      rules.countServed();
    }
    // As with real sockets, the module is notified later, never from within an action.
    int scheduledIn = incarnation;
    boolean finished = request.answered;
    queue.schedule(queue.now(), () -> {
      if (scheduledIn == incarnation) {
        deliver(new Outcome(id, attempt, t.upstream.id, status, 5 * MS, finished, Map.of()));
      }
    });
  }
}
