package pumicekeel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.Cancel;
import pumicekeel.Balancer.ClientDisconnected;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Event;
import pumicekeel.Balancer.Fail;
import pumicekeel.Balancer.Limits;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.ListUpdate;
import pumicekeel.Balancer.ListedUpstream;
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
import pumicekeel.Balancer.Tenant;
import pumicekeel.Balancer.TimerFired;
import pumicekeel.Balancer.WeightKind;

/** Feeds random legal events for many seeds and settings; the checks know the four rules and nothing of the module's internals. */
class StormTest {

  private static final long MS = 1_000_000L;

  private record Attempt(long upstream, String zone, int cell, long at) {}

  /** What the test knows of one request. */
  private static final class Tracked {
    final RequestClass type;
    final long deadline;
    final List<Attempt> attempts = new ArrayList<>();
    final List<Status> outcomes = new ArrayList<>();
    boolean answered;

    Tracked(RequestClass type, long deadline) {
      this.type = type;
      this.deadline = deadline;
    }

    int inFlight() {
      return (int) outcomes.stream().filter(outcome -> outcome == null).count();
    }
  }

  private final Map<String, Tracked> requests = new LinkedHashMap<>();
  private final Map<Long, ListedUpstream> upstreams = new LinkedHashMap<>();
  private final List<Long> timers = new ArrayList<>();
  private SplittableRandom random;
  private Settings settings;
  private Balancer module;
  private long now = 5_000_000 * MS;

  @ParameterizedTest
  @ValueSource(
      longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
      })
  void rulesHold(long seed) {
    random = new SplittableRandom(seed);
    settings = settings();
    module = new AdaptiveBalancer(settings, seed);
    for (int i = 0; i < 8; i++) {
      changeUpstream(i);
    }
    step(new ListUpdate(ListKind.CACHED, List.copyOf(upstreams.values())));
    int id = 0;
    for (int round = 0; round < 3000; round++) {
      now += random.nextLong(6) * MS;
      fireTimers();
      if (random.nextInt(100) < 4) {
        ListedUpstream changed = changeUpstream(random.nextInt(12));
        step(
            random.nextBoolean()
                ? new ListUpdate(ListKind.DELTA, List.of(changed))
                : new ListUpdate(ListKind.FULL, List.copyOf(upstreams.values())));
      } else if (random.nextInt(100) < 1) {
        step(new ListUpdate(ListKind.FAILED, List.of()));
      }
      for (int n = random.nextInt(4); n > 0; n--) {
        RequestClass type =
            settings.classes().get(random.nextInt(settings.classes().size()));
        long deadline = now + (20 + random.nextInt(600)) * MS;
        requests.put("r" + id, new Tracked(type, deadline));
        step(new Request(
            "r" + id++,
            type.name(),
            random.nextBoolean() ? "t" : null,
            random.nextInt(5) == 0 ? null : "k" + random.nextInt(30),
            deadline,
            0,
            false));
      }
      endSome(40);
    }
    for (int round = 0; round < 300; round++) {
      now += 5 * MS;
      fireTimers();
      endSome(100);
    }
    requests.forEach(
        (name, request) -> assertTrue(request.answered, "no final answer for " + name));
    long idle = timers.size();
    now += 60_000 * MS;
    fireTimers();
    assertTrue(
        timers.size() <= 1 && idle <= 2,
        "timers left after traffic has stopped: " + timers.size() + " timers");
    assertEquals(0, sizeOf("open"), "requests still open");
    assertEquals(0, sizeOf("held"), "requests still held");
  }

  /** Returns the size of a private collection of the module, by reflection, as it is not visible otherwise. */
  private int sizeOf(String field) {
    try {
      Field f = AdaptiveBalancer.class.getDeclaredField(field);
      f.setAccessible(true);
      Object kept = f.get(module);
      return kept instanceof Map<?, ?> map ? map.size() : ((Collection<?>) kept).size();
    } catch (ReflectiveOperationException e) {
      throw new AssertionError(e);
    }
  }

  private Settings settings() {
    List<RequestClass> classes = new ArrayList<>();
    for (Effect effect : Effect.values()) {
      for (DedupScope scope : DedupScope.values()) {
        classes.add(new RequestClass(
            effect + " " + scope,
            effect,
            scope,
            (50 + random.nextInt(300)) * MS,
            (50 + random.nextInt(200)) * MS,
            0,
            700 * MS,
            1 + random.nextInt(3),
            0,
            false));
      }
    }
    return new Settings(
        0,
        1 + random.nextInt(3),
        "z0",
        classes,
        List.of(new Tenant("t", 1, random.nextInt(200))),
        new Limits(
            random.nextBoolean(),
            false,
            false,
            random.nextBoolean(),
            true,
            1000 * MS,
            1 + random.nextInt(6),
            40 + random.nextInt(1000),
            1,
            100 * MS,
            5000 * MS),
        new Contract(
            12 * MS, random.nextBoolean() ? 10_000 * MS : 0, 0, 0.2, 5000 * MS, 3, 2000 * MS),
        new Prices(0, 0, 0),
        random.nextBoolean(),
        WeightKind.values()[random.nextInt(4)],
        0.1,
        true,
        MS);
  }

  /** Gives one upstream a random new state. */
  private ListedUpstream changeUpstream(long id) {
    State state =
        random.nextInt(3) > 0 ? State.READY : random.nextBoolean() ? State.DRAINING : State.GONE;
    ListedUpstream listed = new ListedUpstream(
        id,
        "z" + id % 2,
        (int) (id / 3 * 2 + id % 2),
        state,
        random.nextInt(4) == 0 ? now : 0,
        1 + random.nextInt(4));
    upstreams.put(id, listed);
    return listed;
  }

  private void fireTimers() {
    List<Long> due = timers.stream().filter(t -> t <= now).toList();
    timers.removeIf(t -> t <= now);
    due.forEach(t -> step(new TimerFired("sweep")));
  }

  /** Ends some attempts: those past the deadline time out, others get a random outcome. */
  private void endSome(int percent) {
    for (Map.Entry<String, Tracked> entry : List.copyOf(requests.entrySet())) {
      Tracked request = entry.getValue();
      for (int i = 0; i < request.attempts.size(); i++) {
        boolean late = now >= request.deadline;
        if (request.outcomes.get(i) == null && (late || random.nextInt(100) < percent / 4)) {
          Status status = request.answered && random.nextBoolean()
              ? Status.CANCELLED
              : late
                  ? Status.TIMEOUT
                  : random.nextInt(2) == 0
                      ? Status.SERVED
                      : Status.values()[random.nextInt(Status.values().length)];
          request.outcomes.set(i, status);
          request.answered |= status == Status.SERVED;
          step(new Outcome(
              entry.getKey(),
              i,
              request.attempts.get(i).upstream(),
              status,
              now - request.attempts.get(i).at(),
              request.answered,
              Map.of()));
        }
      }
      if (!request.answered && random.nextInt(2000) == 0) {
        request.answered = true;
        step(new ClientDisconnected(entry.getKey()));
      }
      assertTrue(
          request.answered || now <= request.deadline + settings.contract().answerSlackNanos(),
          "answered late: " + entry.getKey());
    }
    requests.values().removeIf(request -> request.answered && request.inFlight() == 0);
  }

  private void step(Event event) {
    List<Action> actions = new ArrayList<>();
    module.handle(now, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer t) {
        timers.add(t.atNanos());
      } else if (action instanceof Send s) {
        checkSend(requests.get(s.id()), s);
      } else if (action instanceof Refuse r) {
        Tracked request = requests.get(r.id());
        assertTrue(!request.answered, "one final answer");
        boolean open = request.outcomes.stream().anyMatch(x -> x == null || !x.provesNotRun());
        assertTrue(
            !open
                || request.type.effect() == Effect.SAFE
                || request.type.effect() == Effect.KEYED
                    && request.type.dedupScope() == DedupScope.ALL,
            "refused although an attempt may have run");
        request.answered = true;
      } else if (action instanceof Fail f) {
        assertTrue(!requests.get(f.id()).answered, "one final answer");
        requests.get(f.id()).answered = true;
      } else if (action instanceof Cancel) {
        assertTrue(settings.limits().cancel());
      }
    }
  }

  private void checkSend(Tracked request, Send s) {
    ListedUpstream to = upstreams.get(s.upstream());
    assertTrue(!request.answered, "sent after the final answer");
    assertEquals(State.READY, to.state(), "sent to a draining or removed upstream");
    assertTrue(request.attempts.size() < settings.limits().maxAttempts(), "too many attempts");
    assertTrue(
        request.inFlight() == 0 || settings.limits().secondCopies(), "hedge despite the setting");
    assertTrue(now < request.deadline, "sent past the deadline");
    for (int i = 0; i < request.attempts.size(); i++) {
      Attempt attempt = request.attempts.get(i);
      if (request.type.effect() != Effect.SAFE
          && (request.outcomes.get(i) == null || !request.outcomes.get(i).provesNotRun())) {
        assertEquals(Effect.KEYED, request.type.effect(), "unsafe request retried");
        assertTrue(
            now - attempt.at() < request.type.dedupWindowNanos(), "retried past the dedup window");
        assertTrue(
            request.type.dedupScope() == DedupScope.ALL
                || request.type.dedupScope() == DedupScope.ZONE
                    && attempt.zone().equals(to.zone())
                || request.type.dedupScope() == DedupScope.CELL && attempt.cell() == to.cell(),
            "retried outside the dedup scope");
      }
    }
    request.attempts.add(new Attempt(to.upstream(), to.zone(), to.cell(), now));
    request.outcomes.add(null);
  }
}
