package pumicekeel.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.Balancer;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.Cancel;
import pumicekeel.Balancer.ClientDisconnected;
import pumicekeel.Balancer.Event;
import pumicekeel.Balancer.Fail;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.ListUpdate;
import pumicekeel.Balancer.Listed;
import pumicekeel.Balancer.Outcome;
import pumicekeel.Balancer.Refuse;
import pumicekeel.Balancer.Request;
import pumicekeel.Balancer.Send;
import pumicekeel.Balancer.SetTimer;
import pumicekeel.Balancer.State;
import pumicekeel.Balancer.Status;
import pumicekeel.Balancer.TimerFired;
import pumicekeel.lab.world.RandomStream;
import pumicekeel.lab.world.Server;

/**
 * One balancer: a policy and the serving rules around it, as the table of open requests has them. Its clock has an origin of its own,
 * as machines' have. Connections to an upstream are kept and used one request at a time; a new one costs a round trip and work.
 */
final class Host {

  private static final long MS = 1_000_000L;

  /** Connections to one upstream. */
  private static final class Links {
    private int idle;
    private int life;
  }

  final int number;
  private final FleetRun run;
  private final RandomStream random;
  private final String zone;
  private final long origin;
  private final Map<String, ClientAttempt> open = new HashMap<>();
  private final Map<Long, Long> toldAt = new HashMap<>();
  private final Map<Long, Long> startsKnown = new HashMap<>();
  private final Map<Long, Links> links = new HashMap<>();
  private Balancer policy;
  private int life;
  private List<Listed> known = List.of();

  Host(int number, FleetRun run, String zone, long seed) {
    this.number = number;
    this.run = run;
    this.zone = zone;
    random = new RandomStream(seed, "host " + number);
    origin = Math.floorMod(random.next(), 1_000_000_000_000_000L);
  }

  boolean up() {
    return policy != null;
  }

  String zone() {
    return zone;
  }

  // Its life

  void start(List<Listed> list) {
    life++;
    policy = run.policyOf(this, random.next());
    toldAt.clear();
    startsKnown.clear();
    tell(new ListUpdate(ListKind.CACHED, own(list)));
  }

  /** What it held is lost; its clients find their connections closed. What runs at upstreams runs on. */
  void crash() {
    life++;
    policy = null;
    known = run.list().lines();
    links.values().forEach(l -> l.idle = 0);
    links.forEach((id, l) -> run.server(id).disconnect());
    links.clear();
    List<ClientAttempt> lost = new ArrayList<>(open.values());
    open.clear();
    lost.stream().filter(t -> !t.answered).forEach(t -> {
      t.answered = true;
      run.clients().unreached(t);
    });
  }

  /** Starts with the list that it had when it ended; the present one comes a moment later. */
  void restart() {
    start(known);
    int of = life;
    run.scheduler().in((long) (random.uniform() * 1_000 * MS), () -> {
      if (of == life) {
        tell(new ListUpdate(ListKind.FULL, own(run.list().lines())));
      }
    });
  }

  private List<Listed> own(List<Listed> lines) {
    return lines.stream()
        .map(l -> new Listed(
            l.upstream(),
            l.zone(),
            l.cell(),
            l.state(),
            l.startedNanos() == 0 ? 0 : l.startedNanos() + origin,
            l.weight()))
        .toList();
  }

  void news(Listed line) {
    if (up()) {
      tell(new ListUpdate(ListKind.DELTA, own(List.of(line))));
    }
  }

  private void tell(Event event) {
    if (event instanceof ListUpdate news) {
      hear(news);
    }
    List<Action> actions = new ArrayList<>(2);
    policy.handle(run.scheduler().now() + origin, event, actions::add);
    actions.forEach(this::perform);
  }

  private void hear(ListUpdate news) {
    for (Listed l : news.entries()) {
      startsKnown.put(l.upstream(), l.startedNanos() == 0 ? 0 : l.startedNanos() - origin);
      if (l.state() == State.READY) {
        toldAt.remove(l.upstream());
      } else {
        toldAt.putIfAbsent(l.upstream(), run.scheduler().now());
      }
    }
  }

  // Requests

  void take(ClientAttempt t) {
    open.put(t.id, t);
    int of = life;
    run.scheduler().at(t.deadline + run.settings().contract().answerSlackNanos() + 1, () -> {
      if (of == life && !t.answered) {
        run.judge()
            .broken("lost", run.scheduler().now(), t.id + " had no answer from balancer " + number);
        t.answered = true;
        run.clients().failed(t);
        tell(new ClientDisconnected(t.id));
      }
    });
    tell(new Request(
        t.id,
        t.ask.kind().requestClass().name(),
        run.tenant(t.ask.tenant()),
        t.ask.sessionKey(),
        t.deadline + origin,
        t.ask.hintNanos(),
        t.number > 0));
  }

  private void perform(Action action) {
    if (action instanceof Send a) {
      send(a);
    } else if (action instanceof Refuse a) {
      refuse(open.get(a.id()), a.retryAfterNanos());
    } else if (action instanceof Fail a) {
      ClientAttempt t = open.get(a.id());
      if (answers(t)) {
        run.trace(t, "failed, no promise");
        run.clients().failed(t);
      }
    } else if (action instanceof Cancel a) {
      ClientAttempt t = open.get(a.id());
      if (t != null && a.attempt() < t.attempts.size()) {
        end(t, a.attempt(), Status.CANCELLED);
      }
    } else if (action instanceof SetTimer a) {
      int of = life;
      run.scheduler().at(a.atNanos() - origin, () -> {
        if (of == life) {
          tell(new TimerFired(a.token()));
        }
      });
    }
  }

  private void refuse(ClientAttempt t, long retryAfter) {
    if (answers(t)) {
      t.refused = true;
      boolean ran = t.attempts.stream().anyMatch(a -> !a.over) || t.cell >= 0;
      if (ran && t.ask.kind().requestClass().effect() != Balancer.Effect.SAFE) {
        run.judge().broken("twice", run.scheduler().now(), t.id + " was refused, and may have run");
      }
      run.trace(t, "refused, come back in " + retryAfter / MS + " ms");
      run.clients().refused(t, retryAfter);
      forget(t);
    }
  }

  /** True once: the caller then gives the only final answer. A second one, and one to nobody, is no answer. */
  private boolean answers(ClientAttempt t) {
    if (t == null || t.served) {
      return false;
    }
    if (t.answered) {
      run.judge().broken("lost", run.scheduler().now(), t.id + " has two final answers");
      return false;
    }
    t.answered = true;
    return true;
  }

  private void forget(ClientAttempt t) {
    if (t.answered && t.attempts.stream().allMatch(a -> a.over)) {
      open.remove(t.id);
    }
  }

  // Attempts

  private void send(Send a) {
    ClientAttempt t = open.get(a.id());
    Server server = run.server(a.upstream());
    long now = run.scheduler().now();
    if (t == null) {
      return;
    }
    int number = t.attempts.size();
    ClientAttempt.Attempt attempt = new ClientAttempt.Attempt(server, now);
    t.attempts.add(attempt);
    if (t.answered) {
      // As the table of open requests does: nothing goes out for one that has its answer.
      end(t, number, Status.NOT_SENT);
      return;
    }
    run.judge().sent(a.upstream(), now - toldAt.getOrDefault(a.upstream(), now), now);
    run.trace(t, "attempt " + number + " to " + server.id + ", which holds " + server.held());
    run.count().attempt();
    if (server.up()
        && startsKnown.getOrDefault(server.id, 0L) == Math.max(0, server.startedAt())
        && run.judge().pushesOver(server, t.ask.work(), now)) {
      run.fall(server);
    }
    int of = life;
    long left = Math.max(1, t.deadline - now);
    run.scheduler()
        .in(
            a.timeoutNanos() == 0 ? left : Math.min(a.timeoutNanos(), left),
            () -> ended(of, t, number, Status.TIMEOUT));
    connect(of, t, number, attempt);
  }

  private long oneWay(Server server) {
    return (long) (MS * random.between(0.1, 0.6))
        + (server.zone.equals(zone) ? 0 : run.spec().crossZoneNanos());
  }

  private void connect(int of, ClientAttempt t, int number, ClientAttempt.Attempt attempt) {
    Server server = attempt.server;
    Links l = links.computeIfAbsent(server.id, k -> new Links());
    if (l.life != run.lifeOf(server)) {
      // Kept connections went with the process behind them; using one is a reset that proves
      // nothing.
      l.life = run.lifeOf(server);
      l.idle = 0;
    }
    long way = oneWay(server);
    if (l.idle > 0) {
      l.idle--;
      run.scheduler().in(way, () -> arrive(of, t, number, attempt));
      return;
    }
    run.scheduler().in(2 * way, () -> {
      if (of != life || attempt.over) {
        return;
      }
      run.count().connection();
      if (!server.connect()) {
        ended(of, t, number, Status.CONNECT_FAILED);
        return;
      }
      run.scheduler().in(way, () -> arrive(of, t, number, attempt));
    });
  }

  private void arrive(int of, ClientAttempt t, int number, ClientAttempt.Attempt attempt) {
    Server server = attempt.server;
    if (attempt.over) {
      // Given up while it was on its way: its connection is closed.
      server.disconnect();
      return;
    }
    server.submit(
        new Server.Job(
            t.ask.sessionKey(),
            "q" + t.ask.number(),
            t.ask.kind().requestClass().effect(),
            t.ask.kind().requestClass().dedupWindowNanos(),
            t.ask.work(),
            t.ask.waitNanos(),
            new Server.JobListener() {
              @Override
              public void onStart() {
                run.judge().runs(t, server.cellNumber, run.scheduler().now());
              }

              @Override
              public void onEnd(Status status, double work) {
                run.scheduler()
                    .in(oneWay(server), () -> heard(of, t, number, attempt, status, work));
              }
            }),
        random);
  }

  /** What the upstream says has come back. */
  private void heard(
      int of,
      ClientAttempt t,
      int number,
      ClientAttempt.Attempt attempt,
      Status status,
      double work) {
    if (of != life || attempt.over || status == Status.RESET) {
      attempt.server.disconnect();
    } else {
      links.computeIfAbsent(attempt.server.id, k -> new Links()).idle++;
    }
    if (of == life && !attempt.over && status == Status.SERVED && !t.answered) {
      run.count().useful(work);
    }
    ended(of, t, number, status);
  }

  private void ended(int of, ClientAttempt t, int number, Status status) {
    if (of == life) {
      end(t, number, status);
    }
  }

  private void end(ClientAttempt t, int number, Status status) {
    ClientAttempt.Attempt attempt = t.attempts.get(number);
    if (attempt.over) {
      return;
    }
    attempt.over = true;
    long took = run.scheduler().now() - attempt.sentAt;
    if (status != Status.NOT_SENT) {
      run.trace(t, "attempt " + number + " ended after " + took / MS + " ms: " + status);
    }
    if (status == Status.SERVED && !t.answered) {
      t.answered = true;
      t.served = true;
      run.clients().served(t);
    }
    // As on sockets: told later, never from within an action.
    int of = life;
    boolean finished = t.answered;
    run.scheduler().in(0, () -> {
      if (of == life) {
        tell(new Outcome(t.id, number, attempt.server.id, status, took, finished, Map.of()));
        forget(t);
      }
    });
  }
}
