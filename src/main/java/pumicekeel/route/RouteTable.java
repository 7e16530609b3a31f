package pumicekeel.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.call.RequestAttributes;

/**
 * The routes of one generation, compiled once and never changed. The first route of the file that takes a request has
 * it; the index only finds that route without trying those in front. It is by host, then by the path's segments, then by
 * the first header that a route compares, so that the cost of a match does not grow with routes that differ in any of
 * these. Routes that share all three are tried one by one.
 */
public final class RouteTable {

  /** What became of a request: the route, or why there is none. */
  public sealed interface Found permits Taken, NoRoute, Malformed {}

  /** The route that takes it. */
  public record Taken(Route route) implements Found {}

  /** None does. */
  public record NoRoute() implements Found {}

  /** Host or path can be read in more than one way, or not at all; the text says which. */
  public record Malformed(String why) implements Found {}

  /** Why one route did not take a request; null where it did. */
  public record Verdict(Route route, String objection) {}

  private static final NoRoute NO_ROUTE = new NoRoute();
  private static final Malformed BAD_HOST = new Malformed("no host, or one that can't be read");
  private static final Malformed BAD_PATH = new Malformed("a path that can be read in two ways");

  private final List<Route> routes;
  private final Taken[] found;
  private final Map<String, PathIndex> exact = new HashMap<>();
  /** By what follows the {@code *.}. */
  private final Map<String, PathIndex> suffixes = new HashMap<>();

  private final PathIndex any = new PathIndex();

  /** Compiles routes, in the order of the file. */
  public RouteTable(List<Route> routes) {
    this.routes = List.copyOf(routes);
    found = new Taken[routes.size()];
    for (Route r : this.routes) {
      if (r.order() != 0 && found[r.order() - 1] == null) {
        throw new IllegalArgumentException("routes must be numbered from 0 without a gap");
      }
      found[r.order()] = new Taken(r);
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

  /** Finds the route of a request; makes no garbage unless its host or path has to be rewritten to be compared. */
  public Found match(RequestAttributes f) {
    String host = HostName.of(f.host());
    if (host == null) {
      return BAD_HOST;
    }
    String path = RequestPath.of(f.path());
    if (path == null) {
      return BAD_PATH;
    }
    Route best = any.best(path, f, null);
    PathIndex own = exact.get(host);
    best = own == null ? best : own.best(path, f, best);
    if (!suffixes.isEmpty()) {
      for (int dot = host.indexOf('.'); dot >= 0; dot = host.indexOf('.', dot + 1)) {
        PathIndex index = suffixes.get(host.substring(dot + 1));
        best = index == null ? best : index.best(path, f, best);
      }
    }
    return best == null ? NO_ROUTE : found[best.order()];
  }

  /** What each route says, up to and with the one that takes the request: by trying all, apart from the index. */
  public List<Verdict> explain(RequestAttributes f) {
    List<Verdict> verdicts = new ArrayList<>();
    String host = HostName.of(f.host());
    String path = RequestPath.of(f.path());
    if (host == null || path == null) {
      return verdicts;
    }
    for (Route r : routes) {
      String objection = r.objection(f, host, path);
      verdicts.add(new Verdict(r, objection));
      if (objection == null) {
        break;
      }
    }
    return verdicts;
  }

  /** A route that can never match, and the earlier one that takes all that it would. */
  public record Covered(Route route, Route by) {}

  /** Routes that one earlier route covers whole. Several that cover one only together are not looked for. */
  public List<Covered> covered() {
    return new RouteCoverage(routes).covered();
  }
}
