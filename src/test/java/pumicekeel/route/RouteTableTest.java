package pumicekeel.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pumicekeel.call.RequestAttributes;
import pumicekeel.route.PathPattern.Kind;

/** Tests that a request gets the first matching route in the order of the file, whichever way the index finds it. */
class RouteTableTest {

  record TestRequest(
      String listener,
      String host,
      String path,
      String method,
      String className,
      Map<String, String> headers)
      implements RequestAttributes {
    @Override
    public String header(String name) {
      return headers.get(name);
    }
  }

  private static TestRequest get(String host, String path) {
    return new TestRequest("platform", host, path, "GET", null, Map.of());
  }

  private static Route route(int order, String host, PathPattern path) {
    return new Route(
        order,
        "r" + order,
        null,
        host == null ? List.of() : List.of(host),
        path,
        null,
        null,
        Map.of(),
        Split.to("p"),
        null);
  }

  private static Integer match(RouteTable table, RequestAttributes request) {
    return table.match(request) instanceof RouteTable.Matched t ? t.route().order() : null;
  }

  @Test
  void firstRouteInTheFileMatches() {
    PathPattern wide = PathPattern.of(Kind.PREFIX, "/a");
    PathPattern narrow = PathPattern.of(Kind.EXACT, "/a/b");
    assertEquals(
        0,
        match(
            new RouteTable(List.of(route(0, null, wide), route(1, "h", narrow))),
            get("h", "/a/b")));
    assertEquals(
        0,
        match(
            new RouteTable(List.of(route(0, "h", narrow), route(1, null, wide))),
            get("h", "/a/b")));
    assertEquals(
        1,
        match(
            new RouteTable(List.of(route(0, "h", narrow), route(1, null, wide))),
            get("h", "/a/c")));
    Route one =
        new Route(0, "one", null, List.of(), wide, null, null, Map.of(), Split.to("one"), null);
    Route two =
        new Route(1, "two", null, List.of(), wide, null, null, Map.of(), Split.to("two"), null);
    assertEquals(
        "one",
        ((RouteTable.Matched) new RouteTable(List.of(one, two)).match(get("h", "/a")))
            .route()
            .name());
  }

  @Test
  void hostSuffixMatchesSubdomainsOnly() {
    RouteTable table = new RouteTable(List.of(route(0, "*.example.org", PathPattern.ANY)));
    assertEquals(0, match(table, get("a.example.org", "/x")));
    assertEquals(0, match(table, get("A.b.Example.org.:80", "/x")));
    assertNull(match(table, get("example.org", "/x")));
    assertNull(match(table, get("badexample.org", "/x")));
    assertNull(match(table, get("example.org.evil", "/x")));
  }

  @Test
  void malformedRequestIsDistinguishedFromOneWithoutRoute() {
    RouteTable table = new RouteTable(List.of(route(0, "h", PathPattern.ANY)));
    assertInstanceOf(RouteTable.Malformed.class, table.match(get(null, "/x")));
    assertInstanceOf(RouteTable.Malformed.class, table.match(get("h", "/x/../y")));
    assertInstanceOf(RouteTable.Malformed.class, table.match(get("h", "")));
    assertInstanceOf(RouteTable.NoRoute.class, table.match(get("other", "/x")));
  }

  @Test
  void tenThousandRoutesByHeaderValueAreFoundAndExplained() {
    List<Route> routes = new ArrayList<>();
    for (int i = 0; i < 10_000; i++) {
      routes.add(new Route(
          i,
          "r" + i,
          null,
          List.of(),
          PathPattern.ANY,
          null,
          null,
          Map.of("x-account", "t" + i),
          Split.to("p"),
          null));
    }
    RouteTable table = new RouteTable(routes);
    TestRequest last =
        new TestRequest("platform", "h", "/x", "GET", null, Map.of("x-account", "t9999"));
    assertEquals(9_999, match(table, last));
    List<RouteTable.Explanation> why = table.explain(last);
    assertEquals(10_000, why.size());
    assertEquals("header x-account: wanted t0, got t9999", why.get(0).objection());
    assertNull(why.get(9_999).objection());
  }

  @Test
  void deepPathIsMatchedOnlyToTheDepthOfThePatterns() {
    RouteTable table = new RouteTable(List.of(
        route(0, null, PathPattern.of(Kind.TEMPLATE, "/{a}/{b}")),
        route(1, null, PathPattern.of(Kind.PREFIX, "/a"))));
    assertEquals(1, match(table, get("h", "/a".repeat(4_000))));
    assertEquals(0, match(table, get("h", "/a/a")));
  }

  /** Compares the index with trying every route in order; routes and requests use few distinct values, so that most match. */
  @Test
  void indexFindsWhatASequentialSearchFinds() {
    long seed = new SplittableRandom().nextLong();
    SplittableRandom random = new SplittableRandom(seed);
    int matched = 0;
    for (int round = 0; round < 300; round++) {
      List<Route> routes = new ArrayList<>();
      for (int i = 0; i < 30; i++) {
        routes.add(randomRoute(i, random));
      }
      RouteTable table = new RouteTable(routes);
      for (int i = 0; i < 100; i++) {
        TestRequest request = new TestRequest(
            random.nextInt(3) == 0 ? "partner" : "platform",
            host(random),
            path(random, false),
            random.nextBoolean() ? "GET" : "POST",
            random.nextBoolean() ? "a" : "b",
            random.nextBoolean()
                ? Map.of("x", "" + random.nextInt(3))
                : Map.of("y", "1", "x", "0"));
        List<RouteTable.Explanation> explanations = table.explain(request);
        RouteTable.Explanation last = explanations.get(explanations.size() - 1);
        Integer expected = last.objection() == null ? last.route().order() : null;
        assertEquals(
            expected, match(table, request), () -> "seed " + seed + ": " + request + " " + routes);
        matched += expected == null ? 0 : 1;
      }
      for (RouteTable.Covered c : table.covered()) {
        assertTrue(c.by().order() < c.route().order(), () -> "seed " + seed);
      }
    }
    assertTrue(matched > 1_000, "requests that matched a route: " + matched);
  }

  /** A route that is reported as covered never matches a request. */
  @Test
  void coveredRoutesNeverMatch() {
    long seed = new SplittableRandom().nextLong();
    SplittableRandom random = new SplittableRandom(seed);
    int covered = 0;
    for (int round = 0; round < 200; round++) {
      List<Route> routes = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        routes.add(randomRoute(i, random));
      }
      RouteTable table = new RouteTable(routes);
      List<Integer> unreachable =
          table.covered().stream().map(c -> c.route().order()).toList();
      covered += unreachable.size();
      for (int i = 0; i < 300; i++) {
        Integer order = match(
            table,
            new TestRequest(
                random.nextInt(3) == 0 ? "partner" : "platform",
                host(random),
                path(random, false),
                random.nextBoolean() ? "GET" : "POST",
                random.nextBoolean() ? "a" : "b",
                Map.of("x", "" + random.nextInt(3))));
        assertTrue(
            order == null || !unreachable.contains(order),
            () -> "seed " + seed + " route " + order);
      }
    }
    assertTrue(covered > 100, "covered routes: " + covered);
  }

  private static Route randomRoute(int order, SplittableRandom random) {
    Kind kind = Kind.values()[random.nextInt(4)];
    PathPattern path = kind == Kind.ANY
        ? PathPattern.ANY
        : PathPattern.of(kind, path(random, kind == Kind.TEMPLATE));
    List<String> hosts = new ArrayList<>();
    for (int i = random.nextInt(3); i > 0; i--) {
      hosts.add((random.nextBoolean() ? "*." : "") + host(random));
    }
    return new Route(
        order,
        "r" + order,
        random.nextInt(4) == 0 ? "partner" : null,
        hosts,
        path,
        random.nextInt(4) == 0 ? "a" : null,
        random.nextInt(4) == 0 ? "GET" : null,
        switch (random.nextInt(4)) {
          case 0 -> Map.of("x", "" + random.nextInt(3));
          case 1 -> Map.of("x", Route.PRESENT);
          case 2 -> Map.of("x", "0", "y", Route.PRESENT);
          default -> Map.of();
        },
        Split.to("p"),
        null);
  }

  private static String host(SplittableRandom random) {
    String[] hosts = {"o", "e.o", "a.e.o", "b.e.o", "x.a.e.o"};
    return hosts[random.nextInt(hosts.length)];
  }

  private static String path(SplittableRandom random, boolean template) {
    StringBuilder path = new StringBuilder();
    for (int i = random.nextInt(4); i >= 0; i--) {
      path.append('/')
          .append(template && random.nextInt(3) == 0 ? "{v}" : random.nextBoolean() ? "a" : "b");
    }
    return path.append(!template && random.nextInt(6) == 0 ? "/" : "").toString();
  }
}
