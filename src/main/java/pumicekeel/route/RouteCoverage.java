package pumicekeel.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pumicekeel.route.RouteTable.Covered;

/**
 * Finds unreachable routes: those whose requests all match one earlier route ({@link Route#covers}). Two routes are compared
 * only if the earlier one shares a host and a path prefix with the later one and has no condition that the later one lacks,
 * so a table whose routes differ in host, path or a condition takes time linear in its size.
 *
 * <p>Routes are indexed in file order, each after it was compared with the routes before it.
 */
final class RouteCoverage {

  /** The key of routes without a host condition. */
  private static final String ANY_HOST = "";

  private static final String SUFFIX = "*.";

  /** A node of the segment tree; routes are stored where their pattern ends. */
  private static final class Node {
    private final Map<String, Node> children = new HashMap<>(2);
    private Node wildcard;
    private final Map<Condition, List<Route>> routes = new HashMap<>(2);
  }

  /**
   * The conditions of a route besides host and path, null for none; of its headers only the one that fewest routes require.
   *
   * @param value the header's value, {@link Route#PRESENT} for any
   */
  private record Condition(
      String listener, String className, String method, String header, String value) {}

  private record Header(String name, String value) {}

  private final Map<String, Integer> hostCounts = new HashMap<>();
  private final Map<Header, Integer> headerCounts = new HashMap<>();
  private final Map<String, Node> roots = new HashMap<>();

  private final List<Route> routes;
  private long comparisons;

  RouteCoverage(List<Route> routes) {
    this.routes = routes;
    for (Route route : routes) {
      route.hosts().forEach(host -> hostCounts.merge(host, 1, Integer::sum));
      route
          .headers()
          .forEach((name, value) -> headerCounts.merge(new Header(name, value), 1, Integer::sum));
    }
  }

  /** Returns each covered route with the first route that covers it, in file order of the covered routes. */
  List<Covered> covered() {
    List<Covered> out = new ArrayList<>();
    for (Route route : routes) {
      Route by = firstCovering(route);
      if (by != null) {
        out.add(new Covered(route, by));
      }
      index(route);
    }
    return out;
  }

  /** Returns how many pairs of routes were compared, the cost besides the number of routes. */
  long comparisons() {
    return comparisons;
  }

  // Indexing

  private void index(Route route) {
    Condition condition = conditionOf(route);
    Collection<String> hosts =
        route.hosts().isEmpty() ? Set.of(ANY_HOST) : Set.copyOf(route.hosts());
    for (String host : hosts) {
      Node node = roots.computeIfAbsent(host, k -> new Node());
      for (String segment : route.path().segments()) {
        node = segment.equals(PathPattern.WILDCARD) ? wildcardOf(node) : childOf(node, segment);
      }
      node.routes.computeIfAbsent(condition, k -> new ArrayList<>(1)).add(route);
    }
  }

  private static Node wildcardOf(Node node) {
    if (node.wildcard == null) {
      node.wildcard = new Node();
    }
    return node.wildcard;
  }

  private static Node childOf(Node node, String segment) {
    return node.children.computeIfAbsent(segment, k -> new Node());
  }

  private Condition conditionOf(Route route) {
    Header rarest = null;
    for (Map.Entry<String, String> e : route.headers().entrySet()) {
      Header header = new Header(e.getKey(), e.getValue());
      if (rarest == null || headerCounts.get(header) < headerCounts.get(rarest)) {
        rarest = header;
      }
    }
    return new Condition(
        route.listener(),
        route.className(),
        route.method(),
        rarest == null ? null : rarest.name(),
        rarest == null ? null : rarest.value());
  }

  // Lookup

  private Route firstCovering(Route route) {
    Set<Condition> weaker = weakerConditions(route);
    Route first = null;
    for (String host : hostKeysThatMayCover(route)) {
      Node root = roots.get(host);
      first = root == null ? first : firstBelow(root, 0, route, weaker, first);
    }
    return first;
  }

  /** Returns the host keys to search: a covering route covers every host of the route, so its rarest host suffices. */
  private List<String> hostKeysThatMayCover(Route route) {
    List<String> out = new ArrayList<>();
    out.add(ANY_HOST);
    String rarest = null;
    for (String host : route.hosts()) {
      rarest = rarest == null || hostCounts.get(host) < hostCounts.get(rarest) ? host : rarest;
    }
    if (rarest != null) {
      out.add(rarest);
      int start = rarest.startsWith(SUFFIX) ? SUFFIX.length() : 0;
      for (int dot = rarest.indexOf('.', start); dot >= 0; dot = rarest.indexOf('.', dot + 1)) {
        out.add("*" + rarest.substring(dot));
      }
    }
    return out;
  }

  /** Returns the conditions that a covering route may have: the route's own, with any of them left out. */
  private static Set<Condition> weakerConditions(Route route) {
    Set<Header> headers = new HashSet<>();
    headers.add(new Header(null, null));
    route.headers().forEach((name, value) -> {
      headers.add(new Header(name, value));
      headers.add(new Header(name, Route.PRESENT));
    });
    Set<Condition> out = new HashSet<>();
    for (String listener : valueOrNull(route.listener())) {
      for (String className : valueOrNull(route.className())) {
        for (String method : valueOrNull(route.method())) {
          for (Header h : headers) {
            out.add(new Condition(listener, className, method, h.name(), h.value()));
          }
        }
      }
    }
    return out;
  }

  private static Set<String> valueOrNull(String value) {
    Set<String> out = new HashSet<>();
    out.add(null);
    out.add(value);
    return out;
  }

  private Route firstBelow(Node node, int depth, Route route, Set<Condition> weaker, Route first) {
    Route found = firstAt(node, route, weaker, first);
    List<String> segments = route.path().segments();
    if (depth == segments.size()) {
      return found;
    }
    String segment = segments.get(depth);
    Node next = segment.equals(PathPattern.WILDCARD) ? null : node.children.get(segment);
    found = next == null ? found : firstBelow(next, depth + 1, route, weaker, found);
    return node.wildcard == null || segment.isEmpty()
        ? found
        : firstBelow(node.wildcard, depth + 1, route, weaker, found);
  }

  private Route firstAt(Node node, Route route, Set<Condition> weaker, Route first) {
    Route found = first;
    for (Condition condition : weaker) {
      for (Route r : node.routes.getOrDefault(condition, List.of())) {
        if (found != null && found.order() < r.order()) {
          break;
        }
        comparisons++;
        if (r.covers(route)) {
          found = r;
          break;
        }
      }
    }
    return found;
  }
}
