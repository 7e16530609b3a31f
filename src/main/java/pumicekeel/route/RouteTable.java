package pumicekeel.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.call.RequestAttributes;

/**
 * The immutable, compiled routes of one configuration generation. The first matching route of the file wins; the index finds
 * it without trying the routes before it. It is keyed by host, then by path segments, then by the first header that a route
 * compares, so the cost of a match does not grow with routes that differ in any of these. Routes that share all three are
 * tried one by one.
 */
public final class RouteTable {

  /** The result of a match: the route, or why there is none. */
  public sealed interface MatchResult permits Matched, NoRoute, Malformed {}

  /** A route matches. */
  public record Matched(Route route) implements MatchResult {}

  /** No route matches. */
  public record NoRoute() implements MatchResult {}

  /** The host or path is ambiguous or malformed; the text says which. */
  public record Malformed(String why) implements MatchResult {}

  /** A route, and the condition that a request does not meet; the latter is null if the route matches. */
  public record Explanation(Route route, String objection) {}

  private static final NoRoute NO_ROUTE = new NoRoute();
  private static final Malformed BAD_HOST = new Malformed("no host, or one that can't be read");
  private static final Malformed BAD_PATH = new Malformed("a path that can be read in two ways");

  private final List<Route> routes;
  /** The result for each route by its order, created once so that a match allocates nothing. */
  private final Matched[] matches;
  /** Indexes by the whole host name. */
  private final Map<String, PathIndex> exact = new HashMap<>();
  /** Indexes by the suffix after {@code *.}. */
  private final Map<String, PathIndex> suffixes = new HashMap<>();

  /** The index of routes without a host condition. */
  private final PathIndex any = new PathIndex();

  /** Compiles routes, given in file order. */
  public RouteTable(List<Route> routes) {
    this.routes = List.copyOf(routes);
    matches = new Matched[routes.size()];
    for (Route r : this.routes) {
      if (r.order() != 0 && matches[r.order() - 1] == null) {
        throw new IllegalArgumentException("routes must be numbered from 0 without a gap");
      }
      matches[r.order()] = new Matched(r);
      if (r.hosts().isEmpty()) {
        any.add(r);
      }
      for (String host : r.hosts()) {
        boolean suffix = host.startsWith("*.");
        (suffix ? suffixes : exact)
            .computeIfAbsent(suffix ? host.substring(2) : host, k -> new PathIndex())
            .add(r);
      }
    }
  }

  public List<Route> routes() {
    return routes;
  }

  /** Finds the route of a request; allocates nothing unless its host or path has to be normalized. */
  public MatchResult match(RequestAttributes request) {
    String host = HostName.of(request.host());
    if (host == null) {
      return BAD_HOST;
    }
    String path = RequestPath.of(request.path());
    if (path == null) {
      return BAD_PATH;
    }
    Route best = any.best(path, request, null);
    PathIndex own = exact.get(host);
    best = own == null ? best : own.best(path, request, best);
    if (!suffixes.isEmpty()) {
      for (int dot = host.indexOf('.'); dot >= 0; dot = host.indexOf('.', dot + 1)) {
        PathIndex index = suffixes.get(host.substring(dot + 1));
        best = index == null ? best : index.best(path, request, best);
      }
    }
    return best == null ? NO_ROUTE : matches[best.order()];
  }

  /** Explains each route up to and including the matching one, by trying them in order without the index. */
  public List<Explanation> explain(RequestAttributes request) {
    List<Explanation> explanations = new ArrayList<>();
    String host = HostName.of(request.host());
    String path = RequestPath.of(request.path());
    if (host == null || path == null) {
      return explanations;
    }
    for (Route r : routes) {
      String objection = r.objection(request, host, path);
      explanations.add(new Explanation(r, objection));
      if (objection == null) {
        break;
      }
    }
    return explanations;
  }

  /** An unreachable route, and the earlier route that matches all of its requests. */
  public record Covered(Route route, Route by) {}

  /** Returns the routes that one earlier route covers completely; coverage by several routes together is not detected. */
  public List<Covered> covered() {
    return new RouteCoverage(routes).covered();
  }
}
