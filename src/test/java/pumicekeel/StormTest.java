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
import pumicekeel.Balancer.Tenant;
import pumicekeel.Balancer.TimerFired;
import pumicekeel.Balancer.WeightKind;

/** Random legal events over seeds and settings; the observer knows the four rules and nothing of the module. */
class StormTest {

  private static final long MS = 1_000_000L;

  private record Try(long upstream, String zone, int cell, long at) {}

  /** The observer's book on one request. */
  private static final class Entry {
    final RequestClass type;
    final long deadline;
    final List<Try> tries = new ArrayList<>();
    final List<Status> ends = new ArrayList<>();
    boolean answered;

    Entry(RequestClass type, long deadline) {
      this.type = type;
      this.deadline = deadline;
    }

    int out() {
      return (int) ends.stream().filter(e -> e == null).count();
    }
  }

  private final Map<String, Entry> book = new LinkedHashMap<>();
  private final Map<Long, Listed> fleet = new LinkedHashMap<>();
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
      change(i);
    }
    step(new ListUpdate(ListKind.CACHED, List.copyOf(fleet.values())));
    int id = 0;
    for (int round = 0; round < 3000; round++) {
      now += random.nextLong(6) * MS;
      fire();
      if (random.nextInt(100) < 4) {
        Listed changed = change(random.nextInt(12));
        step(
            random.nextBoolean()
                ? new ListUpdate(ListKind.DELTA, List.of(changed))
                : new ListUpdate(ListKind.FULL, List.copyOf(fleet.values())));
      } else if (random.nextInt(100) < 1) {
        step(new ListUpdate(ListKind.FAILED, List.of()));
      }
      for (int n = random.nextInt(4); n > 0; n--) {
        RequestClass type =
            settings.classes().get(random.nextInt(settings.classes().size()));
        long deadline = now + (20 + random.nextInt(600)) * MS;
        book.put("r" + id, new Entry(type, deadline));
        step(new Request(
            "r" + id++,
            type.name(),
            random.nextBoolean() ? "t" : null,
            random.nextInt(5) == 0 ? null : "k" + random.nextInt(30),
            deadline,
            0,
            false));
      }
      outcomes(40);
    }
    for (int round = 0; round < 300; round++) {
      now += 5 * MS;
      fire();
      outcomes(100);
    }
    book.forEach((name, e) -> assertTrue(e.answered, "no final answer for " + name));
    long idle = timers.size();
    now += 60_000 * MS;
    fire();
    assertTrue(
        timers.size() <= 1 && idle <= 2,
        "state empties when traffic stops: " + timers.size() + " timers");
    assertEquals(0, sizeOf("open"), "requests still kept");
    assertEquals(0, sizeOf("held"), "requests still held");
  }

  /** The size of one of the module's private collections: what it keeps is not to be seen from outside. */
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

  /** A new state for one upstream. */
  private Listed change(long id) {
    State state =
        random.nextInt(3) > 0 ? State.READY : random.nextBoolean() ? State.DRAINING : State.GONE;
    Listed listed = new Listed(
        id,
        "z" + id % 2,
        (int) (id / 3 * 2 + id % 2),
        state,
        random.nextInt(4) == 0 ? now : 0,
        1 + random.nextInt(4));
    fleet.put(id, listed);
    return listed;
  }

  private void fire() {
    List<Long> due = timers.stream().filter(t -> t <= now).toList();
    timers.removeIf(t -> t <= now);
    due.forEach(t -> step(new TimerFired("sweep")));
  }

  /** Ends some attempts: those past the deadline time out, others end at random. */
  private void outcomes(int percent) {
    for (Map.Entry<String, Entry> entry : List.copyOf(book.entrySet())) {
      Entry e = entry.getValue();
      for (int i = 0; i < e.tries.size(); i++) {
        boolean late = now >= e.deadline;
        if (e.ends.get(i) == null && (late || random.nextInt(100) < percent / 4)) {
          Status status = e.answered && random.nextBoolean()
              ? Status.CANCELLED
              : late
                  ? Status.TIMEOUT
                  : random.nextInt(2) == 0
                      ? Status.SERVED
                      : Status.values()[random.nextInt(Status.values().length)];
          e.ends.set(i, status);
          e.answered |= status == Status.SERVED;
          step(new Outcome(
              entry.getKey(),
              i,
              e.tries.get(i).upstream(),
              status,
              now - e.tries.get(i).at(),
              e.answered,
              Map.of()));
        }
      }
      if (!e.answered && random.nextInt(2000) == 0) {
        e.answered = true;
        step(new ClientDisconnected(entry.getKey()));
      }
      assertTrue(
          e.answered || now <= e.deadline + settings.contract().answerSlackNanos(),
          "late: " + entry.getKey());
    }
    book.values().removeIf(e -> e.answered && e.out() == 0);
  }

  private void step(Event event) {
    List<Action> actions = new ArrayList<>();
    module.handle(now, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer t) {
        timers.add(t.atNanos());
      } else if (action instanceof Send s) {
        checkSend(book.get(s.id()), s);
      } else if (action instanceof Refuse r) {
        Entry e = book.get(r.id());
        assertTrue(!e.answered, "one final answer");
        boolean open = e.ends.stream().anyMatch(x -> x == null || !x.provesNotRun());
        assertTrue(
            !open
                || e.type.effect() == Effect.SAFE
                || e.type.effect() == Effect.KEYED && e.type.dedupScope() == DedupScope.ALL,
            "refusal promises too much");
        e.answered = true;
      } else if (action instanceof Fail f) {
        assertTrue(!book.get(f.id()).answered, "one final answer");
        book.get(f.id()).answered = true;
      } else if (action instanceof Cancel) {
        assertTrue(settings.limits().cancel());
      }
    }
  }

  private void checkSend(Entry e, Send s) {
    Listed to = fleet.get(s.upstream());
    assertTrue(!e.answered, "sent after the final answer");
    assertEquals(State.READY, to.state(), "sent to a draining or gone upstream");
    assertTrue(e.tries.size() < settings.limits().maxAttempts(), "too many attempts");
    assertTrue(e.out() == 0 || settings.limits().secondCopies(), "second copy");
    assertTrue(now < e.deadline, "sent past the deadline");
    for (int i = 0; i < e.tries.size(); i++) {
      Try t = e.tries.get(i);
      if (e.type.effect() != Effect.SAFE
          && (e.ends.get(i) == null || !e.ends.get(i).provesNotRun())) {
        assertEquals(Effect.KEYED, e.type.effect(), "unsafe sent again");
        assertTrue(now - t.at() < e.type.dedupWindowNanos(), "resent past the window");
        assertTrue(
            e.type.dedupScope() == DedupScope.ALL
                || e.type.dedupScope() == DedupScope.ZONE && t.zone().equals(to.zone())
                || e.type.dedupScope() == DedupScope.CELL && t.cell() == to.cell(),
            "resent outside the group");
      }
    }
    e.tries.add(new Try(to.upstream(), to.zone(), to.cell(), now));
    e.ends.add(null);
  }
}
