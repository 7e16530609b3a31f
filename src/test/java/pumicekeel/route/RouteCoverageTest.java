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

/** Finds the same routes as comparing each with all before it, with far fewer comparisons. */
class RouteCoverageTest {

  private static final List<String> HOSTS =
      List.of("a.b.c", "*.a.b.c", "b.c", "*.b.c", "c", "*.c", "x.b.c", "d.e", "*.e");
  private static final List<String> SEGMENTS = List.of("a", "b", "c", "");

  /** By definition: the first earlier route that covers. */
  private static List<Covered> byAllPairs(List<Route> routes) {
    List<Covered> out = new ArrayList<>();
    for (int i = 1; i < routes.size(); i++) {
      for (int j = 0; j < i; j++) {
        if (routes.get(j).covers(routes.get(i))) {
          out.add(new Covered(routes.get(i), routes.get(j)));
          break;
        }
      }
    }
    return out;
  }

  private static <T> T oneOf(SplittableRandom random, List<T> all) {
    return all.get(random.nextInt(all.size()));
  }

  private static String maybe(SplittableRandom random, String... values) {
    return random.nextInt(3) > 0 ? null : values[random.nextInt(values.length)];
  }

  private static PathPattern path(SplittableRandom random) {
    Kind kind = oneOf(random, List.of(Kind.values()));
    if (kind == Kind.ANY) {
      return PathPattern.ANY;
    }
    StringBuilder text = new StringBuilder();
    for (int i = random.nextInt(4); i >= 0; i--) {
      // Only the last segment may be empty.
      String segment = i > 0 ? SEGMENTS.get(random.nextInt(3)) : oneOf(random, SEGMENTS);
      text.append('/').append(kind == Kind.TEMPLATE && random.nextBoolean() ? "{x}" : segment);
    }
    return PathPattern.of(kind, text.toString());
  }

  private static Route route(SplittableRandom random, int order) {
    List<String> hosts = new ArrayList<>();
    for (int i = random.nextInt(4); i > 0; i--) {
      hosts.add(oneOf(random, HOSTS));
    }
    Map<String, String> headers = new HashMap<>();
    for (int i = random.nextInt(3); i > 0; i--) {
      headers.put(
          oneOf(random, List.of("h", "i", "j")), oneOf(random, List.of("1", "2", Route.PRESENT)));
    }
    return new Route(
        order,
        "r" + order,
        maybe(random, "l", "m"),
        hosts,
        path(random),
        maybe(random, "a", "b"),
        maybe(random, "GET", "POST"),
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

  private static Route plain(
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

  /** In this order, so that the first header is the one that tells nothing. */
  private static Map<String, String> commonFirst(String tenant) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("a", "1");
    headers.put("x-tenant", tenant);
    return headers;
  }

  private static void linear(String what, IntFunction<Route> route) {
    int size = 10_000;
    List<Route> routes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      routes.add(route.apply(i));
    }
    RouteCoverage coverage = new RouteCoverage(routes);
    assertEquals(List.of(), coverage.covered(), what);
    assertTrue(coverage.comparisons() <= 4 * size, what + " " + coverage.comparisons());
  }

  @Test
  void comparisonsGrowWithTheRoutesAndNotWithTheirPairs() {
    Map<String, String> none = Map.of();
    List<String> one = List.of("a.example.org");
    linear("hosts", i -> plain(i, List.of("h" + i + ".example.org"), Kind.PREFIX, "/", none));
    linear("paths", i -> plain(i, one, Kind.PREFIX, "/p" + i, none));
    linear("templates", i -> plain(i, one, Kind.TEMPLATE, "/p/{x}/q" + i + "/{y}", none));
    linear("no host", i -> plain(i, List.of(), Kind.EXACT, "/p" + i, none));
    linear("headers", i -> plain(i, one, Kind.PREFIX, "/", Map.of("x-tenant", "t" + i)));
    linear(
        "a common header and one of its own",
        i -> plain(i, one, Kind.PREFIX, "/", commonFirst("t" + i)));
    linear(
        "a common host and one of its own",
        i -> plain(i, List.of("a.org", "h" + i + ".org"), Kind.PREFIX, "/", none));
  }
}
