package pumicekeel.rig.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** The quantity that a scenario varies while all others are held constant. The last size is the one that the fleet has to support. */
public enum Axis {
  BALANCERS(50, 150, 350, 590),
  UPSTREAMS(500, 1_500, 3_500, 5_500),
  SERVICES(10, 60, 140, 220),
  ROUTES(100, 1_000, 4_900, 9_800),
  TENANTS(350, 3_500, 17_500, 35_000),
  /** All parts of a configuration together, in percent of the configuration that has to be supported. */
  PERCENT(10, 25, 50, 100);

  private final List<Integer> sizes;

  Axis(Integer... sizes) {
    this.sizes = List.of(sizes);
  }

  /** Returns the sizes to measure, in ascending order. */
  public List<Integer> sizes() {
    return sizes;
  }

  /** Returns the size that has to be supported. */
  public int target() {
    return sizes.get(sizes.size() - 1);
  }

  /** Returns the name used in commands and result files. */
  public String key() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the axis with the given key, or null if there is none. */
  public static Axis of(String key) {
    return Arrays.stream(values())
        .filter(axis -> axis.key().equals(key))
        .findFirst()
        .orElse(null);
  }
}
