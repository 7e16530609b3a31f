package pumicekeel.lab.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pumicekeel.lab.fleet.Figures;
import pumicekeel.lab.fleet.FleetRun;
import pumicekeel.lab.policy.Policies;
import pumicekeel.lab.world.FaultSpec;
import pumicekeel.lab.world.WorldSpec;

/**
 * Reduces a world in which a rule is broken to a smaller one in which a rule is still broken: fewer faults, fewer balancers and
 * upstreams, a shorter duration. Greedy, one element at a time (delta debugging, Zeller and Hildebrandt 2002, with chunks of one).
 */
public final class Shrinker {

  private final String policy;
  private final long seed;
  private final Consumer<String> progress;

  /** Creates a shrinker; {@code progress} receives a line per reduction. */
  public Shrinker(String policy, long seed, Consumer<String> progress) {
    this.policy = policy;
    this.seed = seed;
    this.progress = progress;
  }

  /** Returns the first violation in a world, or null. */
  private String firstViolation(WorldSpec spec) {
    Figures figures = new FleetRun(spec, Policies.of(policy), seed, null).play(() -> false);
    return figures.violations().isEmpty() ? null : figures.firstViolation();
  }

  /** Returns the smallest world found, or null if no rule is broken in the given one. */
  public WorldSpec shrink(WorldSpec from) {
    String first = firstViolation(from);
    if (first == null) {
      return null;
    }
    progress.accept("broken: " + first);
    WorldSpec best = from;
    for (boolean reduced = true; reduced; ) {
      reduced = false;
      for (WorldSpec candidate : reductions(best)) {
        String violation = firstViolation(candidate);
        if (violation != null) {
          progress.accept(candidate.balancers() + " balancers, " + candidate.servers()
              + " servers, " + candidate.seconds() + " s, " + candidate.faults().size()
              + " faults: " + violation);
          best = candidate;
          reduced = true;
          break;
        }
      }
    }
    return best;
  }

  private static List<WorldSpec> reductions(WorldSpec world) {
    List<WorldSpec> candidates = new ArrayList<>();
    for (int i = 0; i < world.faults().size(); i++) {
      List<FaultSpec> fewerFaults = new ArrayList<>(world.faults());
      fewerFaults.remove(i);
      candidates.add(world.withFaults(fewerFaults));
    }
    if (world.balancers() > 1) {
      candidates.add(world.withSize(world.balancers() / 2, Math.max(1, world.servers() / 2)));
      candidates.add(world.withSize(world.balancers() - 1, world.servers()));
    }
    if (world.servers() > 1) {
      candidates.add(world.withSize(world.balancers(), world.servers() - 1));
    }
    if (world.seconds() > 10) {
      candidates.add(world.withSeconds(Math.max(10, world.seconds() / 2)));
    }
    return candidates;
  }
}
