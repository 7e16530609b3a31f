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
import pumicekeel.Balancer.ListedUpstream;
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
 * One balancer: a policy and the serving rules around it, as the table of open requests applies them. Its clock has its own origin, as
 * the clocks of real machines do. Connections to an upstream are kept and carry one request at a time; a new one costs a round trip and
 * work at the upstream.
 */
final class Host {

  private static final long MS = 1_000_000L;

  /** Kept connections to one upstream. */
  private static final class UpstreamConnections {
    private int idle;
    private int upstreamIncarnation;
  }

  final int number;
  private final FleetRun run;
  private final RandomStream random;
  private final String zone;
  private final long clockOrigin;
  private final Map<String, ClientTry> open = new HashMap<>();
  private final Map<Long, Long> drainKnownSince = new HashMap<>();
  private final Map<Long, Long> knownStarts = new HashMap<>();
  private final Map<Long, UpstreamConnections> connections = new HashMap<>();
  private Balancer policy;
  /** Number of starts and crashes; callbacks that an earlier process scheduled are ignored. */
  private int incarnation;

  private List<ListedUpstream> lastList = List.of();

  Host(int number, FleetRun run, String zone, long seed) {
    this.number = number;
    this.run = run;
    this.zone = zone;
    random = new RandomStream(seed, "host " + number);
    clockOrigin = Math.floorMod(random.next(), 1_000_000_000_000_000L);
  }

  boolean up() {
    return policy != null;
  }

  String zone() {
    return zone;
  }

  // Start and crash

  void start(List<ListedUpstream> list) {
    incarnation++;
    policy = run.policyOf(this, random.next());
    drainKnownSince.clear();
    knownStarts.clear();
    deliver(new ListUpdate(ListKind.CACHED, toOwnClock(list)));
  }

  /** Crashes: open requests are lost and their clients' connections close. Attempts that run at upstreams run on. */
  void crash() {
    incarnation++;
    policy = null;
    lastList = run.discovery().entries();
    connections.values().forEach(kept -> kept.idle = 0);
    connections.forEach((id, kept) -> run.server(id).disconnect());
    connections.clear();
    List<ClientTry> lost = new ArrayList<>(open.values());
    open.clear();
    lost.stream().filter(clientTry -> !clientTry.answered).forEach(clientTry -> {
      clientTry.answered = true;
      run.clients().recordUnreachable(clientTry);
    });
  }

  /** Starts with the list that was current at the crash. The current list arrives up to a second later. */
  void restart() {
    start(lastList);
    int ownIncarnation = incarnation;
    run.scheduler().in((long) (random.uniform() * 1_000 * MS), () -> {
      if (ownIncarnation == incarnation) {
        deliver(new ListUpdate(ListKind.FULL, toOwnClock(run.discovery().entries())));
      }
    });
  }

  private List<ListedUpstream> toOwnClock(List<ListedUpstream> entries) {
    return entries.stream()
        .map(entry -> new ListedUpstream(
            entry.upstream(),
            entry.zone(),
            entry.cell(),
            entry.state(),
            entry.startedNanos() == 0 ? 0 : entry.startedNanos() + clockOrigin,
            entry.weight()))
        .toList();
  }

  /** Handles a change of one entry in discovery's list. */
  void listEntryChanged(ListedUpstream entry) {
    if (up()) {
      deliver(new ListUpdate(ListKind.DELTA, toOwnClock(List.of(entry))));
    }
  }

  private void deliver(Event event) {
    if (event instanceof ListUpdate update) {
      recordEntries(update);
    }
    List<Action> actions = new ArrayList<>(2);
    policy.handle(run.scheduler().now() + clockOrigin, event, actions::add);
    actions.forEach(this::perform);
  }

  private void recordEntries(ListUpdate update) {
    for (ListedUpstream entry : update.entries()) {
      knownStarts.put(
          entry.upstream(), entry.startedNanos() == 0 ? 0 : entry.startedNanos() - clockOrigin);
      if (entry.state() == State.READY) {
        drainKnownSince.remove(entry.upstream());
      } else {
        drainKnownSince.putIfAbsent(entry.upstream(), run.scheduler().now());
      }
    }
  }

  // Requests

  /** Accepts a client's try and checks that it is answered by its deadline. */
  void accept(ClientTry clientTry) {
    open.put(clientTry.id, clientTry);
    int ownIncarnation = incarnation;
    run.scheduler()
        .at(clientTry.deadline + run.settings().contract().answerSlackNanos() + 1, () -> {
          if (ownIncarnation == incarnation && !clientTry.answered) {
            run.checker()
                .recordViolation(
                    "lost",
                    run.scheduler().now(),
                    clientTry.id + " had no answer from balancer " + number);
            clientTry.answered = true;
            run.clients().recordFailed(clientTry);
            deliver(new ClientDisconnected(clientTry.id));
          }
        });
    deliver(new Request(
        clientTry.id,
        clientTry.arrival.kind().requestClass().name(),
        run.tenant(clientTry.arrival.tenant()),
        clientTry.arrival.sessionKey(),
        clientTry.deadline + clockOrigin,
        clientTry.arrival.hintNanos(),
        clientTry.number > 0));
  }

  private void perform(Action action) {
    if (action instanceof Send send) {
      send(send);
    } else if (action instanceof Refuse refuse) {
      refuse(open.get(refuse.id()), refuse.retryAfterNanos());
    } else if (action instanceof Fail fail) {
      ClientTry clientTry = open.get(fail.id());
      if (claimFinalAnswer(clientTry)) {
        run.trace(clientTry, "failed, may have run");
        run.clients().recordFailed(clientTry);
      }
    } else if (action instanceof Cancel cancel) {
      ClientTry clientTry = open.get(cancel.id());
      if (clientTry != null && cancel.attempt() < clientTry.attempts.size()) {
        end(clientTry, cancel.attempt(), Status.CANCELLED);
      }
    } else if (action instanceof SetTimer timer) {
      int ownIncarnation = incarnation;
      run.scheduler().at(timer.atNanos() - clockOrigin, () -> {
        if (ownIncarnation == incarnation) {
          deliver(new TimerFired(timer.token()));
        }
      });
    }
  }

  private void refuse(ClientTry clientTry, long retryAfterNanos) {
    if (claimFinalAnswer(clientTry)) {
      clientTry.refused = true;
      boolean ran =
          clientTry.attempts.stream().anyMatch(attempt -> !attempt.ended) || clientTry.cell >= 0;
      if (ran && clientTry.arrival.kind().requestClass().effect() != Balancer.Effect.SAFE) {
        run.checker()
            .recordViolation(
                "twice", run.scheduler().now(), clientTry.id + " was refused, and may have run");
      }
      run.trace(clientTry, "refused, retry after " + retryAfterNanos / MS + " ms");
      run.clients().recordRefused(clientTry, retryAfterNanos);
      removeIfDone(clientTry);
    }
  }

  /** Returns true if the caller may give the final answer. Records a violation if there already is one. */
  private boolean claimFinalAnswer(ClientTry clientTry) {
    if (clientTry == null || clientTry.served) {
      return false;
    }
    if (clientTry.answered) {
      run.checker()
          .recordViolation("lost", run.scheduler().now(), clientTry.id + " has two final answers");
      return false;
    }
    clientTry.answered = true;
    return true;
  }

  private void removeIfDone(ClientTry clientTry) {
    if (clientTry.answered && clientTry.attempts.stream().allMatch(attempt -> attempt.ended)) {
      open.remove(clientTry.id);
    }
  }

  // Attempts

  private void send(Send action) {
    ClientTry clientTry = open.get(action.id());
    Server server = run.server(action.upstream());
    long now = run.scheduler().now();
    if (clientTry == null) {
      return;
    }
    int number = clientTry.attempts.size();
    ClientTry.Attempt attempt = new ClientTry.Attempt(server, now);
    clientTry.attempts.add(attempt);
    if (clientTry.answered) {
      // As in the table of open requests: nothing is sent for an answered request.
      end(clientTry, number, Status.NOT_SENT);
      return;
    }
    run.checker()
        .checkDrain(
            action.upstream(), now - drainKnownSince.getOrDefault(action.upstream(), now), now);
    run.trace(
        clientTry, "attempt " + number + " to " + server.id + ", which holds " + server.held());
    run.counters().addAttempt();
    if (server.up()
        && knownStarts.getOrDefault(server.id, 0L) == Math.max(0, server.startedAt())
        && run.checker().overloadsCold(server, clientTry.arrival.work(), now)) {
      run.overload(server);
    }
    int ownIncarnation = incarnation;
    long remainingNanos = Math.max(1, clientTry.deadline - now);
    run.scheduler()
        .in(
            action.timeoutNanos() == 0
                ? remainingNanos
                : Math.min(action.timeoutNanos(), remainingNanos),
            () -> endUnlessRestarted(ownIncarnation, clientTry, number, Status.TIMEOUT));
    connect(ownIncarnation, clientTry, number, attempt);
  }

  private long drawOneWayNanos(Server server) {
    return (long) (MS * random.between(0.1, 0.6))
        + (server.zone.equals(zone) ? 0 : run.spec().crossZoneNanos());
  }

  private void connect(
      int ownIncarnation, ClientTry clientTry, int number, ClientTry.Attempt attempt) {
    Server server = attempt.server;
    UpstreamConnections kept =
        connections.computeIfAbsent(server.id, id -> new UpstreamConnections());
    if (kept.upstreamIncarnation != run.incarnationOf(server)) {
      // The connections were lost with the upstream's former process. Using one would end in a
      // reset, which does not prove that the request has not run.
      kept.upstreamIncarnation = run.incarnationOf(server);
      kept.idle = 0;
    }
    long oneWayNanos = drawOneWayNanos(server);
    if (kept.idle > 0) {
      kept.idle--;
      run.scheduler().in(oneWayNanos, () -> arrive(ownIncarnation, clientTry, number, attempt));
      return;
    }
    run.scheduler().in(2 * oneWayNanos, () -> {
      if (ownIncarnation != incarnation || attempt.ended) {
        return;
      }
      run.counters().addConnection();
      if (!server.connect()) {
        endUnlessRestarted(ownIncarnation, clientTry, number, Status.CONNECT_FAILED);
        return;
      }
      run.scheduler().in(oneWayNanos, () -> arrive(ownIncarnation, clientTry, number, attempt));
    });
  }

  private void arrive(
      int ownIncarnation, ClientTry clientTry, int number, ClientTry.Attempt attempt) {
    Server server = attempt.server;
    if (attempt.ended) {
      // The attempt ended before its request arrived, and its connection was closed.
      server.disconnect();
      return;
    }
    server.submit(
        new Server.Job(
            clientTry.arrival.sessionKey(),
            "q" + clientTry.arrival.number(),
            clientTry.arrival.kind().requestClass().effect(),
            clientTry.arrival.kind().requestClass().dedupWindowNanos(),
            clientTry.arrival.work(),
            clientTry.arrival.waitNanos(),
            new Server.JobListener() {
              @Override
              public void onStart() {
                run.checker()
                    .checkStart(clientTry, server.cellNumber, run.scheduler().now());
              }

              @Override
              public void onEnd(Status status, double work) {
                run.scheduler()
                    .in(
                        drawOneWayNanos(server),
                        () -> responseArrived(
                            ownIncarnation, clientTry, number, attempt, status, work));
              }
            }),
        random);
  }

  private void responseArrived(
      int ownIncarnation,
      ClientTry clientTry,
      int number,
      ClientTry.Attempt attempt,
      Status status,
      double work) {
    if (ownIncarnation != incarnation || attempt.ended || status == Status.RESET) {
      attempt.server.disconnect();
    } else {
      connections.computeIfAbsent(attempt.server.id, id -> new UpstreamConnections()).idle++;
    }
    if (ownIncarnation == incarnation
        && !attempt.ended
        && status == Status.SERVED
        && !clientTry.answered) {
      run.counters().addUsefulWork(work);
    }
    endUnlessRestarted(ownIncarnation, clientTry, number, status);
  }

  private void endUnlessRestarted(
      int ownIncarnation, ClientTry clientTry, int number, Status status) {
    if (ownIncarnation == incarnation) {
      end(clientTry, number, status);
    }
  }

  private void end(ClientTry clientTry, int number, Status status) {
    ClientTry.Attempt attempt = clientTry.attempts.get(number);
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    long latencyNanos = run.scheduler().now() - attempt.sentAt;
    if (status != Status.NOT_SENT) {
      run.trace(
          clientTry, "attempt " + number + " ended after " + latencyNanos / MS + " ms: " + status);
    }
    if (status == Status.SERVED && !clientTry.answered) {
      clientTry.answered = true;
      clientTry.served = true;
      run.clients().recordServed(clientTry);
    }
    // As on sockets, the outcome arrives as an event of its own and never while an action is
    // performed.
    int ownIncarnation = incarnation;
    boolean finished = clientTry.answered;
    run.scheduler().in(0, () -> {
      if (ownIncarnation == incarnation) {
        deliver(new Outcome(
            clientTry.id, number, attempt.server.id, status, latencyNanos, finished, Map.of()));
        removeIfDone(clientTry);
      }
    });
  }
}
