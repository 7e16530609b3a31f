package pumicekeel.lab.world;

import java.util.List;

/**
 * The parameters of a world without its seed.
 *
 * @param load work that clients request, relative to what the upstreams can do if they remember no session keys
 * @param keysPerServer number of distinct session keys per upstream
 * @param keySkew exponent of Zipf's law by which session keys are drawn
 * @param zones number of data centres over which upstreams and balancers are spread
 * @param crossZoneNanos additional one-way latency to another zone
 * @param cellSize number of upstreams that drop each other's repeats
 * @param maxListDelayNanos maximum delay of a list update
 * @param maxFrontDelayNanos maximum time for which the front layer sends to a crashed balancer
 * @param retryShare share of requests whose client retries once after a failure or a refusal
 * @param honorRetryAfterShare share of clients that wait for the time given in Retry-After
 * @param weightedLists whether lists contain each upstream's approximate size
 */
public record WorldSpec(
    String name,
    int balancers,
    int servers,
    double seconds,
    double load,
    double keysPerServer,
    double keySkew,
    int zones,
    long crossZoneNanos,
    int cellSize,
    long maxListDelayNanos,
    long maxFrontDelayNanos,
    double retryShare,
    double honorRetryAfterShare,
    boolean weightedLists,
    List<FaultSpec> faults) {

  /** Maximum number of balancers. */
  public static final int MAX_BALANCERS = 1_000;
  /** Maximum number of upstreams. */
  public static final int MAX_SERVERS = 20_000;

  /** Checks the ranges of the parameters. */
  public WorldSpec {
    faults = List.copyOf(faults);
    check(
        balancers >= 1 && balancers <= MAX_BALANCERS,
        "balancers",
        "1 to " + MAX_BALANCERS,
        balancers);
    check(servers >= 1 && servers <= MAX_SERVERS, "servers", "1 to " + MAX_SERVERS, servers);
    check(seconds > 0 && seconds <= 3_600, "seconds", "above 0 and at most 3600", seconds);
    check(load > 0 && load <= 100, "load", "above 0 and at most 100", load);
    check(keysPerServer >= 0, "keys-per-server", "0 or more", keysPerServer);
    check(zones >= 1 && zones <= servers, "zones", "1 to the number of servers", zones);
    check(retryShare >= 0 && retryShare <= 1, "retry-part", "0 to 1", retryShare);
    check(
        honorRetryAfterShare >= 0 && honorRetryAfterShare <= 1,
        "follow-part",
        "0 to 1",
        honorRetryAfterShare);
  }

  private static void check(boolean holds, String key, String expected, Object got) {
    if (!holds) {
      throw new IllegalArgumentException(key + ": expected " + expected + ", got " + got);
    }
  }

  /** Returns this world at another size. */
  public WorldSpec withSize(int newBalancers, int newServers) {
    return new WorldSpec(
        name,
        newBalancers,
        newServers,
        seconds,
        load,
        keysPerServer,
        keySkew,
        Math.min(zones, newServers),
        crossZoneNanos,
        cellSize,
        maxListDelayNanos,
        maxFrontDelayNanos,
        retryShare,
        honorRetryAfterShare,
        weightedLists,
        faults);
  }

  /** Returns this world with another duration. */
  public WorldSpec withSeconds(double newSeconds) {
    return new WorldSpec(
        name,
        balancers,
        servers,
        newSeconds,
        load,
        keysPerServer,
        keySkew,
        zones,
        crossZoneNanos,
        cellSize,
        maxListDelayNanos,
        maxFrontDelayNanos,
        retryShare,
        honorRetryAfterShare,
        weightedLists,
        faults);
  }

  /** Returns this world with other faults. */
  public WorldSpec withFaults(List<FaultSpec> newFaults) {
    return new WorldSpec(
        name,
        balancers,
        servers,
        seconds,
        load,
        keysPerServer,
        keySkew,
        zones,
        crossZoneNanos,
        cellSize,
        maxListDelayNanos,
        maxFrontDelayNanos,
        retryShare,
        honorRetryAfterShare,
        weightedLists,
        newFaults);
  }

  /**
   * Returns this world with one parameter changed.
   *
   * @param key one of {@link #SWEEPABLE}
   * @throws IllegalArgumentException for another key or a value out of range; its message says what is expected
   */
  public WorldSpec with(String key, double value) {
    return switch (key) {
      case "load" ->
        withSweepable(value, keysPerServer, maxListDelayNanos, retryShare, honorRetryAfterShare);
      case "keys-per-server" ->
        withSweepable(load, value, maxListDelayNanos, retryShare, honorRetryAfterShare);
      case "list-late-s" ->
        withSweepable(load, keysPerServer, (long) (value * 1e9), retryShare, honorRetryAfterShare);
      case "retry-part" ->
        withSweepable(load, keysPerServer, maxListDelayNanos, value, honorRetryAfterShare);
      case "follow-part" ->
        withSweepable(load, keysPerServer, maxListDelayNanos, retryShare, value);
      default -> throw new IllegalArgumentException(key + ": expected one of " + SWEEPABLE);
    };
  }

  private WorldSpec withSweepable(
      double newLoad,
      double newKeysPerServer,
      long newMaxListDelayNanos,
      double newRetryShare,
      double newHonorRetryAfterShare) {
    return new WorldSpec(
        name,
        balancers,
        servers,
        seconds,
        newLoad,
        newKeysPerServer,
        keySkew,
        zones,
        crossZoneNanos,
        cellSize,
        newMaxListDelayNanos,
        maxFrontDelayNanos,
        newRetryShare,
        newHonorRetryAfterShare,
        weightedLists,
        faults);
  }

  /** Names of the parameters that an experiment can sweep. */
  public static final List<String> SWEEPABLE =
      List.of("load", "keys-per-server", "list-late-s", "retry-part", "follow-part");
}
