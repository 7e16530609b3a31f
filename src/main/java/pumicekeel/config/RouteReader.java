package pumicekeel.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.config.OperatorConfiguration.Pool;
import pumicekeel.route.HostName;
import pumicekeel.route.PathPattern;
import pumicekeel.route.Route;
import pumicekeel.route.RouteTable;
import pumicekeel.route.Split;

/** Reads the routes of an operator file and reports those that can never match. */
final class RouteReader {

  private static final int MAX_HOSTS = 100;
  private static final int MAX_HEADERS = 16;
  private static final int MAX_PARTS = 64;
  /** Name of the route that default-pool creates. */
  static final String DEFAULT_ROUTE_NAME = "default";

  private final Map<String, Pool> pools;
  private final Set<String> listeners;
  private final List<Fault> faults;

  RouteReader(Map<String, Pool> pools, Set<String> listeners, List<Fault> faults) {
    this.pools = pools;
    this.listeners = new HashSet<>(listeners);
    this.listeners.add(OperatorConfiguration.PLATFORM);
    this.faults = faults;
  }

  List<Route> routes(Section root, String defaultPool) {
    List<Section> entries = root.tables("routes");
    if (entries.size() > OperatorReader.MAX_ROUTES) {
      root.addFault(
          "routes", "expected at most " + OperatorReader.MAX_ROUTES + ", got " + entries.size());
      return List.of();
    }
    if (entries.isEmpty() && defaultPool == null) {
      root.addFault("routes", "expected at least one route, or a default-pool");
    }
    List<Route> routes = new ArrayList<>();
    Set<String> names = new HashSet<>();
    int before = faults.size();
    for (Section s : entries) {
      Route route = route(s, routes.size());
      if (!names.add(route.name())) {
        s.addFault("name", "expected a name of its own, \"" + route.name() + "\" is taken");
      }
      routes.add(route);
    }
    if (faults.size() == before) {
      checkReachability(routes, entries);
    }
    if (defaultPool != null) {
      routes.add(new Route(
          routes.size(),
          DEFAULT_ROUTE_NAME,
          null,
          List.of(),
          PathPattern.ANY,
          null,
          null,
          Map.of(),
          Split.to(defaultPool),
          null));
    }
    return routes;
  }

  private void checkReachability(List<Route> routes, List<Section> entries) {
    for (RouteTable.Covered c : new RouteTable(routes).covered()) {
      entries
          .get(c.route().order())
          .addFault(
              "name",
              "expected a route that can match, \"" + c.route().name()
                  + "\" never does: \"" + c.by().name() + "\" on line "
                  + entries.get(c.by().order()).line()
                  + " takes all that it would");
    }
  }

  private Route route(Section s, int order) {
    String name = s.text("name", "route-" + (order + 1));
    String listener = s.text("listener", null);
    if (listener != null && !listeners.contains(listener)) {
      s.addFault(
          "listener", "expected a listener of this file or \"platform\", got \"" + listener + "\"");
    }
    List<String> hosts = hosts(s);
    PathPattern path = path(s);
    String className = s.text("class", null);
    String method = s.choice("method", Map.of("GET", "GET", "POST", "POST"));
    Map<String, String> headers = headers(s);
    Split split = split(s);
    String fallback = s.text("fallback", null);
    s.reportUnknownKeys();
    if (fallback != null && !pools.containsKey(fallback)) {
      s.addFault("fallback", "expected a pool of this file, got \"" + fallback + "\"");
    } else if (fallback != null
        && split.parts().stream().anyMatch(p -> p.pool().equals(fallback))) {
      s.addFault("fallback", "expected another pool than the route's own");
    }
    checkConsistency(s, path, className, method, split);
    return new Route(
        order, name, listener, hosts, path, className, method, headers, split, fallback);
  }

  private static List<String> hosts(Section s) {
    List<String> out = new ArrayList<>();
    List<String> texts = s.textList("host");
    if (texts != null && texts.size() > MAX_HOSTS) {
      s.addFault("host", "expected at most " + MAX_HOSTS + ", got " + texts.size());
    }
    for (String text : texts == null ? List.<String>of() : texts) {
      boolean suffix = text.startsWith("*.");
      String host = HostName.of(suffix ? text.substring(2) : text);
      if (host == null || text.matches(".*:\\d*") && !text.startsWith("[")) {
        s.addFault(
            "host", "expected a host without a port, or *. and a suffix, got \"" + text + "\"");
      } else {
        out.add(suffix ? "*." + host : host);
      }
    }
    return out;
  }

  private static PathPattern path(Section s) {
    Map<String, PathPattern.Kind> kinds = new LinkedHashMap<>();
    kinds.put("path", PathPattern.Kind.EXACT);
    kinds.put("path-prefix", PathPattern.Kind.PREFIX);
    kinds.put("path-template", PathPattern.Kind.TEMPLATE);
    PathPattern found = null;
    for (Map.Entry<String, PathPattern.Kind> kind : kinds.entrySet()) {
      String text = s.text(kind.getKey(), null);
      if (text != null && found != null) {
        s.addFault(kind.getKey(), "expected one of path, path-prefix and path-template, got more");
      } else if (text != null) {
        try {
          found = PathPattern.of(kind.getValue(), text);
        } catch (IllegalArgumentException e) {
          s.addFault(kind.getKey(), "expected " + e.getMessage() + ", got \"" + text + "\"");
        }
      }
    }
    return found == null ? PathPattern.ANY : found;
  }

  private static Map<String, String> headers(Section s) {
    Map<String, String> out = new LinkedHashMap<>();
    s.textTable("headers").forEach((name, value) -> {
      if (!name.matches("[A-Za-z0-9-]+")) {
        s.addFault("headers", "expected names of letters, digits and -, got \"" + name + "\"");
      }
      out.put(name.toLowerCase(Locale.ROOT), value);
    });
    if (out.size() > MAX_HEADERS) {
      s.addFault("headers", "expected at most " + MAX_HEADERS + ", got " + out.size());
    }
    return out;
  }

  private Split split(Section s) {
    String pool = s.text("pool", null);
    List<Section> entries = s.tables("split");
    if ((pool == null) == entries.isEmpty()) {
      s.addFault(
          pool == null ? "pool" : "split",
          "expected either pool = \"NAME\" or split = [{pool, weight}, ...]");
    }
    if (pool != null) {
      checkPool(s, pool);
      return Split.to(pool);
    }
    if (entries.size() > MAX_PARTS) {
      s.addFault("split", "expected at most " + MAX_PARTS + ", got " + entries.size());
    }
    List<Split.Part> parts = new ArrayList<>();
    Set<String> names = new HashSet<>();
    double sum = 0;
    for (Section e : entries) {
      String name = e.requiredText("pool", "a pool of this file");
      Double weight = e.number("weight", 0, 1_000_000);
      e.reportUnknownKeys();
      if (!e.has("weight")) {
        e.addFault("weight", "expected a number from 0 on, got nothing");
      }
      if (name != null) {
        checkPool(e, name);
        if (!names.add(name)) {
          e.addFault("pool", "expected each pool once, \"" + name + "\" came before");
        }
        parts.add(new Split.Part(name, weight == null ? 0 : weight));
        sum += weight == null ? 0 : weight;
      }
    }
    if (!entries.isEmpty() && sum <= 0) {
      s.addFault("split", "expected a weight above 0");
    }
    return new Split(parts);
  }

  private void checkPool(Section s, String pool) {
    if (!pools.containsKey(pool)) {
      s.addFault("pool", "expected a pool of this file, got \"" + pool + "\"");
    }
  }

  /** Checks class, path and method: a class is the first path segment and its effect fixes the method, else nothing matches. */
  private void checkConsistency(
      Section s, PathPattern path, String className, String method, Split split) {
    String first = path.segments().isEmpty() ? null : path.segments().get(0);
    if (className != null && first != null && !first.startsWith("{") && !first.equals(className)) {
      s.addFault(
          "class",
          "expected a route that can match: the class \"" + className
              + "\" is the first part of its paths, the path's is \"" + first + "\"");
    }
    for (Split.Part part : split.parts()) {
      Pool pool = pools.get(part.pool());
      List<RequestClass> classes = pool == null ? null : pool.overrides().classes();
      if (className == null || classes == null) {
        continue;
      }
      RequestClass type =
          classes.stream().filter(c -> c.name().equals(className)).findFirst().orElse(null);
      if (type == null) {
        s.addFault(
            "class", "expected a class of pool " + pool.name() + ", got \"" + className + "\"");
      } else if (method != null && !method.equals(type.effect() == Effect.SAFE ? "GET" : "POST")) {
        s.addFault(
            "method",
            "expected a route that can match: class \"" + className + "\" comes by "
                + (type.effect() == Effect.SAFE ? "GET" : "POST") + ", got " + method);
      }
    }
  }
}
