package pumicekeel.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer;
import pumicekeel.Balancer.Event;
import pumicekeel.lab.policy.Policies;
import pumicekeel.lab.world.WorldSpec;
import pumicekeel.lab.world.Worlds;

/** Whole fleets: the same seed gives the same run, the rules hold for every policy, and the judge finds what breaks them. */
class FleetRunTest {

  private static final long SEED = 3;

  private static WorldSpec world(String name) {
    return Worlds.of(name, 3, 9).withSeconds(40);
  }

  private static Figures play(String world, Policies.Maker maker) {
    return new FleetRun(world(world), maker, SEED, null).play(() -> false);
  }

  @Test
  void sameSeedGivesTheSameRunToTheLastFigureAndAnotherSeedAnother() {
    Figures once = play("crash-and-burst", Policies.of(Policies.OWN));
    assertEquals(once, play("crash-and-burst", Policies.of(Policies.OWN)));
    assertNotEquals(
        once,
        new FleetRun(world("crash-and-burst"), Policies.of(Policies.OWN), SEED + 1, null)
            .play(() -> false));
  }

  @Test
  void rulesHoldForTheModuleInEveryWorld() {
    for (String world : Worlds.names()) {
      Figures f = play(world, Policies.of(Policies.OWN));
      assertEquals(Map.of(), f.broken(), world + ", seed " + SEED + ": " + f.first());
      assertTrue(f.worth() > 0.5, world + ": " + f);
      assertEquals(
          f.tries(),
          f.served() + f.refused() + f.failed() + f.unreached(),
          world + ": one answer to each try");
    }
  }

  @Test
  void policiesUnderOneSeedMeetTheSameRequests() {
    Figures own = play("burst", Policies.of(Policies.OWN));
    for (String policy : Policies.names()) {
      assertEquals(own.asked(), play("burst", Policies.of(policy)).asked(), policy);
    }
  }

  @Test
  void runThatIsStoppedHasNoFigures() {
    assertNull(new FleetRun(world("calm"), Policies.of("random"), SEED, null).play(() -> true));
  }

  @Test
  void traceTellsOneRequestsWayToItsEnd() {
    Map<Long, String> last = new HashMap<>();
    Figures f = new FleetRun(
            world("calm"),
            Policies.of(Policies.OWN),
            SEED,
            (number, at, what) -> last.put(number, what))
        .play(() -> false);
    assertEquals(f.asked(), last.size());
    assertTrue(
        last.get(7L).contains("served after") || last.get(7L).contains("ended"), last.get(7L));
  }

  /** The module with something changed on its way in or out. */
  private static Policies.Maker changed(
      java.util.function.BiFunction<Balancer, Balancer.Settings, Balancer> by) {
    return (settings, seed, oracle) ->
        by.apply(Policies.of(Policies.OWN).make(settings, seed, oracle), settings);
  }

  private static void finds(String rule, String world, Policies.Maker maker) {
    Figures f = play(world, maker);
    assertTrue(f.broken().containsKey(rule), "expected " + rule + ", got " + f.broken());
  }

  @Test
  void policyThatForgetsRequestsIsFound() {
    finds("lost", "calm", changed((own, settings) -> (now, event, out) -> {
      if (!(event instanceof Balancer.Request r) || !r.id().endsWith("77")) {
        own.handle(now, event, out);
      }
    }));
  }

  @Test
  void policyThatHearsOfNoDrainIsFound() {
    finds(
        "drain",
        "rolling-deploy",
        changed((own, settings) -> (now, event, out) -> own.handle(now, drainless(event), out)));
  }

  private static Event drainless(Event event) {
    return event instanceof Balancer.ListUpdate n
        ? new Balancer.ListUpdate(
            n.kind(),
            n.entries().stream()
                .map(l -> new Balancer.ListedUpstream(
                    l.upstream(),
                    l.zone(),
                    l.cell(),
                    Balancer.State.READY,
                    l.startedNanos(),
                    l.weight()))
                .toList())
        : event;
  }

  @Test
  void policyThatRepeatsWhereNobodyDropsItIsFound() {
    finds(
        "twice",
        "quarter-crashed",
        changed((own, settings) -> Policies.of(Policies.OWN).make(safe(settings), 1, id -> 0)));
  }

  private static Balancer.Settings safe(Balancer.Settings s) {
    return new Balancer.Settings(
        s.me(),
        s.groupSize(),
        s.zone(),
        s.classes().stream()
            .map(c -> new Balancer.RequestClass(
                c.name(),
                Balancer.Effect.SAFE,
                c.dedupScope(),
                0,
                c.aimNanos(),
                c.aimStretch(),
                c.deadlineNanos(),
                c.worth(),
                c.lateWorth(),
                c.stream()))
            .toList(),
        s.tenants(),
        s.limits(),
        s.contract(),
        s.prices(),
        s.listOnRequest(),
        s.weightKind(),
        s.overShareWorth(),
        s.warmKeys(),
        s.tickNanos());
  }

  /** All that comes goes to the newest one. */
  @Test
  void policyThatPushesAColdOneOverIsFound() {
    finds("cold", "rolling-deploy", (settings, seed, oracle) -> new Balancer() {
      private final Map<Long, ListedUpstream> ready = new HashMap<>();

      @Override
      public void handle(long now, Event event, Consumer<Action> out) {
        if (event instanceof ListUpdate n) {
          n.entries().forEach(l -> ready.put(l.upstream(), l));
          ready.values().removeIf(l -> l.state() != State.READY);
        } else if (event instanceof Request r && ready.isEmpty()) {
          out.accept(new Refuse(r.id(), 0));
        } else if (event instanceof Request r) {
          out.accept(new Send(
              r.id(),
              ready.values().stream()
                  .max(java.util.Comparator.comparingLong(ListedUpstream::startedNanos))
                  .orElseThrow()
                  .upstream(),
              0));
        } else if (event instanceof Outcome o && !o.finished()) {
          out.accept(new Fail(o.id()));
        }
      }
    });
  }

  @Test
  void zonesAreLostWhole() {
    Figures lost = play("zone-lost", Policies.of("random"));
    Figures calm = play("calm", Policies.of("random"));
    assertTrue(lost.attempts() > 0 && calm.attempts() > 0);
    assertEquals(
        List.of("z0", "z1", "z2"),
        new FleetRun(world("zone-lost"), Policies.of("random"), SEED, null)
            .servers().stream().map(s -> s.zone).distinct().sorted().toList());
  }
}
