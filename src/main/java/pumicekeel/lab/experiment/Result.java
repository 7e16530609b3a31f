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
 * The result of a run, one line of a result file.
 *
 * @param build name of the program's build
 * @param status how the run ended: {@code ok}, {@code stopped} at its limit of real time, or {@code error}
 * @param note description of the first violation, of the exceeded limit or of the error; may be empty
 * @param figures figures by name, empty if the run has none
 */
public record Result(
    Run run, String build, String status, String note, Map<String, Double> figures) {

  private static final JsonFactory JSON = new JsonFactory();

  static Result of(Run run, String build, Figures figures) {
    Map<String, Double> byName = new HashMap<>();
    Figures.NAMES.forEach(name -> byName.put(name, figures.get(name)));
    return new Result(
        run, build, "ok", figures.firstViolation() == null ? "" : figures.firstViolation(), byName);
  }

  boolean ok() {
    return status.equals("ok");
  }

  /** Returns the result as a line of JSON without a line break. */
  String line() {
    StringWriter out = new StringWriter();
    try (JsonGenerator generator = JSON.createGenerator(out)) {
      generator.writeStartObject();
      generator.writeStringField("world", run.world());
      generator.writeStringField("policy", run.policy());
      generator.writeNumberField("balancers", run.balancers());
      generator.writeNumberField("servers", run.servers());
      generator.writeNumberField("seconds", run.seconds());
      generator.writeStringField("sweep", run.sweep());
      generator.writeNumberField("value", run.value());
      generator.writeNumberField("seed", run.seed());
      generator.writeStringField("build", build);
      generator.writeStringField("status", status);
      generator.writeStringField("note", note);
      generator.writeObjectFieldStart("figures");
      for (String name : Figures.NAMES) {
        if (figures.containsKey(name)) {
          generator.writeNumberField(name, figures.get(name));
        }
      }
      generator.writeEndObject();
      generator.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return out.toString();
  }

  /** Parses a line; the message of the IOException says what is wrong with it. */
  static Result of(String line) throws IOException {
    try {
      Fields fields = Fields.parse("result", line);
      Map<String, Double> figures = new HashMap<>();
      Fields figureFields = fields.nested("figures");
      for (Object name : figureFields.values().keySet()) {
        figures.put(String.valueOf(name), figureFields.number(String.valueOf(name), 0));
      }
      Run run = new Run(
          fields.text("world"),
          fields.text("policy"),
          (int) fields.integer("balancers"),
          (int) fields.integer("servers"),
          fields.number("seconds", 0),
          fields.text("sweep", ""),
          fields.number("value", 0),
          fields.integer("seed"));
      return new Result(
          run, fields.text("build", ""), fields.text("status"), fields.text("note", ""), figures);
    } catch (WireException | IllegalArgumentException e) {
      throw new IOException(e.getMessage());
    }
  }
}
