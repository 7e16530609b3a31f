package pumicekeel.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import pumicekeel.route.PathPattern.Kind;
import pumicekeel.route.RouteTable.Covered;

/** Tests that the search for covered routes finds what comparing all pairs finds, with far fewer comparisons. */
class RouteCoverageTest {

  private static final List<String> HOSTS =
      List.of("a.b.c", "*.a.b.c", "b.c", "*.b.c", "c", "*.c", "x.b.c", "d.e", "*.e");
  private static final List<String> SEGMENTS = List.of("a", "b", "c", "");

  /** Finds covered routes by definition: each with the first earlier route that covers it. */
  private static List<Covered> byAllPairs(List<Route> routes) {
    List<Covered> covered = new ArrayList<>();
    for (int i = 1; i < routes.size(); i++) {
      for (int j = 0; j < i; j++) {
        if (routes.get(j).covers(routes.get(i))) {
          covered.add(new Covered(routes.get(i), routes.get(j)));
          break;
        }
      }
    }
    return covered;
  }

  private static <T> T pick(SplittableRandom random, List<T> all) {
    return all.get(random.nextInt(all.size()));
  }

  private static String oneOrNull(SplittableRandom random, String... values) {
    return random.nextInt(3) > 0 ? null : values[random.nextInt(values.length)];
  }

  private static PathPattern path(SplittableRandom random) {
    Kind kind = pick(random, List.of(Kind.values()));
    if (kind == Kind.ANY) {
      return PathPattern.ANY;
    }
    StringBuilder text = new StringBuilder();
    for (int i = random.nextInt(4); i >= 0; i--) {
      // Only the last segment may be empty.
      String segment = i > 0 ? SEGMENTS.get(random.nextInt(3)) : pick(random, SEGMENTS);
      text.append('/').append(kind == Kind.TEMPLATE && random.nextBoolean() ? "{x}" : segment);
    }
    return PathPattern.of(kind, text.toString());
  }

  private static Route route(SplittableRandom random, int order) {
    List<String> hosts = new ArrayList<>();
    for (int i = random.nextInt(4); i > 0; i--) {
      hosts.add(pick(random, HOSTS));
    }
    Map<String, String> headers = new HashMap<>();
    for (int i = random.nextInt(3); i > 0; i--) {
      headers.put(
          pick(random, List.of("h", "i", "j")), pick(random, List.of("1", "2", Route.PRESENT)));
    }
    return new Route(
        order,
        "r" + order,
        oneOrNull(random, "l", "m"),
        hosts,
        path(random),
        oneOrNull(random, "a", "b"),
        oneOrNull(random, "GET", "POST"),
        headers,
        Split.to("p"),
        null);
  }

  @Test
  void findsWhatComparingAllPairsFinds() {
    long seed = new SplittableRandom().nextLong();
    System.out.println("seed " + seed);
    SplittableRandom random = new SplittableRandom(seed);
    int covered = 0;
    for (int run = 0; run < 2_000; run++) {
      List<Route> routes = new ArrayList<>();
      int size = 2 + random.nextInt(60);
      for (int i = 0; i < size; i++) {
        routes.add(route(random, i));
      }
      List<Covered> expected = byAllPairs(routes);
      covered += expected.size();
      assertEquals(expected, new RouteTable(routes).covered(), () -> "seed " + seed);
    }
    assertTrue(covered > 10_000, "covered " + covered);
  }

  private static Route routeFor(
      int order, List<String> hosts, Kind kind, String path, Map<String, String> headers) {
    return new Route(
        order,
        "r" + order,
        null,
        hosts,
        PathPattern.of(kind, path),
        null,
        null,
        headers,
        Split.to("p"),
        null);
  }

  /** Returns two headers of which the first is the same for all routes and so does not distinguish them. */
  private static Map<String, String> commonHeaderFirst(String tenant) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("a", "1");
    headers.put("x-tenant", tenant);
    return headers;
  }

  private static void assertLinear(String kind, IntFunction<Route> route) {
    int size = 10_000;
    List<Route> routes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      routes.add(route.apply(i));
    }
    RouteCoverage coverage = new RouteCoverage(routes);
    assertEquals(List.of(), coverage.covered(), kind);
    assertTrue(coverage.comparisons() <= 4 * size, kind + " " + coverage.comparisons());
  }

  @Test
  void comparisonsGrowWithTheRoutesAndNotWithTheirPairs() {
    Map<String, String> none = Map.of();
    List<String> one = List.of("a.example.org");
    assertLinear(
        "hosts", i -> routeFor(i, List.of("h" + i + ".example.org"), Kind.PREFIX, "/", none));
    assertLinear("paths", i -> routeFor(i, one, Kind.PREFIX, "/p" + i, none));
    assertLinear("templates", i -> routeFor(i, one, Kind.TEMPLATE, "/p/{x}/q" + i + "/{y}", none));
    assertLinear("no host", i -> routeFor(i, List.of(), Kind.EXACT, "/p" + i, none));
    assertLinear("headers", i -> routeFor(i, one, Kind.PREFIX, "/", Map.of("x-tenant", "t" + i)));
    assertLinear(
        "a common header and one of its own",
        i -> routeFor(i, one, Kind.PREFIX, "/", commonHeaderFirst("t" + i)));
    assertLinear(
        "a common host and one of its own",
        i -> routeFor(i, List.of("a.org", "h" + i + ".org"), Kind.PREFIX, "/", none));
  }
}
