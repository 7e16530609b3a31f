package pumicekeel.rig.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** What grows while everything else stays as it is. The last size is the one that the fleet has to carry. */
public enum Axis {
  BALANCERS(50, 150, 350, 590),
  UPSTREAMS(500, 1_500, 3_500, 5_500),
  SERVICES(10, 60, 140, 220),
  ROUTES(100, 1_000, 4_900, 9_800),
  TENANTS(350, 3_500, 17_500, 35_000),
  /** All parts of a configuration together, in percent of what has to be carried. */
  PERCENT(10, 25, 50, 100);

  private final List<Integer> sizes;

  Axis(Integer... sizes) {
    this.sizes = List.of(sizes);
  }

  /** Sizes to measure, the smallest first. */
  public List<Integer> sizes() {
    return sizes;
  }

  /** The size that has to be carried. */
  public int target() {
    return sizes.get(sizes.size() - 1);
  }

  /** As commands and result files write it. */
  public String key() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** The axis of a key; null for none. */
  public static Axis of(String key) {
    return Arrays.stream(values()).filter(a -> a.key().equals(key)).findFirst().orElse(null);
  }
}
