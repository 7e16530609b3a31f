package pumicekeel.rig.scale;

import java.util.List;

/** All that can be played. */
public final class Scenarios {

  /** Balancers that watch a list of growing length; enough for a mean. */
  private static final int WATCHERS = 20;
  /** Upstreams of the list that ever more balancers watch. */
  private static final int LISTED = 500;

  /** Of the configuration that has to be carried, in percent: a part that earlier builds take too, and all of it. */
  private static final int QUARTER = 25;

  private static final int WHOLE = 100;

  private static final List<Scenario> ALL = List.of(
      new MembershipScenario(),
      new QuotaScenario(),
      ListWatchScenario.byUpstreams(WATCHERS),
      ListWatchScenario.byBalancers(LISTED),
      new ConfigurationScenario(Axis.SERVICES),
      new ConfigurationScenario(Axis.ROUTES),
      new ConfigurationScenario(Axis.TENANTS),
      new ConfigurationScenario(Axis.UPSTREAMS),
      new ConfigurationScenario(Axis.PERCENT),
      new DeliveryScenario(QUARTER),
      new DeliveryScenario(WHOLE),
      new CheckScenario(),
      new ServeScenario(Axis.SERVICES),
      new ServeScenario(Axis.ROUTES),
      new ServeScenario(Axis.TENANTS),
      new ServeScenario(Axis.UPSTREAMS),
      new ServeScenario(Axis.PERCENT),
      new RequestPathScenario());

  private Scenarios() {}

  public static List<Scenario> all() {
    return ALL;
  }

  /** The scenario of a name; null for none. */
  public static Scenario of(String name) {
    return ALL.stream().filter(s -> s.name().equals(name)).findFirst().orElse(null);
  }

  public static List<String> names() {
    return ALL.stream().map(Scenario::name).toList();
  }
}
