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
 * Cuts a world in which a rule is broken down to a smaller one in which it still is: fewer faults, fewer balancers and upstreams, a
 * shorter day. Greedy, one part at a time (delta debugging, Zeller and Hildebrandt 2002, with parts of one).
 */
public final class Shrinker {

  private final String policy;
  private final long seed;
  private final Consumer<String> progress;

  public Shrinker(String policy, long seed, Consumer<String> progress) {
    this.policy = policy;
    this.seed = seed;
    this.progress = progress;
  }

  /** What is broken in a world; null for nothing. */
  private String broken(WorldSpec spec) {
    Figures f = new FleetRun(spec, Policies.of(policy), seed, null).play(() -> false);
    return f.violations().isEmpty() ? null : f.firstViolation();
  }

  /** The smallest that was found; null where nothing is broken to begin with. */
  public WorldSpec shrink(WorldSpec from) {
    String first = broken(from);
    if (first == null) {
      return null;
    }
    progress.accept("broken: " + first);
    WorldSpec best = from;
    for (boolean again = true; again; ) {
      again = false;
      for (WorldSpec smaller : smaller(best)) {
        String still = broken(smaller);
        if (still != null) {
          progress.accept(smaller.balancers() + " balancers, " + smaller.servers() + " servers, "
              + smaller.seconds() + " s, " + smaller.faults().size() + " troubles: " + still);
          best = smaller;
          again = true;
          break;
        }
      }
    }
    return best;
  }

  private static List<WorldSpec> smaller(WorldSpec of) {
    List<WorldSpec> out = new ArrayList<>();
    for (int i = 0; i < of.faults().size(); i++) {
      List<FaultSpec> fewer = new ArrayList<>(of.faults());
      fewer.remove(i);
      out.add(of.withFaults(fewer));
    }
    if (of.balancers() > 1) {
      out.add(of.withSize(of.balancers() / 2, Math.max(1, of.servers() / 2)));
      out.add(of.withSize(of.balancers() - 1, of.servers()));
    }
    if (of.servers() > 1) {
      out.add(of.withSize(of.balancers(), of.servers() - 1));
    }
    if (of.seconds() > 10) {
      out.add(of.withSeconds(Math.max(10, of.seconds() / 2)));
    }
    return out;
  }
}
