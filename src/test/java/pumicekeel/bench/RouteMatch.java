package pumicekeel.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import pumicekeel.call.RequestAttributes;
import pumicekeel.route.PathPattern;
import pumicekeel.route.Route;
import pumicekeel.route.RouteTable;
import pumicekeel.route.Split;

/** Measures the cost of one match by the number of routes and by what distinguishes them; the requests cover all routes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RouteMatch {

  @Param({"10", "1000", "10000"})
  public int routes;

  @Param({"host", "path", "header", "template"})
  public String by;

  private RouteTable table;
  private List<RequestAttributes> requests;
  private int next;

  private record BenchRequest(String host, String path, Map<String, String> headers)
      implements RequestAttributes {
    @Override
    public String listener() {
      return "platform";
    }

    @Override
    public String method() {
      return "GET";
    }

    @Override
    public String className() {
      return "c";
    }

    @Override
    public String header(String name) {
      return headers.get(name);
    }
  }

  @Setup
  public void setUp() {
    List<Route> all = new ArrayList<>();
    requests = new ArrayList<>();
    for (int i = 0; i < routes; i++) {
      String host = by.equals("host") ? "h" + i + ".example.org" : "h.example.org";
      PathPattern path = switch (by) {
        case "path" -> PathPattern.of(PathPattern.Kind.PREFIX, "/svc/p" + i);
        case "template" -> PathPattern.of(PathPattern.Kind.TEMPLATE, "/svc/{id}/p" + i);
        default -> PathPattern.of(PathPattern.Kind.PREFIX, "/svc");
      };
      Map<String, String> headers = by.equals("header") ? Map.of("x-account", "t" + i) : Map.of();
      all.add(new Route(
          i, "r" + i, null, List.of(host), path, null, null, headers, Split.to("p"), null));
    }
    for (int i = 0; i < 1024; i++) {
      int route = (int) ((long) i * routes / 1024);
      requests.add(new BenchRequest(
          by.equals("host") ? "h" + route + ".example.org" : "h.example.org",
          by.equals("path")
              ? "/svc/p" + route + "/7"
              : by.equals("template") ? "/svc/7/p" + route : "/svc/7",
          Map.of("x-account", "t" + route)));
    }
    table = new RouteTable(all);
  }

  @Benchmark
  public RouteTable.MatchResult match() {
    next = next + 1 & 1023;
    return table.match(requests.get(next));
  }
}
