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
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.config.OperatorLoader;
import pumicekeel.route.Route;
import pumicekeel.route.RouteTable;

/** Reports which route and pool a request matches, and why each earlier route did not match. */
@Command(
    name = "routes",
    mixinStandardHelpOptions = true,
    description = "List the routes of an operator file, or explain which one a request matches.",
    footer = {
      "Exit status: 0 if a route matches the request, 1 if none does, 2 for an invalid file or request."
    })
final class RoutesCommand implements Callable<Integer> {

  @Parameters(index = "0", paramLabel = "FILE", description = "The operator file.")
  private Path file;

  @Option(
      names = "--explain",
      paramLabel = "REQUEST",
      description = "Method and URL, such as 'GET http://quote.example.org/quote-issue/7'.")
  private String request;

  @Option(
      names = "--header",
      paramLabel = "'NAME: VALUE'",
      description = "A request header; may be repeated.")
  private List<String> headers = List.of();

  @Option(
      names = "--listener",
      paramLabel = "NAME",
      defaultValue = OperatorConfiguration.PLATFORM,
      description = "The listener that receives the request. Default: ${DEFAULT-VALUE}.")
  private String listener;

  @Option(names = "--json", description = "Print JSON.")
  private boolean json;

  @Spec
  private CommandSpec spec;

  /** A request described on the command line. */
  private record ExplainedRequest(
      String listener, String method, String host, String path, Map<String, String> headers)
      implements RequestAttributes {
    @Override
    public String className() {
      String explicit = headers.get("x-service-class");
      int end = path.indexOf('/', 1);
      // Without the header, the protocol takes the class from the first segment of the path.
      return explicit != null
          ? explicit
          : path.length() < 2 ? null : path.substring(1, end < 0 ? path.length() : end);
    }

    @Override
    public String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  @Override
  public Integer call() throws IOException {
    OperatorConfiguration operator;
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
    ExplainedRequest parsed = parseRequest();
    RouteTable.MatchResult result = table.match(parsed);
    if (result instanceof RouteTable.Malformed malformed) {
      spec.commandLine().getErr().println("rejected with status 400: " + malformed.why());
      return 2;
    }
    Route matched = result instanceof RouteTable.Matched t ? t.route() : null;
    String pool = matched == null ? null : matched.split().poolOf(splitKey(parsed));
    if (json) {
      out.println(asJson(table.explain(parsed), matched, pool));
    } else {
      explain(out, table.explain(parsed), matched, pool);
    }
    return matched == null ? 1 : 0;
  }

  private static String splitKey(ExplainedRequest request) {
    for (String name : List.of("x-session-key", "idempotency-key", "x-correlation-id")) {
      if (request.header(name) != null) {
        return request.header(name);
      }
    }
    return "";
  }

  private ExplainedRequest parseRequest() {
    String[] parts = request.trim().split(" +");
    String authorityAndPath =
        parts.length == 2 && parts[1].startsWith("http://") ? parts[1].substring(7) : null;
    if (authorityAndPath == null) {
      throw new ParameterException(
          spec.commandLine(),
          "--explain: expected 'METHOD http://HOST/PATH', got '" + request + "'");
    }
    int slash = authorityAndPath.indexOf('/');
    String target = slash < 0 ? "/" : authorityAndPath.substring(slash);
    Map<String, String> headersByName = new TreeMap<>();
    for (String header : headers) {
      int colon = header.indexOf(':');
      if (colon < 1) {
        throw new ParameterException(
            spec.commandLine(), "--header: expected 'NAME: VALUE', got '" + header + "'");
      }
      headersByName.put(
          header.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          header.substring(colon + 1).trim());
    }
    return new ExplainedRequest(
        listener,
        parts[0],
        slash < 0 ? authorityAndPath : authorityAndPath.substring(0, slash),
        target.split("\\?", 2)[0],
        headersByName);
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
    return text + (r.fallback() == null ? "" : ", fallback " + r.fallback());
  }

  private static void explain(
      PrintWriter out, List<RouteTable.Explanation> explanations, Route matched, String pool) {
    for (RouteTable.Explanation explanation : explanations) {
      out.println(explanation.route().order() + 1 + " " + explanation.route().name() + ": "
          + (explanation.objection() == null ? "takes it" : "no: " + explanation.objection()));
    }
    out.println(
        matched == null
            ? "no route matches: rejected with status 404"
            : "route " + matched.name() + ", pool " + pool
                + (matched.fallback() == null
                    ? ""
                    : ", pool " + matched.fallback() + " while that pool has no ready upstream")
                + (matched.split().parts().size() > 1
                    ? " (chosen by the session key; weights " + parts(matched) + ")"
                    : ""));
  }

  private static String asJson(
      List<RouteTable.Explanation> explanations, Route matched, String pool) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
      g.writeStartObject();
      g.writeStringField("route", matched == null ? null : matched.name());
      g.writeStringField("pool", pool);
      g.writeStringField("fallback", matched == null ? null : matched.fallback());
      g.writeArrayFieldStart("tried");
      for (RouteTable.Explanation explanation : explanations) {
        g.writeStartObject();
        g.writeNumberField("order", explanation.route().order() + 1);
        g.writeStringField("name", explanation.route().name());
        g.writeStringField("objection", explanation.objection());
        g.writeEndObject();
      }
      g.writeEndArray();
      g.writeEndObject();
    }
    return text.toString();
  }
}
