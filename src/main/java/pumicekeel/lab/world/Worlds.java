package pumicekeel.lab.world;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The named worlds. Their figures are the middles of the ranges in the operators' requirements. */
public final class Worlds {

  private static final long MS = 1_000_000L;

  /** Prefix of the worlds that follow the scenarios of the standing test; their lists contain the upstreams' sizes. */
  private static final String MASS_PREFIX = "mass-";

  private static final Map<String, List<FaultSpec>> FAULTS = faults();

  private Worlds() {}

  private static Map<String, List<FaultSpec>> faults() {
    Map<String, List<FaultSpec>> faults = new LinkedHashMap<>();
    faults.put("calm", List.of());
    faults.put("burst", List.of(new FaultSpec.Burst(15, 30, 2)));
    faults.put("shrink", List.of(new FaultSpec.Shrink(12, 16, 0.45)));
    faults.put("rolling-restart", List.of(new FaultSpec.Restart(10, 18, 0.96, 0.3)));
    faults.put("rolling-deploy", List.of(new FaultSpec.Deploy(8, 30, 0.95, 0.18)));
    faults.put("quarter-crashed", List.of(new FaultSpec.Crash(15, 0.25, 15)));
    faults.put("fifth-slow", List.of(new FaultSpec.Slow(12, 0.2, 6, 20)));
    faults.put("zone-lost", List.of(new FaultSpec.ZoneOutage(15, 1, 20)));
    faults.put(
        "lists-late",
        List.of(new FaultSpec.ListDelay(0, 60, 6), new FaultSpec.Deploy(8, 30, 0.6, 0.18)));
    faults.put(
        "retry-storm",
        List.of(new FaultSpec.Burst(15, 25, 1.6), new FaultSpec.RetryStorm(0, 60, 3)));
    faults.put("balancers-crashed", List.of(new FaultSpec.BalancerCrash(15, 0.3, 8)));
    faults.put("failing", List.of(new FaultSpec.Failing(12, 0.15, 0.9, 20)));
    faults.put("mute", List.of(new FaultSpec.ResponseLoss(12, 0.15, 10)));
    faults.put(
        "crash-and-burst",
        List.of(new FaultSpec.Crash(15, 0.25, 15), new FaultSpec.Burst(18, 30, 1.5)));
    faults.put(
        "restart-and-slow",
        List.of(new FaultSpec.Restart(10, 18, 0.96, 0.3), new FaultSpec.Slow(12, 0.2, 6, 20)));
    faults.put("mass-calm", List.of(new FaultSpec.Burst(15, 25, 1.5)));
    faults.put(
        "mass-roll",
        List.of(
            new FaultSpec.Deploy(8, 20, 0.5, 0.1),
            new FaultSpec.Restart(8, 25, 1, 0.1),
            new FaultSpec.ResponseLoss(12, 0.05, 15)));
    faults.put(
        "mass-herd",
        List.of(
            new FaultSpec.ListDelay(10, 18, 8),
            new FaultSpec.Deploy(16, 15, 0.5, 0.1),
            new FaultSpec.BalancerCrash(20, 0.7, 3),
            new FaultSpec.Failing(12, 0.125, 0.9, 20)));
    faults.put(
        "mass-zone",
        List.of(new FaultSpec.ZoneOutage(15, 1, 5), new FaultSpec.Slow(12, 0.125, 6, 20)));
    faults.put(
        "mass-split",
        List.of(new FaultSpec.ResponseLoss(15, 0.2, 6), new FaultSpec.ListDelay(14, 22, 4)));
    faults.put("mass-join", List.of(new FaultSpec.Deploy(8, 7, 0.6, 0.02)));
    return faults;
  }

  /** Returns the names of all worlds. */
  public static List<String> names() {
    return List.copyOf(FAULTS.keySet());
  }

  /** Returns the named world at the given size, or null if there is no such world. */
  public static WorldSpec of(String name, int balancers, int servers) {
    List<FaultSpec> faults = FAULTS.get(name);
    if (faults == null) {
      return null;
    }
    int zones = name.equals("zone-lost") || name.equals("mass-zone") ? Math.min(3, servers) : 1;
    return new WorldSpec(
        name,
        balancers,
        servers,
        45,
        1.4,
        90,
        0.9,
        zones,
        2 * MS,
        2,
        2_000 * MS,
        2_000 * MS,
        0.7,
        0.5,
        name.startsWith(MASS_PREFIX),
        faults);
  }
}
