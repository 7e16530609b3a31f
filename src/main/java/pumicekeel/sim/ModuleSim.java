package pumicekeel.sim;

import static pumicekeel.sim.ModuleSimSettings.ARRIVALS_PER_SECOND;
import static pumicekeel.sim.ModuleSimSettings.CAPACITY;
import static pumicekeel.sim.ModuleSimSettings.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.ListUpdate;
import pumicekeel.Balancer.Listed;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;

/**
 * The decision modules of a whole fleet in virtual time and one thread, with upstreams that break, drain and return cold, a list
 * that reaches each instance late, and instances that die, sleep and start from old lists. A seed decides all of it and gives the
 * same run again. {@link RuleChecker} checks what reaches the upstreams: exactly one final answer a request, no effect twice, nothing
 * new to one that drains, and no cold one overloaded by all instances together.
 */
public final class ModuleSim {

  private static final long END = 30 * SECOND;
  /** Instances that start from a list so old miss the last changes of it. */
  private static final long LATEST_NEWS = 6 * SECOND;

  /** A run's figures; {@code fault} is null where all rules held. {@code coldShare}: of a cold budget, the most that was used. */
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

  /** A fleet of this size; half as many upstreams, six at least. */
  public ModuleSim(long seed, int size) {
    this.seed = seed;
    this.size = size;
    random = new SplittableRandom(seed);
    settings = ModuleSimSettings.of(size);
    for (int i = 0; i < Math.max(6, size / 2); i++) {
      upstreams.put(100L + i, new SimulatedUpstream(100L + i, i / 2));
    }
  }

  /** Plays the seed until nothing is scheduled any more, or a rule is broken. */
  public Report run() {
    for (int i = 0; i < size; i++) {
      SimulatedInstance instance =
          new SimulatedInstance(i, queue, random, settings, upstreams, rules);
      instances.add(instance);
      instance.start(list());
      arrivals(instance, 0);
    }
    for (long at = SECOND; at < END; at += 1 + random.nextLong(4 * SECOND)) {
      queue.at(at, this::disturb);
    }
    boolean more = true;
    while (more && rules.fault() == null) {
      more = queue.runNext();
    }
    if (rules.fault() == null) {
      rules.end(upstreams.values(), capacity());
    }
    return new Report(
        seed,
        size,
        rules.fault(),
        rules.requestCount(),
        rules.servedCount(),
        rules.fault() == null ? RuleChecker.coldShare(upstreams.values(), capacity()) : 0);
  }

  /** What one upstream can do, in requests a second. */
  private double capacity() {
    return CAPACITY * size * ARRIVALS_PER_SECOND / upstreams.size();
  }

  private void arrivals(SimulatedInstance i, int number) {
    long next =
        queue.now() + (long) (-Math.log(1 - random.nextDouble()) * SECOND / ARRIVALS_PER_SECOND);
    if (next < END) {
      queue.at(next, () -> {
        if (i.isUp()) {
          i.request(
              "r" + i.number + "-" + number,
              settings.classes().get(random.nextInt(3)),
              "k" + random.nextInt(50));
        }
        arrivals(i, number + 1);
      });
    }
  }

  // The list of upstreams

  private List<Listed> list() {
    return upstreams.values().stream()
        .filter(s -> s.state == State.READY)
        .map(SimulatedUpstream::listed)
        .toList();
  }

  /** Tells all of a change, each at a time of its own, the last after some seconds; a server's news stay in order. */
  private void announce(SimulatedUpstream s) {
    for (SimulatedInstance i : instances) {
      Listed line = s.listed();
      queue.at(
          queue.now() + random.nextLong(random.nextInt(10) == 0 ? LATEST_NEWS : SECOND), () -> {
            if (i.isUp() && s.listed().equals(line)) {
              i.tell(new ListUpdate(ListKind.DELTA, i.own(List.of(line))));
            }
          });
    }
  }

  // Faults

  private void disturb() {
    List<SimulatedUpstream> all =
        upstreams.values().stream().sorted((a, b) -> Long.compare(a.id, b.id)).toList();
    SimulatedUpstream s = all.get(random.nextInt(all.size()));
    SimulatedInstance i = instances.get(random.nextInt(size));
    switch (random.nextInt(7)) {
      case 0, 1 -> replace(s);
      case 2 -> {
        s.hung = true;
        queue.at(queue.now() + 3 * SECOND, () -> s.hung = false);
      }
      case 3 -> i.pauseUntil(queue.now() + random.nextLong(10 * SECOND));
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
        queue.at(queue.now() + 2 * SECOND, () -> returnCold(s));
      }
    }
  }

  /** Drains, ends, and comes back cold under the same id. */
  private void replace(SimulatedUpstream s) {
    if (s.state != State.READY || s.down) {
      return;
    }
    s.state = State.DRAINING;
    announce(s);
    queue.at(queue.now() + LATEST_NEWS + 4 * SECOND, () -> {
      s.down = true;
      queue.at(queue.now() + SECOND, () -> returnCold(s));
    });
  }

  private void returnCold(SimulatedUpstream s) {
    s.down = false;
    s.state = State.READY;
    s.startedAt = queue.now();
    s.sends.clear();
    announce(s);
  }

  private void restart(SimulatedInstance i) {
    List<Listed> old = list();
    i.stop();
    queue.at(queue.now() + random.nextLong(SECOND), () -> {
      if (!i.isUp()) {
        i.start(old);
        // Follows the list from its start on: the whole of it, a moment later.
        int of = i.life();
        queue.at(queue.now() + random.nextLong(SECOND), () -> {
          if (of == i.life()) {
            i.tell(new ListUpdate(ListKind.FULL, i.own(list())));
          }
        });
      }
    });
  }
}
