package pumicekeel.lab.experiment;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.HashMap;
import java.util.Map;
import pumicekeel.adapter.Fields;
import pumicekeel.adapter.WireException;
import pumicekeel.lab.experiment.Experiment.Run;
import pumicekeel.lab.fleet.Figures;

/**
 * A line of a result file: a run, how it ended ({@code ok}, {@code stopped} at its limit of real time, {@code error}) and its figures
 * by name. {@code build} says which program it was.
 */
public record Result(
    Run run, String build, String status, String note, Map<String, Double> figures) {

  private static final JsonFactory JSON = new JsonFactory();

  static Result of(Run run, String build, Figures figures) {
    Map<String, Double> by = new HashMap<>();
    Figures.NAMES.forEach(n -> by.put(n, figures.get(n)));
    return new Result(
        run, build, "ok", figures.firstViolation() == null ? "" : figures.firstViolation(), by);
  }

  boolean ok() {
    return status.equals("ok");
  }

  /** As a line of JSON without its end. */
  String line() {
    StringWriter out = new StringWriter();
    try (JsonGenerator g = JSON.createGenerator(out)) {
      g.writeStartObject();
      g.writeStringField("world", run.world());
      g.writeStringField("policy", run.policy());
      g.writeNumberField("balancers", run.balancers());
      g.writeNumberField("servers", run.servers());
      g.writeNumberField("seconds", run.seconds());
      g.writeStringField("sweep", run.sweep());
      g.writeNumberField("value", run.value());
      g.writeNumberField("seed", run.seed());
      g.writeStringField("build", build);
      g.writeStringField("status", status);
      g.writeStringField("note", note);
      g.writeObjectFieldStart("figures");
      for (String name : Figures.NAMES) {
        if (figures.containsKey(name)) {
          g.writeNumberField(name, figures.get(name));
        }
      }
      g.writeEndObject();
      g.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return out.toString();
  }

  /** Reads a line; an IOException says what is wrong with it. */
  static Result of(String line) throws IOException {
    try {
      Fields f = Fields.parse("result", line);
      Map<String, Double> figures = new HashMap<>();
      Fields of = f.nested("figures");
      for (Object name : of.values().keySet()) {
        figures.put(String.valueOf(name), of.number(String.valueOf(name), 0));
      }
      Run run = new Run(
          f.text("world"),
          f.text("policy"),
          (int) f.integer("balancers"),
          (int) f.integer("servers"),
          f.number("seconds", 0),
          f.text("sweep", ""),
          f.number("value", 0),
          f.integer("seed"));
      return new Result(run, f.text("build", ""), f.text("status"), f.text("note", ""), figures);
    } catch (WireException | IllegalArgumentException e) {
      throw new IOException(e.getMessage());
    }
  }
}
