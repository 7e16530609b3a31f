package pumicekeel.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import picocli.CommandLine.Model.CommandSpec;

/** Prints one JSON object on a command's standard output. */
final class JsonOutput {

  private static final JsonFactory JSON = new JsonFactory();

  /** Writes the fields of a JSON object. */
  @FunctionalInterface
  interface Fields {
    void write(JsonGenerator out) throws IOException;
  }

  private JsonOutput() {}

  static void print(CommandSpec spec, Fields fields) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = JSON.createGenerator(text)) {
      out.writeStartObject();
      fields.write(out);
      out.writeEndObject();
    }
    spec.commandLine().getOut().println(text);
  }
}
