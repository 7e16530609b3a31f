package pumicekeel.lab.world;

import java.util.List;

/**
 * A world without its seed.
 *
 * @param load what clients ask for, as a part of what the upstreams could do if no key were ever remembered
 * @param keysPerServer distinct keys for each upstream; {@code keySkew} is the exponent of Zipf's law
 * @param zones data centres over which upstreams and balancers are spread; a way to another costs {@code zoneNanos}
 * @param cellSize upstreams that drop each other's repeats
 * @param listNanos how late news of the list are at most
 * @param frontNanos how long the front layer goes on sending to a dead balancer
 * @param retryPart clients that ask once more after a failure or a refusal
 * @param followPart those among them that wait as long as they were told
 * @param weighed whether lists tell each upstream's size, roughly
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
    long zoneNanos,
    int cellSize,
    long listNanos,
    long frontNanos,
    double retryPart,
    double followPart,
    boolean weighed,
    List<FaultSpec> faults) {

  public static final int MOST_BALANCERS = 1_000;
  public static final int MOST_SERVERS = 20_000;

  public WorldSpec {
    faults = List.copyOf(faults);
    check(
        balancers >= 1 && balancers <= MOST_BALANCERS,
        "balancers",
        "1 to " + MOST_BALANCERS,
        balancers);
    check(servers >= 1 && servers <= MOST_SERVERS, "servers", "1 to " + MOST_SERVERS, servers);
    check(seconds > 0 && seconds <= 3_600, "seconds", "above 0 and at most 3600", seconds);
    check(load > 0 && load <= 100, "load", "above 0 and at most 100", load);
    check(keysPerServer >= 0, "keys-per-server", "0 or more", keysPerServer);
    check(zones >= 1 && zones <= servers, "zones", "1 to the number of servers", zones);
    check(retryPart >= 0 && retryPart <= 1, "retry-part", "0 to 1", retryPart);
    check(followPart >= 0 && followPart <= 1, "follow-part", "0 to 1", followPart);
  }

  private static void check(boolean holds, String key, String expected, Object got) {
    if (!holds) {
      throw new IllegalArgumentException(key + ": expected " + expected + ", got " + got);
    }
  }

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
        zoneNanos,
        cellSize,
        listNanos,
        frontNanos,
        retryPart,
        followPart,
        weighed,
        faults);
  }

  public WorldSpec withSeconds(double next) {
    return new WorldSpec(
        name,
        balancers,
        servers,
        next,
        load,
        keysPerServer,
        keySkew,
        zones,
        zoneNanos,
        cellSize,
        listNanos,
        frontNanos,
        retryPart,
        followPart,
        weighed,
        faults);
  }

  public WorldSpec withFaults(List<FaultSpec> next) {
    return new WorldSpec(
        name,
        balancers,
        servers,
        seconds,
        load,
        keysPerServer,
        keySkew,
        zones,
        zoneNanos,
        cellSize,
        listNanos,
        frontNanos,
        retryPart,
        followPart,
        weighed,
        next);
  }

  /**
   * This world with one figure changed.
   *
   * @param key one of {@link #SWEPT}
   * @throws IllegalArgumentException naming what is expected, for another key or a value out of range
   */
  public WorldSpec with(String key, double value) {
    return switch (key) {
      case "load" -> withSwept(value, keysPerServer, listNanos, retryPart, followPart);
      case "keys-per-server" -> withSwept(load, value, listNanos, retryPart, followPart);
      case "list-late-s" ->
        withSwept(load, keysPerServer, (long) (value * 1e9), retryPart, followPart);
      case "retry-part" -> withSwept(load, keysPerServer, listNanos, value, followPart);
      case "follow-part" -> withSwept(load, keysPerServer, listNanos, retryPart, value);
      default -> throw new IllegalArgumentException(key + ": expected one of " + SWEPT);
    };
  }

  private WorldSpec withSwept(
      double newLoad,
      double newKeysPerServer,
      long newListNanos,
      double newRetryPart,
      double newFollowPart) {
    return new WorldSpec(
        name,
        balancers,
        servers,
        seconds,
        newLoad,
        newKeysPerServer,
        keySkew,
        zones,
        zoneNanos,
        cellSize,
        newListNanos,
        frontNanos,
        newRetryPart,
        newFollowPart,
        weighed,
        faults);
  }

  /** What can be swept. */
  public static final List<String> SWEPT =
      List.of("load", "keys-per-server", "list-late-s", "retry-part", "follow-part");
}
