package pumicekeel.rig.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pumicekeel.adapter.Fields;

/** Samples in a file, one a line of JSON. A run that was cut off goes on where it ended. */
public final class ResultFile {

  private static final JsonFactory JSON = new JsonFactory();

  /** The order of the file: samples of one fit stand together. */
  private static final Comparator<Sample> ORDER = Comparator.comparing(Sample::scenario)
      .thenComparingInt(Sample::size)
      .thenComparingInt(Sample::round);

  private final Path file;
  private final List<Sample> samples;

  private ResultFile(Path file, List<Sample> samples) {
    this.file = file;
    this.samples = samples;
  }

  /** Reads a file; one that does not exist yet is empty. */
  public static ResultFile open(Path file) throws IOException {
    List<Sample> samples = new ArrayList<>();
    if (Files.exists(file)) {
      for (String line : Files.readAllLines(file)) {
        if (!line.isBlank()) {
          samples.add(parse(line));
        }
      }
    }
    return new ResultFile(file, samples);
  }

  private static Sample parse(String line) throws IOException {
    Fields fields = Fields.parse("sample", line);
    Axis axis = Axis.of(fields.text("axis"));
    if (axis == null) {
      throw new IOException("expected an axis, got \"" + fields.text("axis") + "\"");
    }
    Map<String, Double> figures = new TreeMap<>();
    Fields read = fields.nested("figures");
    for (Object name : read.values().keySet()) {
      figures.put((String) name, read.number((String) name, 0));
    }
    return new Sample(
        fields.text("scenario"),
        axis,
        (int) fields.integer("size"),
        (int) fields.integer("round"),
        fields.text("build"),
        fields.integer("seed"),
        fields.number("load-before", 0),
        (int) fields.integer("processors"),
        fields.text("at"),
        figures);
  }

  /** All samples, in the order of the file. */
  public List<Sample> samples() {
    return samples.stream().sorted(ORDER).toList();
  }

  /** The samples of one scenario. */
  public List<Sample> samplesOf(String scenario) {
    return samples().stream().filter(s -> s.scenario().equals(scenario)).toList();
  }

  public boolean contains(String scenario, int size, int round) {
    return samples.stream()
        .anyMatch(s -> s.scenario().equals(scenario) && s.size() == size && s.round() == round);
  }

  /** Keeps a sample; whoever reads the file sees it with this one or as it was before. */
  public void add(Sample sample) throws IOException {
    samples.add(sample);
    Path next = file.resolveSibling(file.getFileName() + ".next");
    Files.writeString(next, toJsonLines(samples()));
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** One line of JSON a sample. */
  public static String toJsonLines(Collection<Sample> samples) throws IOException {
    StringBuilder out = new StringBuilder();
    for (Sample sample : samples) {
      out.append(line(sample)).append('\n');
    }
    return out.toString();
  }

  private static String line(Sample sample) throws IOException {
    StringWriter out = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(out)) {
      json.writeStartObject();
      json.writeStringField("scenario", sample.scenario());
      json.writeStringField("axis", sample.axis().key());
      json.writeNumberField("size", sample.size());
      json.writeNumberField("round", sample.round());
      json.writeStringField("build", sample.build());
      json.writeNumberField("seed", sample.seed());
      json.writeNumberField("load-before", sample.loadBefore());
      json.writeNumberField("processors", sample.processors());
      json.writeStringField("at", sample.at());
      json.writeObjectFieldStart("figures");
      for (Map.Entry<String, Double> figure : new TreeMap<>(sample.figures()).entrySet()) {
        json.writeNumberField(figure.getKey(), rounded(figure.getValue()));
      }
      json.writeEndObject();
      json.writeEndObject();
    }
    return out.toString();
  }

  /** Three decimals: more is noise in each of the units that are used. */
  private static double rounded(double value) {
    return Math.round(value * 1_000) / 1_000.0;
  }
}
