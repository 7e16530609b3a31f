package pumicekeel.sim;

import static pumicekeel.sim.ModuleSimSettings.ARRIVALS_PER_SECOND;
import static pumicekeel.sim.ModuleSimSettings.CAPACITY_MULTIPLE;
import static pumicekeel.sim.ModuleSimSettings.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.ListUpdate;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;

/**
 * Simulates the decision modules of a whole fleet in virtual time and one thread, with upstreams that fail, drain and restart cold,
 * list updates that reach each instance late, and instances that crash, pause and start from old lists. A seed determines the run.
 * {@link RuleChecker} checks the results: exactly one final answer per request, no effect executed twice, nothing new sent to a
 * draining upstream, and no cold upstream overloaded by all instances together.
 */
public final class ModuleSim {

  /** Virtual time after which no more requests arrive. */
  private static final long END_NANOS = 30 * SECOND;
  /** Longest delay of a list update; an instance that starts from a list this old misses the latest changes. */
  private static final long MAX_LIST_DELAY_NANOS = 6 * SECOND;

  /** Results of a run; {@code fault} is null if no rule was violated. {@code coldShare} is the largest used part of a cold budget. */
  public record Report(
      long seed, int size, String fault, long requests, long served, double coldShare) {}

  private final long seed;
  private final int size;
  private final SplittableRandom random;
  private final Settings settings;
  private final EventQueue queue = new EventQueue();
  private final RuleChecker rules = new RuleChecker(queue);
  private final Map<Long, SimulatedUpstream> upstreams = new HashMap<>();
  private final List<SimulatedInstance> instances = new ArrayList<>();

  /** Creates a fleet of this size, with half as many upstreams but at least six. */
  public ModuleSim(long seed, int size) {
    this.seed = seed;
    this.size = size;
    random = new SplittableRandom(seed);
    settings = ModuleSimSettings.of(size);
    for (int i = 0; i < Math.max(6, size / 2); i++) {
      upstreams.put(100L + i, new SimulatedUpstream(100L + i, i / 2));
    }
  }

  /** Runs until no events are left or a rule is violated. */
  public Report run() {
    for (int i = 0; i < size; i++) {
      SimulatedInstance instance =
          new SimulatedInstance(i, queue, random, settings, upstreams, rules);
      instances.add(instance);
      instance.start(list());
      scheduleRequests(instance, 0);
    }
    for (long at = SECOND; at < END_NANOS; at += 1 + random.nextLong(4 * SECOND)) {
      queue.schedule(at, this::injectFault);
    }
    boolean eventsLeft = true;
    while (eventsLeft && rules.fault() == null) {
      eventsLeft = queue.runNext();
    }
    if (rules.fault() == null) {
      rules.checkAtEnd(upstreams.values(), capacity());
    }
    return new Report(
        seed,
        size,
        rules.fault(),
        rules.requestCount(),
        rules.servedCount(),
        rules.fault() == null ? RuleChecker.coldShare(upstreams.values(), capacity()) : 0);
  }

  /** Returns the capacity of one upstream in requests per second. */
  private double capacity() {
    return CAPACITY_MULTIPLE * size * ARRIVALS_PER_SECOND / upstreams.size();
  }

  private void scheduleRequests(SimulatedInstance instance, int number) {
    long next =
        queue.now() + (long) (-Math.log(1 - random.nextDouble()) * SECOND / ARRIVALS_PER_SECOND);
    if (next < END_NANOS) {
      queue.schedule(next, () -> {
        if (instance.isUp()) {
          instance.request(
              "r" + instance.number + "-" + number,
              settings.classes().get(random.nextInt(3)),
              "k" + random.nextInt(50));
        }
        scheduleRequests(instance, number + 1);
      });
    }
  }

  // The list of upstreams

  private List<ListedUpstream> list() {
    return upstreams.values().stream()
        .filter(u -> u.state == State.READY)
        .map(SimulatedUpstream::listed)
        .toList();
  }

  /** Notifies every instance of a change after a random delay, of up to some seconds; an update that is outdated by then is dropped. */
  private void announce(SimulatedUpstream upstream) {
    for (SimulatedInstance instance : instances) {
      ListedUpstream entry = upstream.listed();
      queue.schedule(
          queue.now() + random.nextLong(random.nextInt(10) == 0 ? MAX_LIST_DELAY_NANOS : SECOND),
          () -> {
            if (instance.isUp() && upstream.listed().equals(entry)) {
              instance.deliver(
                  new ListUpdate(ListKind.DELTA, instance.withLocalClock(List.of(entry))));
            }
          });
    }
  }

  // Faults

  private void injectFault() {
    List<SimulatedUpstream> all =
        upstreams.values().stream().sorted((a, b) -> Long.compare(a.id, b.id)).toList();
    SimulatedUpstream upstream = all.get(random.nextInt(all.size()));
    SimulatedInstance instance = instances.get(random.nextInt(size));
    switch (random.nextInt(7)) {
      case 0, 1 -> replace(upstream);
      case 2 -> {
        upstream.hung = true;
        queue.schedule(queue.now() + 3 * SECOND, () -> upstream.hung = false);
      }
      case 3 -> instance.pauseUntil(queue.now() + random.nextLong(10 * SECOND));
      case 4 -> restart(instance);
      case 5 -> {
        // Half of the instances restart at once and are back within a second.
        for (int k = 0; k < size; k += 2) {
          restart(instances.get(k));
        }
      }
      default -> {
        // A crash: the list is updated only when the upstream is back, cold.
        upstream.down = true;
        queue.schedule(queue.now() + 2 * SECOND, () -> returnCold(upstream));
      }
    }
  }

  /** Drains and stops an upstream, and restarts it cold under the same id. */
  private void replace(SimulatedUpstream upstream) {
    if (upstream.state != State.READY || upstream.down) {
      return;
    }
    upstream.state = State.DRAINING;
    announce(upstream);
    queue.schedule(queue.now() + MAX_LIST_DELAY_NANOS + 4 * SECOND, () -> {
      upstream.down = true;
      queue.schedule(queue.now() + SECOND, () -> returnCold(upstream));
    });
  }

  private void returnCold(SimulatedUpstream upstream) {
    upstream.down = false;
    upstream.state = State.READY;
    upstream.startedAt = queue.now();
    upstream.sends.clear();
    announce(upstream);
  }

  private void restart(SimulatedInstance instance) {
    List<ListedUpstream> old = list();
    instance.stop();
    queue.schedule(queue.now() + random.nextLong(SECOND), () -> {
      if (!instance.isUp()) {
        instance.start(old);
        // The instance watches the list from its start; the full list arrives within a second.
        int incarnation = instance.incarnation();
        queue.schedule(queue.now() + random.nextLong(SECOND), () -> {
          if (incarnation == instance.incarnation()) {
            instance.deliver(new ListUpdate(ListKind.FULL, instance.withLocalClock(list())));
          }
        });
      }
    });
  }
}
