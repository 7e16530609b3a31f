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

/** Policies by name: the project's own, and what a user would pick instead. */
public final class Policies {

  /** Makes one balancer's policy. */
  public interface Maker {
    Balancer make(Settings settings, long seed, Oracle oracle);
  }

  /** The project's own module. */
  public static final String OWN = "adaptive";

  private static final Map<String, Maker> ALL = all();

  private static final Pattern SUBSET =
      Pattern.compile("adaptive-(random|rounds|rendezvous|aperture)-(\\d{1,4})");
  /** As the lab's worlds have them where nothing else is said. */
  private static final int UPSTREAMS_EACH = 5;

  private Policies() {}

  private static Map<String, Maker> all() {
    Map<String, Maker> all = new LinkedHashMap<>();
    all.put(OWN, (settings, seed, oracle) -> new AdaptiveBalancer(settings, seed));
    all.put("random", textbook(Choice::random));
    all.put("round-robin", textbook(Choice::roundRobin));
    all.put("least-outstanding", textbook(r -> Choice.least(r, p -> p.out)));
    all.put("two-peak-ewma", textbook(Choice::twoByPeakEwma));
    // Own requests count beside the late truth: a fleet that all sees one idle server would else
    // fall upon it.
    all.put(
        "true-state-late",
        (settings, seed, oracle) -> new TextbookBalancer(
            settings, seed, r -> Choice.least(r, p -> oracle.crowd(p.id) + p.out)));
    return all;
  }

  /** The project's own on a subset: {@code adaptive-rounds-25} and the like, of so many upstreams. */
  private static Maker subset(String name) {
    Matcher m = SUBSET.matcher(name);
    if (!m.matches() || Integer.parseInt(m.group(2)) < 1) {
      return null;
    }
    Subsets way = Subsets.valueOf(m.group(1).toUpperCase(Locale.ROOT));
    int size = Integer.parseInt(m.group(2));
    return (settings, seed, oracle) -> new SubsetBalancer(
        settings,
        way,
        size,
        settings.groupSize() * UPSTREAMS_EACH,
        s -> new AdaptiveBalancer(s, seed));
  }

  private static Maker textbook(Function<SplittableRandom, Choice> choice) {
    return (settings, seed, oracle) -> new TextbookBalancer(settings, seed, choice);
  }

  public static List<String> names() {
    return List.copyOf(ALL.keySet());
  }

  /** The policy of a name; null for none. */
  public static Maker of(String name) {
    return ALL.containsKey(name) ? ALL.get(name) : subset(name);
  }
}
