package pumicekeel.rig.scale;

import java.util.List;

/** The scenarios that can be run. */
public final class Scenarios {

  /** Number of balancers that watch a list of growing length; enough for a stable mean. */
  private static final int WATCHERS = 20;
  /** Length of the list that a growing number of balancers watch. */
  private static final int LISTED_UPSTREAMS = 500;

  /** Percentage of the target configuration that is delivered; earlier builds support this size too. */
  private static final int QUARTER_PERCENT = 25;

  /** Percentage of the target configuration that is delivered: all of it. */
  private static final int FULL_PERCENT = 100;

  private static final List<Scenario> ALL = List.of(
      new MembershipScenario(),
      new QuotaScenario(),
      ListWatchScenario.byUpstreams(WATCHERS),
      ListWatchScenario.byBalancers(LISTED_UPSTREAMS),
      new ConfigurationScenario(Axis.SERVICES),
      new ConfigurationScenario(Axis.ROUTES),
      new ConfigurationScenario(Axis.TENANTS),
      new ConfigurationScenario(Axis.UPSTREAMS),
      new ConfigurationScenario(Axis.PERCENT),
      new DeliveryScenario(QUARTER_PERCENT),
      new DeliveryScenario(FULL_PERCENT),
      new CheckScenario(),
      new ServeScenario(Axis.SERVICES),
      new ServeScenario(Axis.ROUTES),
      new ServeScenario(Axis.TENANTS),
      new ServeScenario(Axis.UPSTREAMS),
      new ServeScenario(Axis.PERCENT),
      new RequestPathScenario());

  private Scenarios() {}

  /** Returns all scenarios. */
  public static List<Scenario> all() {
    return ALL;
  }

  /** Returns the scenario with the given name, or null if there is none. */
  public static Scenario of(String name) {
    return ALL.stream()
        .filter(scenario -> scenario.name().equals(name))
        .findFirst()
        .orElse(null);
  }

  /** Returns the names of all scenarios. */
  public static List<String> names() {
    return ALL.stream().map(Scenario::name).toList();
  }
}
