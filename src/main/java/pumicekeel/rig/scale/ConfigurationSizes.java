package pumicekeel.rig.scale;

import pumicekeel.rig.scale.ConfigurationGenerator.Size;

/** How much of each kind a configuration holds at a size of an axis: the least of what is not the axis's own. */
final class ConfigurationSizes {

  /** Pools of a table of routes, and of a list of upstreams or tenants whose bound is by the pool. */
  private static final int FEW_POOLS = 10;

  private static final int MANY_POOLS = 60;

  private ConfigurationSizes() {}

  static Size of(Axis axis, int size) {
    return switch (axis) {
      case SERVICES -> new Size(size, size, 0, size);
      case ROUTES -> new Size(FEW_POOLS, size, 0, FEW_POOLS);
      case TENANTS -> new Size(MANY_POOLS, MANY_POOLS, size, MANY_POOLS);
      case UPSTREAMS -> new Size(MANY_POOLS, MANY_POOLS, 0, size);
      case PERCENT -> percent(size);
      case BALANCERS ->
        throw new IllegalArgumentException("a configuration does not grow with the balancers");
    };
  }

  private static Size percent(int percent) {
    Size target = Size.TARGET;
    return new Size(
        Math.max(1, target.pools() * percent / 100),
        target.routes() * percent / 100,
        target.tenants() * percent / 100,
        target.upstreams() * percent / 100);
  }
}
