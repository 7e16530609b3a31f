package pumicekeel.sim;

import static pumicekeel.sim.ModuleSimSettings.DEADLINE;
import static pumicekeel.sim.ModuleSimSettings.GRACE;
import static pumicekeel.sim.ModuleSimSettings.MS;
import static pumicekeel.sim.ModuleSimSettings.SECOND;
import static pumicekeel.sim.ModuleSimSettings.SLACK;

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
import pumicekeel.Balancer.Listed;
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
 * One balancer of {@link ModuleSim}: a decision module, the clock that it reads, and the attempts that it starts. It can be paused,
 * and be started again; what was scheduled for an earlier life has no effect.
 */
final class SimulatedInstance {

  final int number;
  private final EventQueue queue;
  private final SplittableRandom random;
  private final Settings settings;
  private final Map<Long, SimulatedUpstream> upstreams;
  private final RuleChecker rules;
  /** What this instance's clock reads at the start of the run. */
  private final long origin;
  /** When this instance was told that an upstream drains or is gone, in the run's time. */
  private final Map<Long, Long> toldAt = new HashMap<>();
  /** When an upstream started as far as this instance was told, in the run's time. */
  private final Map<Long, Long> startsKnown = new HashMap<>();

  private final Map<String, RequestRecord> open = new HashMap<>();
  /** Null while the process is down. */
  private Balancer module;

  private long pausedUntil;
  /** Counts starts and stops, so that tasks of an earlier life can tell. */
  private int life;

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
    origin = random.nextLong(1_000_000 * SECOND);
  }

  /** Starts with a list as it was a while ago; what it missed comes later, by {@link #tell}. */
  void start(List<Listed> known) {
    life++;
    open.clear();
    toldAt.clear();
    startsKnown.clear();
    pausedUntil = 0;
    module = new AdaptiveBalancer(settings, random.nextLong());
    tell(new ListUpdate(ListKind.CACHED, own(known)));
  }

  /** Stops without a word. What was open dies with it: its clients are owed nothing by the next life. */
  void stop() {
    life++;
    module = null;
    open.values().forEach(e -> e.answered = true);
    open.clear();
  }

  boolean isUp() {
    return module != null;
  }

  int life() {
    return life;
  }

  /** Stands still until a time; what happens meanwhile reaches it then. */
  void pauseUntil(long time) {
    pausedUntil = time;
  }

  /** The list with start times by this instance's clock. */
  List<Listed> own(List<Listed> list) {
    return list.stream()
        .map(l -> new Listed(
            l.upstream(),
            l.zone(),
            l.cell(),
            l.state(),
            l.startedNanos() == 0 ? 0 : l.startedNanos() + origin,
            l.weight()))
        .toList();
  }

  /** Hands an event to the module and performs its actions; later where the instance stands still. */
  void tell(Event event) {
    if (queue.now() < pausedUntil) {
      int of = life;
      queue.at(pausedUntil, () -> {
        if (of == life) {
          tell(event);
        }
      });
      return;
    }
    if (event instanceof ListUpdate news) {
      news.entries().forEach(e -> {
        startsKnown.put(e.upstream(), e.startedNanos() == 0 ? 0 : e.startedNanos() - origin);
        if (e.state() == State.READY) {
          toldAt.remove(e.upstream());
        } else {
          toldAt.putIfAbsent(e.upstream(), queue.now());
        }
      });
    }
    List<Action> actions = new ArrayList<>();
    module.handle(queue.now() + origin, event, actions::add);
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
      int of = life;
      queue.at(Math.max(queue.now(), a.atNanos() - origin), () -> {
        if (of == life) {
          tell(new TimerFired(a.token()));
        }
      });
    }
  }

  /** A client sends a request. */
  void request(String id, RequestClass type, String key) {
    RequestRecord e = new RequestRecord(type, queue.now() + DEADLINE);
    rules.add(e);
    open.put(id, e);
    tell(new Request(id, type.name(), null, key, e.deadline + origin, 0, false));
  }

  private void answer(String id, boolean refusal) {
    RequestRecord e = open.get(id);
    if (e.served) {
      return;
    }
    rules.fault(e.answered, "two final answers to " + id);
    e.answered = true;
    e.refused = refusal;
    rules.fault(
        queue.now() > e.deadline + SLACK && pausedUntil < e.deadline - DEADLINE,
        "answered late: " + id);
  }

  private void send(Send a) {
    RequestRecord e = open.get(a.id());
    SimulatedUpstream upstream = upstreams.get(a.upstream());
    rules.fault(e.answered && !e.served, "sent after its answer: " + a.id());
    rules.fault(
        toldAt.containsKey(a.upstream()) && queue.now() - toldAt.get(a.upstream()) > GRACE,
        "instance " + number + " sent to " + a.upstream() + " "
            + (queue.now() - toldAt.getOrDefault(a.upstream(), queue.now())) / MS
            + " ms after it was told that it leaves");
    Attempt t = new Attempt(upstream);
    int attempt = e.attempts.size();
    e.attempts.add(t);
    if (e.served) {
      // As the table of open requests does: nothing goes out for one that has its answer.
      end(a.id(), t, attempt, Status.NOT_SENT);
      return;
    }
    if (startsKnown.getOrDefault(upstream.id, 0L) == upstream.startedAt) {
      upstream.sends.add(queue.now());
    }
    int of = life;
    long arrives = queue.now() + MS / 5 + random.nextLong(MS);
    queue.at(queue.now() + a.timeoutNanos(), () -> ended(of, a.id(), t, attempt, Status.TIMEOUT));
    queue.at(arrives, () -> arrive(of, e, a.id(), t, attempt));
  }

  private void arrive(int of, RequestRecord e, String id, Attempt t, int attempt) {
    if (t.upstream.down) {
      queue.at(queue.now() + MS, () -> ended(of, id, t, attempt, Status.CONNECT_FAILED));
      return;
    }
    if (t.over) {
      return;
    }
    if (random.nextInt(60) == 0) {
      queue.at(queue.now() + MS, () -> ended(of, id, t, attempt, Status.FULL));
      return;
    }
    rules.ran(e, t.upstream.cell);
    if (t.upstream.hung) {
      return;
    }
    int luck = random.nextInt(100);
    long takes = 2 * MS
        + (long) (-Math.log(1 - random.nextDouble()) * 20 * MS / t.upstream.warmth(queue.now()));
    queue.at(
        queue.now() + takes,
        () -> ended(
            of,
            id,
            t,
            attempt,
            t.upstream.down || luck == 0
                ? Status.RESET
                : luck == 1 ? Status.ERROR : Status.SERVED));
  }

  private void ended(int of, String id, Attempt t, int attempt, Status status) {
    if (of == life && queue.now() < pausedUntil) {
      queue.at(pausedUntil, () -> ended(of, id, t, attempt, status));
    } else if (of == life) {
      end(id, t, attempt, status);
    }
  }

  private void end(String id, Attempt t, int attempt, Status status) {
    RequestRecord e = open.get(id);
    if (t.over) {
      return;
    }
    t.over = true;
    if (status == Status.SERVED && !e.answered) {
      e.answered = true;
      e.served = true;
      rules.served();
    }
    // As on sockets: told later, never from within an action.
    int of = life;
    boolean finished = e.answered;
    queue.at(queue.now(), () -> {
      if (of == life) {
        tell(new Outcome(id, attempt, t.upstream.id, status, 5 * MS, finished, Map.of()));
      }
    });
  }
}
