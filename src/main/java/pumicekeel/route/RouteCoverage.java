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
 * Finds routes that can never match since one earlier route takes all that they would ({@link Route#covers}). An earlier
 * route is only compared where it shares a host and the beginning of the path with the later one, and asks nothing that
 * the later one does not: a table whose routes differ in host, path or a condition costs time linear in its size.
 *
 * <p>Routes are entered in the file's order, each after it was looked for among those before it.
 */
final class RouteCoverage {

  /** The key under which routes that name no host are found. */
  private static final String ANY_HOST = "";

  private static final String SUFFIX = "*.";

  /** A path's segments as a tree; routes stand where their pattern ends. */
  private static final class Node {
    private final Map<String, Node> children = new HashMap<>(2);
    private Node wild;
    private final Map<Condition, List<Route>> routes = new HashMap<>(2);
  }

  /**
   * What a route asks beside host and path, null for nothing; of its headers the one that fewest routes ask for.
   *
   * @param value the header's value, {@link Route#PRESENT} for any
   */
  private record Condition(
      String listener, String className, String method, String header, String value) {}

  private record Header(String name, String value) {}

  private final Map<String, Integer> hostUse = new HashMap<>();
  private final Map<Header, Integer> headerUse = new HashMap<>();
  private final Map<String, Node> roots = new HashMap<>();

  private final List<Route> routes;
  private long comparisons;

  RouteCoverage(List<Route> routes) {
    this.routes = routes;
    for (Route route : routes) {
      route.hosts().forEach(host -> hostUse.merge(host, 1, Integer::sum));
      route
          .headers()
          .forEach((name, value) -> headerUse.merge(new Header(name, value), 1, Integer::sum));
    }
  }

  /** Each covered route with the first route that covers it, in the order of the covered ones. */
  List<Covered> covered() {
    List<Covered> out = new ArrayList<>();
    for (Route route : routes) {
      Route by = firstThatCovers(route);
      if (by != null) {
        out.add(new Covered(route, by));
      }
      enter(route);
    }
    return out;
  }

  /** How many pairs of routes were compared: what the cost grows with beside the number of routes. */
  long comparisons() {
    return comparisons;
  }

  // Entering

  private void enter(Route route) {
    Condition condition = conditionOf(route);
    Collection<String> hosts =
        route.hosts().isEmpty() ? Set.of(ANY_HOST) : Set.copyOf(route.hosts());
    for (String host : hosts) {
      Node node = roots.computeIfAbsent(host, k -> new Node());
      for (String segment : route.path().segments()) {
        node = segment.equals(PathPattern.WILD) ? wildOf(node) : childOf(node, segment);
      }
      node.routes.computeIfAbsent(condition, k -> new ArrayList<>(1)).add(route);
    }
  }

  private static Node wildOf(Node node) {
    if (node.wild == null) {
      node.wild = new Node();
    }
    return node.wild;
  }

  private static Node childOf(Node node, String segment) {
    return node.children.computeIfAbsent(segment, k -> new Node());
  }

  private Condition conditionOf(Route route) {
    Header rarest = null;
    for (Map.Entry<String, String> e : route.headers().entrySet()) {
      Header header = new Header(e.getKey(), e.getValue());
      if (rarest == null || headerUse.get(header) < headerUse.get(rarest)) {
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

  // Looking

  private Route firstThatCovers(Route route) {
    Set<Condition> weaker = weakerConditions(route);
    Route first = null;
    for (String host : hostsThatMayCover(route)) {
      Node root = roots.get(host);
      first = root == null ? first : firstBelow(root, 0, route, weaker, first);
    }
    return first;
  }

  /** Whoever covers a route covers each of its hosts, so looking for its rarest one finds all of them. */
  private List<String> hostsThatMayCover(Route route) {
    List<String> out = new ArrayList<>();
    out.add(ANY_HOST);
    String rarest = null;
    for (String host : route.hosts()) {
      rarest = rarest == null || hostUse.get(host) < hostUse.get(rarest) ? host : rarest;
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

  /** Each condition that a route may have which covers this one: the same, or with nothing in places. */
  private static Set<Condition> weakerConditions(Route route) {
    Set<Header> headers = new HashSet<>();
    headers.add(new Header(null, null));
    route.headers().forEach((name, value) -> {
      headers.add(new Header(name, value));
      headers.add(new Header(name, Route.PRESENT));
    });
    Set<Condition> out = new HashSet<>();
    for (String listener : orNothing(route.listener())) {
      for (String className : orNothing(route.className())) {
        for (String method : orNothing(route.method())) {
          for (Header h : headers) {
            out.add(new Condition(listener, className, method, h.name(), h.value()));
          }
        }
      }
    }
    return out;
  }

  private static Set<String> orNothing(String value) {
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
    Node next = segment.equals(PathPattern.WILD) ? null : node.children.get(segment);
    found = next == null ? found : firstBelow(next, depth + 1, route, weaker, found);
    return node.wild == null || segment.isEmpty()
        ? found
        : firstBelow(node.wild, depth + 1, route, weaker, found);
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
