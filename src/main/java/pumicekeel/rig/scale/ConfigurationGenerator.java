package pumicekeel.rig.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntFunction;

/**
 * Generates operator files of a given size. The same size and seed produce the same text on every machine, and changes
 * applied to it alter only the lines of what they change.
 *
 * <p>Each service is a pool with its own source, host name, classes, tenants and routes; upstreams, tenants and routes
 * are distributed evenly over the services. All kinds of routes are generated (exact, prefix, template; some with a header
 * condition, a fallback pool or a split), and no route covers another. Instances are immutable and thread-safe.
 */
public final class ConfigurationGenerator {

  /** Total numbers of pools, routes, tenants and upstreams in a file. */
  public record Size(int pools, int routes, int tenants, int upstreams) {

    /** The configuration that the system has to support: 3.5 MB of text. */
    public static final Size TARGET = new Size(220, 9_800, 35_000, 5_500);

    /** Checks that each pool can have at least one route and one upstream. */
    public Size {
      if (pools < 1 || routes < pools || tenants < 0 || upstreams < pools) {
        throw new IllegalArgumentException(
            "expected at least one pool, and at least one route and one upstream per pool");
      }
    }

    /** Returns this size divided by an integer, with at least one pool, and one route and one upstream per pool. */
    public Size dividedBy(int divisor) {
      int dividedPools = Math.max(1, pools / divisor);
      return new Size(
          dividedPools,
          Math.max(dividedPools, routes / divisor),
          tenants / divisor,
          Math.max(dividedPools, upstreams / divisor));
    }
  }

  /** One change that an operator makes to a configuration. */
  public sealed interface Change permits TenantQuota, RoutePool, PoolAttempts {}

  /** Sets a tenant's quota, in requests per second. */
  public record TenantQuota(int tenant, int quotaPerSecond) implements Change {}

  /** Sends the requests of a route to another pool. */
  public record RoutePool(int route, int pool) implements Change {}

  /** Sets the maximum number of attempts per request of a pool. */
  public record PoolAttempts(int pool, int maxAttempts) implements Change {}

  /** Nine changes out of ten set a tenant's quota, most of the others a route's pool. */
  private static final double TENANT_CHANGE_FRACTION = 0.9;

  private static final double ROUTE_CHANGE_FRACTION = 0.08;

  /** Largest quota of a file without changes; changes set larger ones. */
  private static final int MAX_QUOTA_PER_SECOND = 50;

  private static final int DEFAULT_MAX_ATTEMPTS = 3;
  private static final int ZONES = 5;
  /** In each pool, every eighth route has a header condition, every sixteenth a split, every tenth a fallback pool unless split. */
  private static final int HEADER_INTERVAL = 8;

  private static final int FALLBACK_INTERVAL = 10;
  private static final int SPLIT_INTERVAL = 16;

  private static final String[] CLASSES = {"lookup", "order", "charge"};
  private static final String CLASS_LINES = """
      classes = [
        { name = "lookup", effect = "safe", aim-ms = 200, deadline-ms = 600, worth = 1.0 },
        { name = "order", effect = "keyed", dedup-scope = "cell", dedup-window-ms = 4000, aim-ms = 500, deadline-ms = 1500 },
        { name = "charge", effect = "unsafe", aim-ms = 500, deadline-ms = 2000 },
      ]
      """;

  private final Size size;
  private final long seed;
  private final IntFunction<String> upstreamAddress;
  private final IntFunction<String> discoveryAddress;

  /** Creates a generator of static sources whose upstreams are loopback addresses on which nothing listens. */
  public ConfigurationGenerator(Size size, long seed) {
    this(size, seed, ConfigurationGenerator::unusedAddress, null);
  }

  private ConfigurationGenerator(
      Size size,
      long seed,
      IntFunction<String> upstreamAddress,
      IntFunction<String> discoveryAddress) {
    this.size = size;
    this.seed = seed;
    this.upstreamAddress = upstreamAddress;
    this.discoveryAddress = discoveryAddress;
  }

  /** Returns a copy whose upstreams have the addresses ({@code ADDRESS:PORT}) that a function returns for their numbers. */
  public ConfigurationGenerator withUpstreams(IntFunction<String> address) {
    return new ConfigurationGenerator(size, seed, address, null);
  }

  /** Returns a copy whose sources watch the discovery at the address ({@code ADDRESS:PORT}) that a function returns for the pool. */
  public ConfigurationGenerator withDiscoveries(IntFunction<String> address) {
    return new ConfigurationGenerator(size, seed, upstreamAddress, address);
  }

  /** Returns the size of the generated files. */
  public Size size() {
    return size;
  }

  private static String unusedAddress(int upstream) {
    return "127." + (64 + (upstream >> 16)) + "." + (upstream >> 8 & 255) + "." + (upstream & 255)
        + ":9000";
  }

  // Names, hosts and paths, for senders of requests

  /** Returns the name of a pool, which its source shares. */
  public static String poolName(int pool) {
    return String.format(Locale.ROOT, "service-%03d", pool);
  }

  /** Returns the name of a tenant. */
  public static String tenantName(int tenant) {
    return String.format(Locale.ROOT, "tenant-%05d", tenant);
  }

  /** Returns the name of an upstream. */
  public static String upstreamName(int upstream) {
    return String.format(Locale.ROOT, "upstream-%05d", upstream);
  }

  /** Returns the pool that a tenant belongs to. */
  public int poolOfTenant(int tenant) {
    return tenant % size.pools();
  }

  /** Returns the pool that an upstream belongs to. */
  public int poolOfUpstream(int upstream) {
    return upstream % size.pools();
  }

  /** Returns the pool that a route selects if no change has been applied. */
  public int poolOfRoute(int route) {
    return route % size.pools();
  }

  /** Returns the host that a request must name to match a route. */
  public String host(int route) {
    return poolName(poolOfRoute(route)) + ".example.org";
  }

  /** Returns the class of a route's requests, which is the first segment of its path. */
  public String className(int route) {
    return CLASSES[pathKind(route)];
  }

  /** Returns a path that a route matches. */
  public String path(int route) {
    return "/" + className(route) + "/r" + route + (pathKind(route) == 0 ? "" : "/17");
  }

  /** Returns the header that a route requires as {@code NAME: VALUE}, or null if it requires none. */
  public String header(int route) {
    return indexInPool(route) % HEADER_INTERVAL == HEADER_INTERVAL - 1 ? "X-Preview: 1" : null;
  }

  /** Returns the kind of a route's path: 0 for exact, 1 for prefix, 2 for template. */
  private int pathKind(int route) {
    return indexInPool(route) % CLASSES.length;
  }

  /** Returns the index of a route among the routes of its pool. */
  private int indexInPool(int route) {
    return route / size.pools();
  }

  // Text of the file

  /** Returns the file without changes. */
  public String text() {
    return text(List.of());
  }

  /** Returns the file after changes; of several changes to the same value, the last applies. */
  public String text(List<Change> changes) {
    Map<Integer, Integer> quotaByTenant = new HashMap<>();
    Map<Integer, Integer> poolByRoute = new HashMap<>();
    Map<Integer, Integer> maxAttemptsByPool = new HashMap<>();
    for (Change change : changes) {
      if (change instanceof TenantQuota quota) {
        quotaByTenant.put(quota.tenant(), quota.quotaPerSecond());
      } else if (change instanceof RoutePool target) {
        poolByRoute.put(target.route(), target.pool());
      } else if (change instanceof PoolAttempts limit) {
        maxAttemptsByPool.put(limit.pool(), limit.maxAttempts());
      }
    }
    StringBuilder file = new StringBuilder();
    for (int pool = 0; pool < size.pools(); pool++) {
      appendSource(file, pool);
      appendPool(
          file, pool, maxAttemptsByPool.getOrDefault(pool, DEFAULT_MAX_ATTEMPTS), quotaByTenant);
    }
    for (int route = 0; route < size.routes(); route++) {
      appendRoute(file, route, poolByRoute.getOrDefault(route, poolOfRoute(route)));
    }
    return file.toString();
  }

  /** Returns a sequence of changes determined by the seed; each sets a value that differs from the file without changes. */
  public List<Change> changes(int count) {
    SplittableRandom random = random(0, 0);
    List<Change> changes = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      changes.add(change(random));
    }
    return changes;
  }

  private Change change(SplittableRandom random) {
    double draw = random.nextDouble();
    if (draw < TENANT_CHANGE_FRACTION && size.tenants() > 0) {
      return new TenantQuota(
          random.nextInt(size.tenants()),
          MAX_QUOTA_PER_SECOND + 1 + random.nextInt(MAX_QUOTA_PER_SECOND));
    }
    if (draw < TENANT_CHANGE_FRACTION + ROUTE_CHANGE_FRACTION && size.pools() > 2) {
      int route = random.nextInt(size.routes());
      // At least 2: the next pool may already be the route's fallback pool or split target.
      int offset = 2 + random.nextInt(size.pools() - 2);
      return new RoutePool(route, (poolOfRoute(route) + offset) % size.pools());
    }
    return new PoolAttempts(
        random.nextInt(size.pools()),
        DEFAULT_MAX_ATTEMPTS + 1 + random.nextInt(DEFAULT_MAX_ATTEMPTS));
  }

  private void appendSource(StringBuilder out, int pool) {
    out.append("[sources.").append(poolName(pool)).append("]\n");
    if (discoveryAddress != null) {
      out.append("discovery = \"").append(discoveryAddress.apply(pool)).append("\"\n\n");
      return;
    }
    out.append("static = [\n");
    for (int upstream = pool; upstream < size.upstreams(); upstream += size.pools()) {
      out.append("  { name = \"").append(upstreamName(upstream)).append("\", address = \"");
      out.append(upstreamAddress.apply(upstream)).append("\", zone = \"zone-");
      out.append(upstream / size.pools() % ZONES).append("\", group = ").append(pool);
      out.append(" },\n");
    }
    out.append("]\n\n");
  }

  private void appendPool(
      StringBuilder out, int pool, int maxAttempts, Map<Integer, Integer> quotaByTenant) {
    String name = poolName(pool);
    out.append("[pools.").append(name).append("]\nsource = \"").append(name).append("\"\n");
    out.append("limits = { max-attempts = ").append(maxAttempts).append(" }\n");
    out.append(CLASS_LINES);
    if (pool < size.tenants()) {
      out.append("tenants = [\n");
      for (int tenant = pool; tenant < size.tenants(); tenant += size.pools()) {
        int defaultQuota = 1 + random(1, tenant).nextInt(MAX_QUOTA_PER_SECOND);
        out.append("  { name = \"").append(tenantName(tenant)).append("\", quota-per-s = ");
        out.append(quotaByTenant.getOrDefault(tenant, defaultQuota)).append(".0 },\n");
      }
      out.append("]\n");
    }
    out.append('\n');
  }

  private void appendRoute(StringBuilder out, int route, int pool) {
    String basePath = "/" + className(route) + "/r" + route;
    out.append("[[routes]]\nname = \"route-").append(route).append("\"\nhost = \"");
    out.append(host(route)).append("\"\n");
    out.append(
        switch (pathKind(route)) {
          case 0 -> "path = \"" + basePath + "\"\n";
          case 1 -> "path-prefix = \"" + basePath + "\"\n";
          default -> "path-template = \"" + basePath + "/{id}\"\n";
        });
    if (header(route) != null) {
      out.append("headers = { X-Preview = \"1\" }\n");
    }
    int nextPool = (poolOfRoute(route) + 1) % size.pools();
    boolean hasSplit =
        indexInPool(route) % SPLIT_INTERVAL == SPLIT_INTERVAL - 1 && nextPool != pool;
    boolean hasFallback =
        indexInPool(route) % FALLBACK_INTERVAL == FALLBACK_INTERVAL - 1 && nextPool != pool;
    if (hasSplit) {
      out.append("split = [ { pool = \"").append(poolName(pool)).append("\", weight = 90 }, ");
      out.append("{ pool = \"").append(poolName(nextPool)).append("\", weight = 10 } ]\n");
    } else {
      out.append("pool = \"").append(poolName(pool)).append("\"\n");
    }
    if (hasFallback && !hasSplit) {
      out.append("fallback = \"").append(poolName(nextPool)).append("\"\n");
    }
    out.append('\n');
  }

  /** Returns a separate random generator for each object, so that each part of a file is independent of the sizes of the others. */
  private SplittableRandom random(int stream, int number) {
    return new SplittableRandom(seed ^ ((long) stream << 32 | number) * 0x9e3779b97f4a7c15L);
  }
}
