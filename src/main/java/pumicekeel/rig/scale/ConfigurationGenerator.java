package pumicekeel.rig.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntFunction;

/**
 * Writes operator files of a given size. The same size and seed give the same text on every machine, and a list of
 * changes on top of it differs from the text without them in exactly the lines of what changed.
 *
 * <p>Each service is a pool with its own source, host name, classes, tenants and routes; upstreams, tenants and routes
 * are spread evenly over the services. Routes are of all kinds (exact, prefix, template; some with a header, a fallback or a
 * split) and none covers another. Instances are immutable and may be shared between threads.
 */
public final class ConfigurationGenerator {

  /** How much a file holds in all. */
  public record Size(int pools, int routes, int tenants, int upstreams) {

    /** The configuration that the system has to carry: 3.5 MB of text. */
    public static final Size TARGET = new Size(220, 9_800, 35_000, 5_500);

    /** Checks that each pool can have at least one route and one upstream. */
    public Size {
      if (pools < 1 || routes < pools || tenants < 0 || upstreams < pools) {
        throw new IllegalArgumentException(
            "expected at least one pool, and a route and an upstream for each");
      }
    }

    /** This size divided by a whole number, with at least one pool. */
    public Size dividedBy(int divisor) {
      int fewer = Math.max(1, pools / divisor);
      return new Size(
          fewer,
          Math.max(fewer, routes / divisor),
          tenants / divisor,
          Math.max(fewer, upstreams / divisor));
    }
  }

  /** One change of a configuration, as an operator makes it. */
  public sealed interface Change permits TenantQuota, RoutePool, PoolAttempts {}

  /** A tenant may send so many requests a second from now on. */
  public record TenantQuota(int tenant, int quotaPerSecond) implements Change {}

  /** A route goes to another pool from now on. */
  public record RoutePool(int route, int pool) implements Change {}

  /** Requests of a pool are tried at most so many times from now on. */
  public record PoolAttempts(int pool, int maxAttempts) implements Change {}

  /** Nine changes in ten are of a tenant's quota, most of the rest of a route. */
  private static final double TENANT_CHANGES = 0.9;

  private static final double ROUTE_CHANGES = 0.08;

  private static final int MOST_QUOTA = 50;
  private static final int DEFAULT_ATTEMPTS = 3;
  private static final int ZONES = 5;
  /** Of so many routes one has a header condition, a fallback or a split. */
  private static final int HEADER_EVERY = 8;

  private static final int FALLBACK_EVERY = 10;
  private static final int SPLIT_EVERY = 16;

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

  /** Static sources whose upstreams are loopback addresses at which nothing listens. */
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

  /** The same with the upstreams at the addresses ({@code ADDRESS:PORT}) that a function of their number names. */
  public ConfigurationGenerator withUpstreams(IntFunction<String> address) {
    return new ConfigurationGenerator(size, seed, address, null);
  }

  /** The same with sources that follow the discovery ({@code ADDRESS:PORT}) that a function of the pool's number names. */
  public ConfigurationGenerator withDiscoveries(IntFunction<String> address) {
    return new ConfigurationGenerator(size, seed, upstreamAddress, address);
  }

  /** What it was made for. */
  public Size size() {
    return size;
  }

  private static String unusedAddress(int upstream) {
    return "127." + (64 + (upstream >> 16)) + "." + (upstream >> 8 & 255) + "." + (upstream & 255)
        + ":9000";
  }

  // Names, for those who send requests

  /** A pool's name; its source has the same. */
  public static String poolName(int pool) {
    return String.format(Locale.ROOT, "service-%03d", pool);
  }

  /** A tenant's name. */
  public static String tenantName(int tenant) {
    return String.format(Locale.ROOT, "tenant-%05d", tenant);
  }

  /** An upstream's name. */
  public static String upstreamName(int upstream) {
    return String.format(Locale.ROOT, "upstream-%05d", upstream);
  }

  /** The pool that a tenant is one of. */
  public int poolOfTenant(int tenant) {
    return tenant % size.pools();
  }

  /** The pool that an upstream serves. */
  public int poolOfUpstream(int upstream) {
    return upstream % size.pools();
  }

  /** The pool that a route sends to, before any change. */
  public int poolOfRoute(int route) {
    return route % size.pools();
  }

  /** The host that a request for a route names. */
  public String host(int route) {
    return poolName(poolOfRoute(route)) + ".example.org";
  }

  /** The class of a route's requests, the first segment of its path. */
  public String className(int route) {
    return CLASSES[kind(route)];
  }

  /** A path that a route takes. */
  public String path(int route) {
    return "/" + className(route) + "/r" + route + (kind(route) == 0 ? "" : "/17");
  }

  /** A header that a route's requests need as {@code NAME: VALUE}; null where they need none. */
  public String header(int route) {
    return turn(route) % HEADER_EVERY == HEADER_EVERY - 1 ? "X-Preview: 1" : null;
  }

  /** Of the three kinds of path: exact, prefix, template. */
  private int kind(int route) {
    return turn(route) % CLASSES.length;
  }

  /** A route's number among its pool's. */
  private int turn(int route) {
    return route / size.pools();
  }

  // Text

  /** The file, without changes. */
  public String text() {
    return text(List.of());
  }

  /** The file after changes; of several changes of one thing the last counts. */
  public String text(List<Change> changes) {
    Map<Integer, Integer> quotas = new HashMap<>();
    Map<Integer, Integer> routePools = new HashMap<>();
    Map<Integer, Integer> attempts = new HashMap<>();
    for (Change change : changes) {
      if (change instanceof TenantQuota c) {
        quotas.put(c.tenant(), c.quotaPerSecond());
      } else if (change instanceof RoutePool c) {
        routePools.put(c.route(), c.pool());
      } else if (change instanceof PoolAttempts c) {
        attempts.put(c.pool(), c.maxAttempts());
      }
    }
    StringBuilder out = new StringBuilder();
    for (int pool = 0; pool < size.pools(); pool++) {
      source(out, pool);
      pool(out, pool, attempts.getOrDefault(pool, DEFAULT_ATTEMPTS), quotas);
    }
    for (int route = 0; route < size.routes(); route++) {
      route(out, route, routePools.getOrDefault(route, poolOfRoute(route)));
    }
    return out.toString();
  }

  /** So many changes by the seed, in order; each sets something to a value that differs from the text without changes. */
  public List<Change> changes(int count) {
    SplittableRandom random = random(0, 0);
    List<Change> out = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      out.add(change(random));
    }
    return out;
  }

  private Change change(SplittableRandom random) {
    double kind = random.nextDouble();
    if (kind < TENANT_CHANGES && size.tenants() > 0) {
      return new TenantQuota(
          random.nextInt(size.tenants()), MOST_QUOTA + 1 + random.nextInt(MOST_QUOTA));
    }
    if (kind < TENANT_CHANGES + ROUTE_CHANGES && size.pools() > 2) {
      int route = random.nextInt(size.routes());
      // Not the next pool either: that may be the route's fallback already.
      int steps = 2 + random.nextInt(size.pools() - 2);
      return new RoutePool(route, (poolOfRoute(route) + steps) % size.pools());
    }
    return new PoolAttempts(
        random.nextInt(size.pools()), DEFAULT_ATTEMPTS + 1 + random.nextInt(DEFAULT_ATTEMPTS));
  }

  private void source(StringBuilder out, int pool) {
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

  private void pool(StringBuilder out, int pool, int maxAttempts, Map<Integer, Integer> quotas) {
    String name = poolName(pool);
    out.append("[pools.").append(name).append("]\nsource = \"").append(name).append("\"\n");
    out.append("limits = { max-attempts = ").append(maxAttempts).append(" }\n");
    out.append(CLASS_LINES);
    if (pool < size.tenants()) {
      out.append("tenants = [\n");
      for (int tenant = pool; tenant < size.tenants(); tenant += size.pools()) {
        int before = 1 + random(1, tenant).nextInt(MOST_QUOTA);
        out.append("  { name = \"").append(tenantName(tenant)).append("\", quota-per-s = ");
        out.append(quotas.getOrDefault(tenant, before)).append(".0 },\n");
      }
      out.append("]\n");
    }
    out.append('\n');
  }

  private void route(StringBuilder out, int route, int pool) {
    String base = "/" + className(route) + "/r" + route;
    out.append("[[routes]]\nname = \"route-").append(route).append("\"\nhost = \"");
    out.append(host(route)).append("\"\n");
    out.append(
        switch (kind(route)) {
          case 0 -> "path = \"" + base + "\"\n";
          case 1 -> "path-prefix = \"" + base + "\"\n";
          default -> "path-template = \"" + base + "/{id}\"\n";
        });
    if (header(route) != null) {
      out.append("headers = { X-Preview = \"1\" }\n");
    }
    int next = (poolOfRoute(route) + 1) % size.pools();
    boolean splits = turn(route) % SPLIT_EVERY == SPLIT_EVERY - 1 && next != pool;
    boolean fallsBack = turn(route) % FALLBACK_EVERY == FALLBACK_EVERY - 1 && next != pool;
    if (splits) {
      out.append("split = [ { pool = \"").append(poolName(pool)).append("\", weight = 90 }, ");
      out.append("{ pool = \"").append(poolName(next)).append("\", weight = 10 } ]\n");
    } else {
      out.append("pool = \"").append(poolName(pool)).append("\"\n");
    }
    if (fallsBack && !splits) {
      out.append("fallback = \"").append(poolName(next)).append("\"\n");
    }
    out.append('\n');
  }

  /** Of its own for each thing, so that a file's parts do not depend on the size of the others. */
  private SplittableRandom random(int what, int number) {
    return new SplittableRandom(seed ^ ((long) what << 32 | number) * 0x9e3779b97f4a7c15L);
  }
}
