package pumicekeel.lab.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pumicekeel.AdaptiveBalancer;
import pumicekeel.Balancer;
import pumicekeel.Balancer.Settings;
import pumicekeel.subset.SubsetBalancer;
import pumicekeel.subset.Subsets;

/** The policies by name: the project's own, and common alternatives. */
public final class Policies {

  /** Creates policies. */
  public interface Factory {
    /** Creates the policy of one balancer. */
    Balancer make(Settings settings, long seed, Oracle oracle);
  }

  /** Name of the project's own module. */
  public static final String OWN = "adaptive";

  private static final Map<String, Factory> ALL = all();

  private static final Pattern SUBSET =
      Pattern.compile("adaptive-(random|rounds|rendezvous|aperture)-(\\d{1,4})");

  /** Default number of upstreams per balancer in the lab's worlds. */
  private static final int UPSTREAMS_PER_BALANCER = 5;

  private Policies() {}

  private static Map<String, Factory> all() {
    Map<String, Factory> all = new LinkedHashMap<>();
    all.put(OWN, (settings, seed, oracle) -> new AdaptiveBalancer(settings, seed));
    all.put("random", textbook(SelectionStrategy::random));
    all.put("round-robin", textbook(SelectionStrategy::roundRobin));
    all.put(
        "least-outstanding",
        textbook(random -> SelectionStrategy.leastLoaded(random, upstream -> upstream.inFlight)));
    all.put("two-peak-ewma", textbook(SelectionStrategy::twoChoicesByPeakEwma));
    // The delayed true state alone would make all balancers send to the same idle upstream, so own
    // requests in flight count too.
    all.put(
        "true-state-late",
        (settings, seed, oracle) -> new TextbookBalancer(
            settings,
            seed,
            random -> SelectionStrategy.leastLoaded(
                random, upstream -> oracle.crowd(upstream.id) + upstream.inFlight)));
    return all;
  }

  /** Returns the module on a subset of the upstreams, with a name such as {@code adaptive-rounds-25}; null for another name. */
  private static Factory subset(String name) {
    Matcher matcher = SUBSET.matcher(name);
    if (!matcher.matches() || Integer.parseInt(matcher.group(2)) < 1) {
      return null;
    }
    Subsets subsets = Subsets.valueOf(matcher.group(1).toUpperCase(Locale.ROOT));
    int size = Integer.parseInt(matcher.group(2));
    return (settings, seed, oracle) -> new SubsetBalancer(
        settings,
        subsets,
        size,
        settings.groupSize() * UPSTREAMS_PER_BALANCER,
        subsetSettings -> new AdaptiveBalancer(subsetSettings, seed));
  }

  private static Factory textbook(Function<SplittableRandom, SelectionStrategy> strategy) {
    return (settings, seed, oracle) -> new TextbookBalancer(settings, seed, strategy);
  }

  /** Returns the names of all policies without the subset variants. */
  public static List<String> names() {
    return List.copyOf(ALL.keySet());
  }

  /** Returns the factory of the named policy, or null if there is none. */
  public static Factory of(String name) {
    return ALL.containsKey(name) ? ALL.get(name) : subset(name);
  }
}
