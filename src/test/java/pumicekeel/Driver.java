package pumicekeel;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Event;
import pumicekeel.Balancer.Limits;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.ListUpdate;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.Outcome;
import pumicekeel.Balancer.Prices;
import pumicekeel.Balancer.Request;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Send;
import pumicekeel.Balancer.SetTimer;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;
import pumicekeel.Balancer.Status;
import pumicekeel.Balancer.Tenant;
import pumicekeel.Balancer.TimerFired;
import pumicekeel.Balancer.WeightKind;

/** Drives one decision module step by step: supplies its clock, fires its timers and records the actions it returns. */
final class Driver {

  static final long MS = 1_000_000L;

  final Balancer module;
  final List<Long> timers = new ArrayList<>();
  final List<Sent> outstanding = new ArrayList<>();
  final Map<String, Integer> refusals = new HashMap<>();
  final Map<String, Integer> attempts = new HashMap<>();
  long now = 1_000_000_000_000L;
  private int ids;

  /** An attempt in flight: sent and without an outcome yet. */
  record Sent(String id, int attempt, long upstream, long at) {}

  Driver(Settings settings) {
    this(settings, 7);
  }

  Driver(Settings settings, long seed) {
    module = new AdaptiveBalancer(settings, seed);
  }

  static RequestClass requestClass(String name, Effect effect, DedupScope scope) {
    return new RequestClass(name, effect, scope, 2000 * MS, 400 * MS, 0, 2000 * MS, 1, 0, false);
  }

  static Settings settings(boolean onRequest, List<Tenant> tenants, RequestClass... classes) {
    return new Settings(
        0,
        1,
        "a",
        List.of(classes),
        tenants,
        new Limits(true, false, false, true, true, 1000 * MS, 4, 10_000, 1, 200 * MS, 5000 * MS),
        new Contract(8 * MS, onRequest ? 10_000 * MS : 0, 250 * MS, 0.3, 8000 * MS, 3, 3000 * MS),
        new Prices(0, 0, 0),
        onRequest,
        WeightKind.NONE,
        0.2,
        true,
        MS);
  }

  static Settings safe() {
    return settings(false, List.of(), requestClass("c", Effect.SAFE, DedupScope.ALL));
  }

  static ListedUpstream readyUpstream(long id) {
    return new ListedUpstream(id, "a", 0, State.READY, 0, 1);
  }

  List<Action> handle(Event event) {
    List<Action> actions = new ArrayList<>();
    module.handle(now, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer t) {
        timers.add(t.atNanos());
      } else if (action instanceof Balancer.Refuse r) {
        refusals.merge(r.id().substring(0, 1), 1, Integer::sum);
      } else if (action instanceof Send s) {
        outstanding.add(
            new Sent(s.id(), attempts.merge(s.id(), 1, Integer::sum) - 1, s.upstream(), now));
      }
    }
    return actions;
  }

  List<Action> list(ListKind kind, ListedUpstream... entries) {
    return handle(new ListUpdate(kind, List.of(entries)));
  }

  Driver upstreams(int n) {
    ListedUpstream[] entries = new ListedUpstream[n];
    for (int i = 0; i < n; i++) {
      entries[i] = readyUpstream(100 + i);
    }
    list(ListKind.CACHED, entries);
    return this;
  }

  String newId() {
    return "r" + ids++;
  }

  List<Action> request(String id, String className, String key) {
    return request(id, className, null, key, 0);
  }

  List<Action> request(String id, String className, String tenant, String key, long hint) {
    return handle(new Request(id, className, tenant, key, now + 2000 * MS, hint, false));
  }

  /** Ends the attempt of a request at an upstream. */
  List<Action> end(String id, long upstream, Status status, long latencyNanos) {
    Sent sent = outstanding.stream()
        .filter(s -> s.id().equals(id) && s.upstream() == upstream)
        .findFirst()
        .get();
    return end(sent, status, latencyNanos);
  }

  List<Action> end(Sent sent, Status status, long latencyNanos) {
    outstanding.remove(sent);
    return handle(new Outcome(
        sent.id(),
        sent.attempt(),
        sent.upstream(),
        status,
        latencyNanos,
        status == Status.SERVED,
        Map.of()));
  }

  /** Ends the open attempt of a request because its idle connection was stale; the upstream it is sent to next serves it. */
  void endByStaleConnection(String id) {
    Sent sent = outstanding.stream().filter(s -> s.id().equals(id)).findFirst().get();
    outstanding.remove(sent);
    handle(
        new Outcome(id, sent.attempt(), sent.upstream(), Status.RESET, MS, false, Map.of(), true));
    for (Sent retry : List.copyOf(outstanding)) {
      end(retry, Status.SERVED, MS);
    }
  }

  /** Advances the time; the upstreams end every attempt after the latency. */
  void advanceServing(long nanos, Status status, long latencyNanos) {
    advanceServing(nanos, status, latencyNanos, Long.MAX_VALUE);
  }

  /** Ends every attempt after {@code inFlightNanos}, of which at most {@code latencyNanos} is reported as the upstream's latency. */
  void advanceServing(long nanos, Status status, long inFlightNanos, long latencyNanos) {
    for (long end = now + nanos; now < end; ) {
      advance(Math.min(5 * MS, end - now));
      for (Sent s : List.copyOf(outstanding)) {
        if (now - s.at() >= inFlightNanos && outstanding.contains(s)) {
          end(s, status, Math.min(latencyNanos, now - s.at()));
        }
      }
    }
  }

  /** Sends one request and serves it after the latency. Returns its upstream, or -1 if it was not sent. */
  long serve(String key, long latencyNanos) {
    String id = newId();
    long upstream = sentTo(request(id, "c", key));
    if (upstream >= 0) {
      advance(latencyNanos);
      end(id, upstream, Status.SERVED, latencyNanos);
    }
    return upstream;
  }

  /** Sends and serves a request whose id is also its key. Returns its upstream, or -1 if it was not sent. */
  long serveWithOwnKey(String name, long latencyNanos) {
    long upstream = sentTo(request(name, "c", name));
    if (upstream >= 0) {
      advance(latencyNanos);
      end(name, upstream, Status.SERVED, latencyNanos);
    }
    return upstream;
  }

  /** Advances the time and fires the timers that are due. Returns the actions of all of them. */
  List<Action> advance(long nanos) {
    List<Action> actions = new ArrayList<>();
    long end = now + nanos;
    while (true) {
      long due = timers.stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE);
      if (due > end) {
        break;
      }
      timers.remove(due);
      now = Math.max(now, due);
      actions.addAll(handle(new TimerFired("sweep")));
    }
    now = end;
    return actions;
  }

  static long sentTo(List<Action> actions) {
    return actions.stream()
        .filter(a -> a instanceof Send)
        .mapToLong(a -> ((Send) a).upstream())
        .findFirst()
        .orElse(-1);
  }

  static boolean has(List<Action> actions, Class<? extends Action> kind) {
    return actions.stream().anyMatch(kind::isInstance);
  }
}
