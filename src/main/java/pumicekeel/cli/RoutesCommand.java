package pumicekeel.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pumicekeel.call.RequestAttributes;
import pumicekeel.config.Operator;
import pumicekeel.config.OperatorLoader;
import pumicekeel.route.Route;
import pumicekeel.route.RouteTable;

/** Says which route and pool take a request, and why each earlier route did not. */
@Command(
    name = "routes",
    mixinStandardHelpOptions = true,
    description = "List the routes of an operator file, or explain which one takes a request.",
    footer = {
      "Exit status: 0 where a route takes the request, 1 where none does, 2 for a faulty file or request."
    })
final class RoutesCommand implements Callable<Integer> {

  @Parameters(index = "0", paramLabel = "FILE", description = "The operator file.")
  private Path file;

  @Option(
      names = "--explain",
      paramLabel = "REQUEST",
      description = "Method and address, such as 'GET http://quote.example.org/quote-issue/7'.")
  private String request;

  @Option(
      names = "--header",
      paramLabel = "'NAME: VALUE'",
      description = "A header of the request; any number.")
  private List<String> headers = List.of();

  @Option(
      names = "--listener",
      paramLabel = "NAME",
      defaultValue = Operator.PLATFORM,
      description = "The listener that it comes in at. Default: ${DEFAULT-VALUE}.")
  private String listener;

  @Option(names = "--json", description = "Print JSON.")
  private boolean json;

  @Spec
  private CommandSpec spec;

  /** A request as the command line gives it. */
  private record Asked(
      String listener, String method, String host, String path, Map<String, String> headers)
      implements RequestAttributes {
    @Override
    public String className() {
      String named = headers.get("x-service-class");
      int end = path.indexOf('/', 1);
      // By the protocol the class is the first part of the path as well.
      return named != null
          ? named
          : path.length() < 2 ? null : path.substring(1, end < 0 ? path.length() : end);
    }

    @Override
    public String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  @Override
  public Integer call() throws IOException {
    Operator operator;
    try {
      operator = OperatorLoader.load(file);
    } catch (OperatorLoader.InvalidFileException e) {
      e.lines().forEach(spec.commandLine().getErr()::println);
      return 2;
    }
    RouteTable table = new RouteTable(operator.routes());
    PrintWriter out = spec.commandLine().getOut();
    if (request == null) {
      list(out, table);
      return 0;
    }
    Asked asked = asked();
    RouteTable.MatchResult found = table.match(asked);
    if (found instanceof RouteTable.Malformed malformed) {
      spec.commandLine().getErr().println("answered 400: " + malformed.why());
      return 2;
    }
    Route taken = found instanceof RouteTable.Matched t ? t.route() : null;
    String pool = taken == null ? null : taken.split().poolOf(splitKey(asked));
    if (json) {
      out.println(asJson(table.explain(asked), taken, pool));
    } else {
      explain(out, table.explain(asked), taken, pool);
    }
    return taken == null ? 1 : 0;
  }

  private static String splitKey(Asked asked) {
    for (String name : List.of("x-session-key", "idempotency-key", "x-correlation-id")) {
      if (asked.header(name) != null) {
        return asked.header(name);
      }
    }
    return "";
  }

  private Asked asked() {
    String[] words = request.trim().split(" +");
    String rest =
        words.length == 2 && words[1].startsWith("http://") ? words[1].substring(7) : null;
    if (rest == null) {
      throw new ParameterException(
          spec.commandLine(),
          "--explain: expected 'METHOD http://HOST/PATH', got '" + request + "'");
    }
    int slash = rest.indexOf('/');
    String target = slash < 0 ? "/" : rest.substring(slash);
    Map<String, String> named = new TreeMap<>();
    for (String header : headers) {
      int colon = header.indexOf(':');
      if (colon < 1) {
        throw new ParameterException(
            spec.commandLine(), "--header: expected 'NAME: VALUE', got '" + header + "'");
      }
      named.put(
          header.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          header.substring(colon + 1).trim());
    }
    return new Asked(
        listener,
        words[0],
        slash < 0 ? rest : rest.substring(0, slash),
        target.split("\\?", 2)[0],
        named);
  }

  private static void list(PrintWriter out, RouteTable table) {
    for (Route r : table.routes()) {
      out.println(r.order() + 1 + " " + r.name() + ": "
          + (r.hosts().isEmpty() ? "any host" : r.hosts()) + ", " + r.path() + " -> " + parts(r));
    }
  }

  private static String parts(Route r) {
    String text = String.join(
        ", ",
        r.split().parts().stream()
            .map(p -> r.split().parts().size() == 1 ? p.pool() : p.pool() + " (" + p.weight() + ")")
            .toList());
    return text + (r.fallback() == null ? "" : ", else " + r.fallback());
  }

  private static void explain(
      PrintWriter out, List<RouteTable.Explanation> verdicts, Route taken, String pool) {
    for (RouteTable.Explanation v : verdicts) {
      out.println(v.route().order() + 1 + " " + v.route().name() + ": "
          + (v.objection() == null ? "takes it" : "no: " + v.objection()));
    }
    out.println(
        taken == null
            ? "no route: answered 404"
            : "route " + taken.name() + ", pool " + pool
                + (taken.fallback() == null
                    ? ""
                    : ", pool " + taken.fallback() + " while that has no ready upstream")
                + (taken.split().parts().size() > 1
                    ? " (by the session key; weights " + parts(taken) + ")"
                    : ""));
  }

  private static String asJson(List<RouteTable.Explanation> verdicts, Route taken, String pool)
      throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
      g.writeStartObject();
      g.writeStringField("route", taken == null ? null : taken.name());
      g.writeStringField("pool", pool);
      g.writeStringField("fallback", taken == null ? null : taken.fallback());
      g.writeArrayFieldStart("tried");
      for (RouteTable.Explanation v : verdicts) {
        g.writeStartObject();
        g.writeNumberField("order", v.route().order() + 1);
        g.writeStringField("name", v.route().name());
        g.writeStringField("objection", v.objection());
        g.writeEndObject();
      }
      g.writeEndArray();
      g.writeEndObject();
    }
    return text.toString();
  }
}
