package pumicekeel.rig.scale;

import pumicekeel.rig.scale.ConfigurationGenerator.Size;

/** Computes the contents of a configuration for a size of an axis, with the minimum of everything that the axis does not vary. */
final class ConfigurationSizes {

  /** Number of pools for the routes axis. */
  private static final int ROUTES_AXIS_POOLS = 10;

  /** Number of pools for the upstreams and tenants axes, whose limits apply per pool. */
  private static final int LIST_AXES_POOLS = 60;

  private ConfigurationSizes() {}

  static Size of(Axis axis, int size) {
    return switch (axis) {
      case SERVICES -> new Size(size, size, 0, size);
      case ROUTES -> new Size(ROUTES_AXIS_POOLS, size, 0, ROUTES_AXIS_POOLS);
      case TENANTS -> new Size(LIST_AXES_POOLS, LIST_AXES_POOLS, size, LIST_AXES_POOLS);
      case UPSTREAMS -> new Size(LIST_AXES_POOLS, LIST_AXES_POOLS, 0, size);
      case PERCENT -> percent(size);
      case BALANCERS ->
        throw new IllegalArgumentException(
            "the size of a configuration does not depend on the number of balancers");
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
