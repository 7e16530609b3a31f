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

/** Tests whole fleets: a seed determines the run, the module keeps the rules, and policies that break a rule are detected. */
class FleetRunTest {

  private static final long SEED = 3;

  private static WorldSpec world(String name) {
    return Worlds.of(name, 3, 9).withSeconds(40);
  }

  private static Figures play(String world, Policies.Factory factory) {
    return new FleetRun(world(world), factory, SEED, null).play(() -> false);
  }

  @Test
  void sameSeedGivesTheSameFiguresAndAnotherSeedOthers() {
    Figures first = play("crash-and-burst", Policies.of(Policies.OWN));
    assertEquals(first, play("crash-and-burst", Policies.of(Policies.OWN)));
    assertNotEquals(
        first,
        new FleetRun(world("crash-and-burst"), Policies.of(Policies.OWN), SEED + 1, null)
            .play(() -> false));
  }

  @Test
  void rulesHoldForTheModuleInEveryWorld() {
    for (String world : Worlds.names()) {
      Figures figures = play(world, Policies.of(Policies.OWN));
      assertEquals(
          Map.of(),
          figures.violations(),
          world + ", seed " + SEED + ": " + figures.firstViolation());
      assertTrue(figures.worth() > 0.5, world + ": " + figures);
      assertEquals(
          figures.tries(),
          figures.served() + figures.refused() + figures.failed() + figures.unreachable(),
          world + ": each try must have one answer");
    }
  }

  @Test
  void policiesWithTheSameSeedGetTheSameRequests() {
    Figures module = play("burst", Policies.of(Policies.OWN));
    for (String policy : Policies.names()) {
      assertEquals(module.requests(), play("burst", Policies.of(policy)).requests(), policy);
    }
  }

  @Test
  void stoppedRunHasNoFigures() {
    assertNull(new FleetRun(world("calm"), Policies.of("random"), SEED, null).play(() -> true));
  }

  @Test
  void traceReportsARequestToItsEnd() {
    Map<Long, String> lastEvents = new HashMap<>();
    Figures figures = new FleetRun(
            world("calm"),
            Policies.of(Policies.OWN),
            SEED,
            (number, at, event) -> lastEvents.put(number, event))
        .play(() -> false);
    assertEquals(figures.requests(), lastEvents.size());
    assertTrue(
        lastEvents.get(7L).contains("served after") || lastEvents.get(7L).contains("ended"),
        lastEvents.get(7L));
  }

  /** Returns a factory of the module with a wrapper that changes its events or settings. */
  private static Policies.Factory wrapped(
      java.util.function.BiFunction<Balancer, Balancer.Settings, Balancer> wrapper) {
    return (settings, seed, oracle) ->
        wrapper.apply(Policies.of(Policies.OWN).make(settings, seed, oracle), settings);
  }

  private static void assertViolationFound(String rule, String world, Policies.Factory factory) {
    Figures figures = play(world, factory);
    assertTrue(
        figures.violations().containsKey(rule),
        "expected " + rule + ", got " + figures.violations());
  }

  @Test
  void policyThatLosesRequestsIsDetected() {
    assertViolationFound("lost", "calm", wrapped((module, settings) -> (now, event, out) -> {
      if (!(event instanceof Balancer.Request request) || !request.id().endsWith("77")) {
        module.handle(now, event, out);
      }
    }));
  }

  @Test
  void policyThatIgnoresDrainsIsDetected() {
    assertViolationFound(
        "drain",
        "rolling-deploy",
        wrapped((module, settings) ->
            (now, event, out) -> module.handle(now, withoutDrains(event), out)));
  }

  private static Event withoutDrains(Event event) {
    return event instanceof Balancer.ListUpdate update
        ? new Balancer.ListUpdate(
            update.kind(),
            update.entries().stream()
                .map(entry -> new Balancer.ListedUpstream(
                    entry.upstream(),
                    entry.zone(),
                    entry.cell(),
                    Balancer.State.READY,
                    entry.startedNanos(),
                    entry.weight()))
                .toList())
        : event;
  }

  @Test
  void policyThatRepeatsKeyedRequestsOutsideTheirCellIsDetected() {
    assertViolationFound(
        "twice",
        "quarter-crashed",
        wrapped((module, settings) -> Policies.of(Policies.OWN).make(safe(settings), 1, id -> 0)));
  }

  private static Balancer.Settings safe(Balancer.Settings settings) {
    return new Balancer.Settings(
        settings.me(),
        settings.groupSize(),
        settings.zone(),
        settings.classes().stream()
            .map(requestClass -> new Balancer.RequestClass(
                requestClass.name(),
                Balancer.Effect.SAFE,
                requestClass.dedupScope(),
                0,
                requestClass.aimNanos(),
                requestClass.aimStretch(),
                requestClass.deadlineNanos(),
                requestClass.worth(),
                requestClass.lateWorth(),
                requestClass.stream()))
            .toList(),
        settings.tenants(),
        settings.limits(),
        settings.contract(),
        settings.prices(),
        settings.listOnRequest(),
        settings.weightKind(),
        settings.overShareWorth(),
        settings.warmKeys(),
        settings.tickNanos());
  }

  /** The policy sends all requests to the upstream that was started last. */
  @Test
  void policyThatExceedsAColdBudgetIsDetected() {
    assertViolationFound("cold", "rolling-deploy", (settings, seed, oracle) -> new Balancer() {
      private final Map<Long, ListedUpstream> ready = new HashMap<>();

      @Override
      public void handle(long now, Event event, Consumer<Action> out) {
        if (event instanceof ListUpdate update) {
          update.entries().forEach(entry -> ready.put(entry.upstream(), entry));
          ready.values().removeIf(entry -> entry.state() != State.READY);
        } else if (event instanceof Request request && ready.isEmpty()) {
          out.accept(new Refuse(request.id(), 0));
        } else if (event instanceof Request request) {
          out.accept(new Send(
              request.id(),
              ready.values().stream()
                  .max(java.util.Comparator.comparingLong(ListedUpstream::startedNanos))
                  .orElseThrow()
                  .upstream(),
              0));
        } else if (event instanceof Outcome outcome && !outcome.finished()) {
          out.accept(new Fail(outcome.id()));
        }
      }
    });
  }

  @Test
  void zoneOutageWorldHasAllZones() {
    Figures lost = play("zone-lost", Policies.of("random"));
    Figures calm = play("calm", Policies.of("random"));
    assertTrue(lost.attempts() > 0 && calm.attempts() > 0);
    assertEquals(
        List.of("z0", "z1", "z2"),
        new FleetRun(world("zone-lost"), Policies.of("random"), SEED, null)
            .servers().stream().map(server -> server.zone).distinct().sorted().toList());
  }
}
