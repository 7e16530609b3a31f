package pumicekeel.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import pumicekeel.AdaptiveBalancer;
import pumicekeel.Balancer;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.Cancel;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Event;
import pumicekeel.Balancer.Fail;
import pumicekeel.Balancer.Limits;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.ListNews;
import pumicekeel.Balancer.Listed;
import pumicekeel.Balancer.Outcome;
import pumicekeel.Balancer.Prices;
import pumicekeel.Balancer.Refuse;
import pumicekeel.Balancer.Request;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Send;
import pumicekeel.Balancer.SetTimer;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;
import pumicekeel.Balancer.Status;
import pumicekeel.Balancer.TimerFired;
import pumicekeel.Balancer.WeightKind;

/**
 * The decision modules of a whole fleet in virtual time and one thread, with upstreams that break, drain and return cold, a list
 * that reaches each instance late, and instances that die, sleep and start from old lists. A seed decides all of it and gives the
 * same run again. The book is kept by what reaches the upstreams: exactly one final answer a request, no effect twice, nothing new
 * to one that drains, and no cold one pushed over by all instances together.
 */
public final class ModuleSim {

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final long END = 30 * SECOND;
  private static final long GRACE = 2 * SECOND;
  private static final long WARM = 8 * SECOND;
  private static final long WINDOW = 3 * SECOND;
  private static final double COLD_FROM = 0.3;
  private static final double MULTIPLE = 3;
  private static final long DEDUP = 2 * SECOND;
  private static final long DEADLINE = 2 * SECOND;
  private static final long SLACK = 8 * MS;
  private static final double ARRIVALS_PER_SECOND = 10;
  /** What an upstream can do, against what it is usually asked: the budget of a cold one goes by it. */
  private static final double CAPACITY = 2;
  /** Instances that start from a list so old miss the last changes of it. */
  private static final long LATEST_NEWS = 6 * SECOND;

  /** A run's figures; {@code fault} is null where all rules held. {@code coldShare}: of a cold budget, the most that was used. */
  public record Report(
      long seed, int size, String fault, long requests, long served, double coldShare) {}

  private record Step(long at, long order, Runnable what) implements Comparable<Step> {
    @Override
    public int compareTo(Step other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private static final class Server {
    final long id;
    final int cell;
    final List<Long> sends = new ArrayList<>();
    long startedAt;
    State state = State.READY;
    boolean down;
    boolean hung;

    Server(long id, int cell) {
      this.id = id;
      this.cell = cell;
    }
  }

  /** One request's book: what ran where, and what its client was told. */
  private static final class Entry {
    final RequestClass type;
    final long deadline;
    final List<Try> tries = new ArrayList<>();
    final Map<Integer, Long> ranAt = new HashMap<>();
    int runs;
    boolean answered;
    /** An upstream's answer has gone out, and the module hears of it a moment later. */
    boolean served;

    boolean refused;

    Entry(RequestClass type, long deadline) {
      this.type = type;
      this.deadline = deadline;
    }
  }

  private static final class Try {
    final Server server;
    boolean over;

    Try(Server server) {
      this.server = server;
    }
  }

  private final class Instance {
    final int number;
    final long origin = random.nextLong(1_000_000 * SECOND);
    /** When this instance was told that a server leaves; the time is ours. */
    final Map<Long, Long> toldAt = new HashMap<>();
    /** When a server started as far as this instance knows; the time is ours. What it can't know it can't heed. */
    final Map<Long, Long> startsKnown = new HashMap<>();

    final Map<String, Entry> open = new HashMap<>();
    Balancer module;
    long pausedUntil;
    int life;

    Instance(int number) {
      this.number = number;
    }

    /** Starts with a list as it was a while ago; all of what it missed comes later. */
    void start(List<Listed> known) {
      life++;
      open.clear();
      toldAt.clear();
      startsKnown.clear();
      pausedUntil = 0;
      module = new AdaptiveBalancer(settings, random.nextLong());
      tell(new ListNews(ListKind.CACHED, own(known)));
    }

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

    void tell(Event event) {
      if (now < pausedUntil) {
        int of = life;
        at(pausedUntil, () -> {
          if (of == life) {
            tell(event);
          }
        });
        return;
      }
      if (event instanceof ListNews news) {
        news.entries().forEach(e -> {
          startsKnown.put(e.upstream(), e.startedNanos() == 0 ? 0 : e.startedNanos() - origin);
          if (e.state() == State.READY) {
            toldAt.remove(e.upstream());
          } else {
            toldAt.putIfAbsent(e.upstream(), now);
          }
        });
      }
      List<Action> actions = new ArrayList<>();
      module.handle(now + origin, event, actions::add);
      actions.forEach(this::perform);
    }

    void perform(Action action) {
      if (action instanceof Send a) {
        send(a);
      } else if (action instanceof Refuse a) {
        answer(a.id(), true);
      } else if (action instanceof Fail a) {
        answer(a.id(), false);
      } else if (action instanceof Cancel a) {
        end(a.id(), open.get(a.id()).tries.get(a.attempt()), a.attempt(), Status.CANCELLED);
      } else if (action instanceof SetTimer a) {
        int of = life;
        at(Math.max(now, a.atNanos() - origin), () -> {
          if (of == life) {
            tell(new TimerFired(a.token()));
          }
        });
      }
    }

    void request(String id, RequestClass type, String key) {
      Entry e = new Entry(type, now + DEADLINE);
      book.add(e);
      open.put(id, e);
      tell(new Request(id, type.name(), null, key, e.deadline + origin, 0, false));
    }

    void answer(String id, boolean refusal) {
      Entry e = open.get(id);
      if (e.served) {
        return;
      }
      fault(e.answered, "two final answers to " + id);
      e.answered = true;
      e.refused = refusal;
      fault(
          now > e.deadline + SLACK && pausedUntil < e.deadline - DEADLINE, "answered late: " + id);
    }

    void send(Send a) {
      Entry e = open.get(a.id());
      Server server = servers.get(a.upstream());
      fault(e.answered && !e.served, "sent after its answer: " + a.id());
      fault(
          toldAt.containsKey(a.upstream()) && now - toldAt.get(a.upstream()) > GRACE,
          "instance " + number + " sent to " + a.upstream() + " "
              + (now - toldAt.getOrDefault(a.upstream(), now)) / MS
              + " ms after it was told that it leaves");
      Try t = new Try(server);
      int attempt = e.tries.size();
      e.tries.add(t);
      if (e.served) {
        // As the table of open requests does: nothing goes out for one that has its answer.
        end(a.id(), t, attempt, Status.NOT_SENT);
        return;
      }
      if (startsKnown.getOrDefault(server.id, 0L) == server.startedAt) {
        server.sends.add(now);
      }
      int of = life;
      long arrives = now + MS / 5 + random.nextLong(MS);
      at(now + a.timeoutNanos(), () -> ended(of, a.id(), t, attempt, Status.TIMEOUT));
      at(arrives, () -> arrive(of, e, a.id(), t, attempt));
    }

    private void arrive(int of, Entry e, String id, Try t, int attempt) {
      if (t.server.down) {
        at(now + MS, () -> ended(of, id, t, attempt, Status.CONNECT_FAILED));
        return;
      }
      if (t.over) {
        return;
      }
      if (random.nextInt(60) == 0) {
        at(now + MS, () -> ended(of, id, t, attempt, Status.FULL));
        return;
      }
      run(e, t);
      if (t.server.hung) {
        return;
      }
      int luck = random.nextInt(100);
      long takes =
          2 * MS + (long) (-Math.log(1 - random.nextDouble()) * 20 * MS / warmth(t.server, now));
      at(
          now + takes,
          () -> ended(
              of,
              id,
              t,
              attempt,
              t.server.down || luck == 0
                  ? Status.RESET
                  : luck == 1 ? Status.ERROR : Status.SERVED));
    }

    private void ended(int of, String id, Try t, int attempt, Status status) {
      if (of == life && now < pausedUntil) {
        at(pausedUntil, () -> ended(of, id, t, attempt, status));
      } else if (of == life) {
        end(id, t, attempt, status);
      }
    }

    void end(String id, Try t, int attempt, Status status) {
      Entry e = open.get(id);
      if (t.over) {
        return;
      }
      t.over = true;
      if (status == Status.SERVED && !e.answered) {
        e.answered = true;
        e.served = true;
        served++;
      }
      // As on sockets: told later, never from within an action.
      int of = life;
      boolean finished = e.answered;
      at(now, () -> {
        if (of == life) {
          tell(new Outcome(id, attempt, t.server.id, status, 5 * MS, finished, Map.of()));
        }
      });
    }
  }

  private final long seed;
  private final int size;
  private final SplittableRandom random;
  private final Settings settings;
  private final Map<Long, Server> servers = new HashMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private final List<Entry> book = new ArrayList<>();
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private long now;
  private long order;
  private long served;
  private String fault;

  /** A fleet of this size; half as many upstreams, six at least. */
  public ModuleSim(long seed, int size) {
    this.seed = seed;
    this.size = size;
    random = new SplittableRandom(seed);
    settings = new Settings(
        0,
        size,
        "a",
        List.of(
            type("look", Effect.SAFE, DedupScope.ALL),
            type("quote", Effect.KEYED, DedupScope.CELL),
            type("order", Effect.UNSAFE, DedupScope.ALL)),
        List.of(),
        new Limits(true, false, false, true, true, SECOND, 4, 10_000, 1, 200 * MS, 5 * SECOND),
        new Contract(SLACK, 0, GRACE, COLD_FROM, WARM, MULTIPLE, WINDOW),
        new Prices(0, 0, 0),
        false,
        WeightKind.NONE,
        0.2,
        true,
        MS);
    for (int i = 0; i < Math.max(6, size / 2); i++) {
      servers.put(100L + i, new Server(100L + i, i / 2));
    }
  }

  private static RequestClass type(String name, Effect effect, DedupScope scope) {
    return new RequestClass(name, effect, scope, DEDUP, 400 * MS, 0, DEADLINE, 1, 0, false);
  }

  /** Plays the seed. */
  public Report run() {
    for (int i = 0; i < size; i++) {
      instances.add(new Instance(i));
      instances.get(i).start(list());
      arrivals(instances.get(i), 0);
    }
    for (long at = SECOND; at < END; at += 1 + random.nextLong(4 * SECOND)) {
      at(at, this::disturb);
    }
    for (Step next = steps.poll(); next != null && fault == null; next = steps.poll()) {
      now = next.at;
      next.what.run();
    }
    if (fault == null) {
      judge();
    }
    return new Report(seed, size, fault, book.size(), served, fault == null ? coldShare() : 0);
  }

  private void at(long when, Runnable what) {
    steps.add(new Step(when, order++, what));
  }

  private void fault(boolean broken, String what) {
    fault = broken && fault == null ? what + " at " + now / MS + " ms" : fault;
  }

  private void arrivals(Instance i, int number) {
    long next = now + (long) (-Math.log(1 - random.nextDouble()) * SECOND / ARRIVALS_PER_SECOND);
    if (next < END) {
      at(next, () -> {
        if (i.module != null) {
          i.request(
              "r" + i.number + "-" + number,
              settings.classes().get(random.nextInt(3)),
              "k" + random.nextInt(50));
        }
        arrivals(i, number + 1);
      });
    }
  }

  // Upstreams and their list

  private Listed line(Server s) {
    return new Listed(s.id, "a", s.cell, s.state, s.startedAt, 1);
  }

  private List<Listed> list() {
    return servers.values().stream()
        .filter(s -> s.state == State.READY)
        .map(this::line)
        .toList();
  }

  /** Tells all of a change, each at a time of its own, the last after some seconds; a server's news stay in order. */
  private void announce(Server s) {
    for (Instance i : instances) {
      Listed line = line(s);
      at(now + random.nextLong(random.nextInt(10) == 0 ? LATEST_NEWS : SECOND), () -> {
        if (i.module != null && line(s).equals(line)) {
          i.tell(new ListNews(ListKind.DELTA, i.own(List.of(line))));
        }
      });
    }
  }

  private void run(Entry e, Try t) {
    Effect effect = e.type.effect();
    e.runs++;
    fault(e.refused && effect != Effect.SAFE, "ran after a refusal");
    if (effect == Effect.UNSAFE) {
      fault(e.runs > 1, "an unsafe request ran twice");
    } else if (effect == Effect.KEYED) {
      fault(
          !e.ranAt.isEmpty() && !e.ranAt.containsKey(t.server.cell),
          "a keyed request ran in two cells");
      fault(
          e.ranAt.containsKey(t.server.cell) && now - e.ranAt.get(t.server.cell) > DEDUP + 2 * MS,
          "a keyed request ran again when its cell had forgotten it");
      e.ranAt.putIfAbsent(t.server.cell, now);
    }
  }

  private static double warmth(Server s, long at) {
    return s.startedAt == 0
        ? 1
        : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (at - s.startedAt) / (double) WARM);
  }

  // Faults

  private void disturb() {
    List<Server> all =
        servers.values().stream().sorted((a, b) -> Long.compare(a.id, b.id)).toList();
    Server s = all.get(random.nextInt(all.size()));
    Instance i = instances.get(random.nextInt(size));
    switch (random.nextInt(7)) {
      case 0, 1 -> replace(s);
      case 2 -> {
        s.hung = true;
        at(now + 3 * SECOND, () -> s.hung = false);
      }
      case 3 -> i.pausedUntil = now + random.nextLong(10 * SECOND);
      case 4 -> restart(i);
      case 5 -> {
        // Half of them at once, back within a second.
        for (int k = 0; k < size; k += 2) {
          restart(instances.get(k));
        }
      }
      default -> {
        // Dies without a word; the list hears of it late, and it returns cold.
        s.down = true;
        at(now + 2 * SECOND, () -> returnCold(s));
      }
    }
  }

  /** Drains, ends, and comes back cold under the same id. */
  private void replace(Server s) {
    if (s.state != State.READY || s.down) {
      return;
    }
    s.state = State.DRAINING;
    announce(s);
    at(now + LATEST_NEWS + 4 * SECOND, () -> {
      s.down = true;
      at(now + SECOND, () -> returnCold(s));
    });
  }

  private void returnCold(Server s) {
    s.down = false;
    s.state = State.READY;
    s.startedAt = now;
    s.sends.clear();
    announce(s);
  }

  private void restart(Instance i) {
    List<Listed> old = list();
    i.life++;
    i.module = null;
    // What was open died with it: no client is owed anything by the next life.
    i.open.values().forEach(e -> e.answered = true);
    i.open.clear();
    at(now + random.nextLong(SECOND), () -> {
      if (i.module == null) {
        i.start(old);
        // Follows the list from its start on: the whole of it, a moment later.
        int of = i.life;
        at(now + random.nextLong(SECOND), () -> {
          if (of == i.life) {
            i.tell(new ListNews(ListKind.FULL, i.own(list())));
          }
        });
      }
    });
  }

  // The judgement

  private void judge() {
    for (Entry e : book) {
      fault(!e.answered, "a request without an answer");
      fault(e.refused && e.runs > 0 && e.type.effect() != Effect.SAFE, "refused, and had run");
    }
    servers.values().forEach(this::judgeCold);
  }

  /** Its budget in any window: the multiple of what it can do by then, and a little for chance. */
  private void judgeCold(Server s) {
    double capacity = capacity();
    for (int i = 0; s.startedAt > 0 && i < s.sends.size(); i++) {
      double budget = MULTIPLE * warmth(s, s.sends.get(i)) * capacity * WINDOW / SECOND;
      long sent = within(s, s.sends.get(i));
      fault(
          sent > budget + 3 * Math.sqrt(budget),
          "a cold upstream got " + sent + " of " + (long) budget + " in a window");
    }
  }

  private double capacity() {
    return CAPACITY * size * ARRIVALS_PER_SECOND / servers.size();
  }

  private static long within(Server s, long from) {
    return s.sends.stream().filter(at -> at >= from && at < from + WINDOW).count();
  }

  private double coldShare() {
    double most = 0;
    for (Server s : servers.values()) {
      for (int i = 0; s.startedAt > 0 && i < s.sends.size(); i++) {
        if (s.sends.get(i) < s.startedAt + WARM) {
          most = Math.max(
              most,
              within(s, s.sends.get(i))
                  / (MULTIPLE * warmth(s, s.sends.get(i)) * capacity() * WINDOW / SECOND));
        }
      }
    }
    return most;
  }
}
